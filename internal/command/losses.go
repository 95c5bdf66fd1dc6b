package command

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Reasons why a submission was not served within its objective.
const (
	lossRefused       = "refused: the store did not answer"
	lossUnknown       = "outcome of the write unknown"
	lossOwner         = "accepted, waited for an owner"
	lossFirstStart    = "accepted, waited for its first start"
	lossStepBetween   = "a step ended, the next did not start"
	lossRunning       = "its runs took long, or were repeated"
	lossNotCompleted  = "failed"
	lossBeforeStoring = "ended while the store did not answer"
)

// defaultCallerPatience is how long callers repeat a refused submission if they name no deadline.
const defaultCallerPatience = 3 * time.Second

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:  "losses",
		Usage: "read the logs of all VMs from standard input and print which submissions missed their objectives, when and why",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "interval", Usage: "`LENGTH` of the rows, by the time of arrival", Value: 2 * time.Second},
			&cli.DurationFlag{Name: "patience", Usage: "`TIME` for which callers repeat a refused submission", Value: defaultCallerPatience},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			records, err := readLog(os.Stdin)
			if err != nil {
				return err
			}
			return writeLosses(c.Root().Writer, findLosses(records, c.Duration("patience")), c.Duration("interval"))
		},
	}
}

// loss is a submission that was not served within its objective.
type loss struct {
	arrivedAt time.Time
	queue     string
	reason    string
	// unavoidable is set if nothing that the VMs decide could have served it in time: an outage of the
	// store outlasted the patience of its caller, or its objective.
	unavoidable bool
}

// submissionTimes is what the log tells of one submission; times that it does not tell are zero.
type submissionTimes struct {
	queue                                      string
	firstAttempt, accepted, taken, firstPlaced time.Time
	lastPlaced, lastRunEnd, ended              time.Time
	stepWait                                   time.Duration // from the end of a run to a later start
	unknown                                    bool          // the outcome of a write was not known
	state                                      string
	objective                                  time.Duration
}

// outage is a time in which the store answered no VM.
type outage struct{ from, to time.Time }

// findLosses returns the losses in a log, in the order of arrival. records are sorted by stamp.
func findLosses(records []logRecord, patience time.Duration) []loss {
	submissions := map[string]*submissionTimes{}
	var outages []outage
	for _, r := range records {
		at, err := time.Parse(time.RFC3339Nano, r.text("time"))
		if err != nil {
			continue
		}
		outages = trackOutage(outages, r, at)
		id := r.text("submission")
		if task := r.text("task"); id == "" {
			id, _, _ = strings.Cut(task, ".")
		}
		if id == "" {
			continue
		}
		s := submissions[id]
		if s == nil {
			s = &submissionTimes{}
			submissions[id] = s
		}
		s.apply(r, at)
	}
	var losses []loss
	for _, s := range submissions {
		if l, missed := s.loss(outages, patience); missed {
			losses = append(losses, l)
		}
	}
	slices.SortFunc(losses, func(a, b loss) int {
		return cmp.Or(a.arrivedAt.Compare(b.arrivedAt), cmp.Compare(a.queue, b.queue), cmp.Compare(a.reason, b.reason))
	})
	return losses
}

// trackOutage extends the list of outages by a record. An owner without authority shows one as well as
// a VM whose writes have no answer.
func trackOutage(outages []outage, r logRecord, at time.Time) []outage {
	isCommit := r.text("call") == "commit"
	open := len(outages) > 0 && outages[len(outages)-1].to.IsZero()
	switch name := r.text("name"); {
	case !open && (name == "authority-lost" || name == "store-call-failed" && isCommit):
		return append(outages, outage{from: at})
	case open && (name == "authority-regained" || name == "owner-elected" || name == "store-call-answered" && isCommit):
		outages[len(outages)-1].to = at
	}
	return outages
}

