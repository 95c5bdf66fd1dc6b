package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"filbertcross/platform/standin"
)

// Behaviour of the soak's callers.
const (
	submitInterval    = 60 * time.Millisecond
	callTimeout       = 3200 * time.Millisecond
	maxSubmitAttempts = 5
	// maxCancelDelay is the time after a confirmed cancellation from which no task of the
	// submission may start. Faults delay the moment at which the owner learns of it.
	maxCancelDelay = 15 * time.Second
	// crashingInterval is the number of submissions of which one has a task that crashes its workers.
	crashingInterval = 40
	// timedInterval is the number of submissions of which one is timed.
	timedInterval = 13
	// longInterval is the number of submissions of which one has tasks that outlast a lease.
	longInterval = 5
	longMilliCPU = 100
	lostAfter    = 10 * time.Second // an accepted submission that is unknown after this time counts as lost
)

// submission is a submission that a caller has sent.
type submission struct {
	id, path   string
	timed      bool
	endless    bool // it is timed and never ends by itself
	spec       string
	account    int
	acceptedAt time.Time
	canceled   bool
}

// submit generates submission n and sends it until it is accepted; it cancels some of them
// afterwards. It returns nil if the submission was not accepted.
func (r *soakRun) submit(ctx context.Context, rng *rand.Rand, n int) *submission {
	s := &submission{account: n % accountCount, id: fmt.Sprintf("%016x", uint64(n)+r.opts.Seed<<20)}
	if r.accounts.flooding() {
		s.account = 0
	}
	prefix := standin.QueuePrefix
	advised := rng.IntN(3) == 0
	if advised {
		prefix = standin.AdvisedQueuePrefix
	}
	s.path = prefix + s.id
	switch rng.IntN(12) {
	case 0:
		s.spec = "fail ms=50"
	case 1:
		s.spec = "lasts"
	default:
		s.spec = fmt.Sprintf("ms=%d", 50+rng.IntN(900))
	}
	tasks := 1 + rng.IntN(4)
	if n%crashingInterval == crashingInterval-1 {
		s.spec, tasks = standin.CrashSpec, 1
	}
	milliCPU := 1000 * (1 + rng.IntN(6))
	timed := n%timedInterval == timedInterval-1
	long := n%longInterval == longInterval-1 && !timed && s.spec != standin.CrashSpec
	if long {
		s.spec, milliCPU = fmt.Sprintf("ms=%d", 8000+rng.IntN(6000)), longMilliCPU
	}
	sub := standin.SingleStep(s.spec, tasks, milliCPU)
	if rng.IntN(3) == 0 && !long {
		second := sub.Steps[0]
		second.After = []int{0}
		sub.Steps = append(sub.Steps, second)
	}
	sub.Steps[0].Gang = rng.IntN(6) == 0
	sub.Account, sub.Advised = accountName(s.account), advised
	if timed {
		s.timed, s.endless = true, rng.IntN(2) == 0
		setTimes(&sub, rng, s.endless)
	}
	body := sub.Body()
	cancel := s.spec == "lasts" || s.endless || rng.IntN(15) == 0
	r.platform.Checker.RecordSubmission(s.id, sub)
	allRejected := true
	for range maxSubmitAttempts {
		status, _ := r.sendRequest(ctx, rng, s, http.MethodPost, body)
		switch status {
		case http.StatusOK:
			s.acceptedAt = time.Now()
			if cancel {
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				r.cancel(ctx, rng, s)
			}
			return s
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized:
		default:
			allRejected = false
		}
		time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
	}
	if allRejected {
		r.platform.Checker.RecordRejection(s.id)
	}
	return nil
}

// setTimes makes a submission a timed one. An endless one asks for as many times as JSON numbers can express, some of them
// without an interval or from a time long past.
func setTimes(sub *standin.Submission, rng *rand.Rand, endless bool) {
	sub.Times, sub.FirstRunMS, sub.IntervalMS = int64(2+rng.IntN(3)), time.Now().UnixMilli()+int64(rng.IntN(1000)), int64(rng.IntN(1500))
	if !endless {
		return
	}
	sub.Times = 1<<53 - 1
	switch rng.IntN(3) {
	case 0:
		sub.IntervalMS = 0
	case 1:
		sub.FirstRunMS = 0
	}
}