// apply adds what a record tells of the submission.
func (s *submissionTimes) apply(r logRecord, at time.Time) {
	if queue := r.text("queue"); queue != "" {
		s.queue = queue
	}
	first := func(t *time.Time) {
		if t.IsZero() {
			*t = at
		}
	}
	switch r.text("name") {
	case "submission-accepted":
		first(&s.firstAttempt)
		first(&s.accepted)
	case "caller-refused":
		if r.text("method") == "POST" {
			first(&s.firstAttempt)
			s.unknown = s.unknown || r.text("status") == "504"
		}
	case "submission-taken":
		first(&s.taken)
	case "run-placed":
		first(&s.firstPlaced)
		if s.lastRunEnd.After(s.lastPlaced) {
			s.stepWait += at.Sub(s.lastRunEnd)
		}
		s.lastPlaced = at
	case "run-ended":
		s.lastRunEnd = at
	case "submission-ended":
		s.ended, s.state = at, r.text("state")
		s.objective, _ = time.ParseDuration(r.text("objective")) // zero if the log does not tell it
	}
}

// loss returns why the submission was not served within its objective; false if it was.
func (s *submissionTimes) loss(outages []outage, patience time.Duration) (loss, bool) {
	l := loss{arrivedAt: s.firstAttempt, queue: cmp.Or(s.queue, "?")}
	if s.accepted.IsZero() {
		if s.firstAttempt.IsZero() {
			return l, false // it arrived before the log begins
		}
		l.reason = lossRefused
		if s.unknown {
			l.reason = lossUnknown
		}
		l.unavoidable = downThroughout(outages, s.firstAttempt, s.firstAttempt.Add(patience))
		return l, true
	}
	shown := s.ended
	for _, o := range outages {
		if !s.ended.IsZero() && !s.ended.Before(o.from) && s.ended.Before(o.to) {
			shown = o.to // a final state is shown once it is stored
		}
	}
	due := s.firstAttempt.Add(s.objective)
	switch {
	case s.state == "canceled" || s.ended.IsZero() || s.state == "completed" && !shown.After(due):
		return l, false
	case s.state == "failed":
		l.reason = lossNotCompleted
		return l, true
	case shown.After(s.ended) && !s.ended.After(due):
		l.reason, l.unavoidable = lossBeforeStoring, true
		return l, true
	}
	waits := []struct {
		reason string
		length time.Duration
	}{
		{lossOwner, s.taken.Sub(s.accepted)},
		{lossFirstStart, s.firstPlaced.Sub(s.taken)},
		{lossStepBetween, s.stepWait},
	}
	longest := waits[0]
	for _, w := range waits {
		if w.length > longest.length {
			longest = w
		}
	}
	l.reason = longest.reason
	if s.ended.Sub(due) > longest.length {
		l.reason = lossRunning
	}
	return l, true
}

// downThroughout reports whether an outage lasted from a time to another.
func downThroughout(outages []outage, from, to time.Time) bool {
	return slices.ContainsFunc(outages, func(o outage) bool {
		return !o.from.After(from) && (o.to.IsZero() || !o.to.Before(to))
	})
}

// text returns a field of the record as text, empty if it has none.
func (r logRecord) text(field string) string {
	switch v := r.fields[field].(type) {
	case string:
		return v
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return ""
}

// writeLosses prints one line for each interval, queue and reason.
func writeLosses(w io.Writer, losses []loss, interval time.Duration) error {
	type key struct {
		at            time.Time
		queue, reason string
	}
	count, unavoidable := map[key]int{}, map[key]int{}
	for _, l := range losses {
		k := key{l.arrivedAt.Truncate(interval), l.queue, l.reason}
		count[k]++
		if l.unavoidable {
			unavoidable[k]++
		}
	}
	keys := slices.SortedFunc(maps.Keys(count), func(a, b key) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.queue, b.queue), cmp.Compare(a.reason, b.reason))
	})
	if _, err := fmt.Fprintf(w, "%-12s  %-16s  %5s  %11s  %s\n", "from", "queue", "lost", "unavoidable", "reason"); err != nil {
		return errors.Wrap(err, "write the losses")
	}
	for _, k := range keys {
		if _, err := fmt.Fprintf(w, "%-12s  %-16s  %5d  %11d  %s\n", k.at.Format("15:04:05.0"), k.queue, count[k], unavoidable[k], k.reason); err != nil {
			return errors.Wrap(err, "write the losses")
		}
	}
	return nil
}