// cancel sends a cancellation until it is confirmed.
func (r *soakRun) cancel(ctx context.Context, rng *rand.Rand, s *submission) {
	for ctx.Err() == nil {
		status, _ := r.sendRequest(ctx, rng, s, http.MethodDelete, "")
		if status == http.StatusOK || status == http.StatusGone {
			s.canceled = true
			time.AfterFunc(maxCancelDelay, func() { r.platform.Checker.RecordCancellation(s.id) })
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// sendRequest sends a request for a submission to a random VM, with the newest key of its account;
// status 0 means that no complete response was received.
func (r *soakRun) sendRequest(ctx context.Context, rng *rand.Rand, s *submission, method, body string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := standin.Client{HTTP: r.client, Key: r.accounts.currentKey(s.account)}
	status, response, err := client.Do(ctx, method, r.randomVM(rng).callerAddress, s.path, body)
	if err != nil {
		return 0, ""
	}
	return status, response
}

// checkFinalState queries a submission and reports whether its state is final. A final state
// that contradicts the submission is a violation, as is an accepted submission that is unknown.
func (r *soakRun) checkFinalState(ctx context.Context, rng *rand.Rand, s *submission) bool {
	status, response := r.sendRequest(ctx, rng, s, http.MethodGet, "")
	switch {
	case status == http.StatusGone && time.Since(s.acceptedAt) > lostAfter:
		r.platform.Checker.AddViolation("LOST: %s was accepted %v ago but is unknown", s.id, time.Since(s.acceptedAt))
		return true
	case status != http.StatusOK:
		return false
	}
	final := ""
	for _, state := range []string{"completed", "failed", "cancelled"} {
		if strings.Contains(response, state) {
			final = state
		}
	}
	switch {
	case final == "":
		return false
	case final == "failed" && s.spec == standin.CrashSpec:
		r.checkCrashes(s)
	case final == "completed" && s.spec == standin.CrashSpec:
		r.platform.Checker.AddViolation("MIXED: %s is reported as completed, but its task crashes its workers", s.id)
	case final == "failed" && strings.HasPrefix(s.spec, "fail") && !s.timed:
		r.platform.Checker.CheckFailed(s.id)
	case final == "failed" && !strings.HasPrefix(s.spec, "fail"):
		r.platform.Checker.AddViolation("LOST: %s is reported as failed, but its tasks do not fail", s.id)
	case final == "completed" && strings.HasPrefix(s.spec, "fail"):
		r.platform.Checker.AddViolation("MIXED: %s is reported as completed, but its tasks fail", s.id)
	case final == "completed" && s.endless:
		r.platform.Checker.AddViolation("MIXED: %s is reported as completed, but has no last time", s.id)
	case final == "completed":
		r.platform.Checker.CheckCompleted(s.id)
	case final == "cancelled" && !s.canceled:
		r.platform.Checker.AddViolation("LOST: %s is reported as canceled, but no caller canceled it", s.id)
	}
	return true
}

// checkCrashes checks that a task of a failed submission, in any of its occurrences, has crashed two workers.
func (r *soakRun) checkCrashes(s *submission) {
	if crashes := r.platform.Checker.MostCrashes(s.id); crashes < 2 {
		r.platform.Checker.AddViolation("LOST: %s is reported as failed after %d crashes", s.id, crashes)
	}
}

// checkConfigurations checks that every VM serves the last queue of the newest configuration and not
// the first one that it does not have.
func (r *soakRun) checkConfigurations(ctx context.Context) {
	for _, v := range r.vms {
		var last, absent int
		for deadline := time.Now().Add(configurationTime); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			last = r.queueStatus(ctx, v, max(r.unusedQueues-1, 0))
			absent = r.queueStatus(ctx, v, r.unusedQueues)
			if (last == http.StatusOK || r.unusedQueues == 0) && absent == http.StatusNotFound {
				break
			}
		}
		if last != http.StatusOK && r.unusedQueues > 0 || absent != http.StatusNotFound {
			r.platform.Checker.AddViolation("CONFIG: %s responds with %d and %d for the last queue of version %d and for one that it does not have", v.name, last, absent, r.version)
		}
	}
}

// queueStatus returns the status of the response of a VM to a query of an unused queue's length.
func (r *soakRun) queueStatus(ctx context.Context, v *vm, queue int) int {
	return r.statusOf(ctx, v, r.accounts.currentKey(0), standin.UnusedQueuePrefix(queue))
}
