package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"filbertcross/internal/api"
	"filbertcross/internal/standin"
	"filbertcross/internal/verdict"
)

// Load sends checks and bookings to the VMs as the platform's balancer would:
// in turn, to those whose readiness answers, knowing nothing else.
type Load struct {
	client *http.Client
	urls   []string // of the VMs
	ready  []atomic.Bool

	mu       sync.Mutex
	tally    ResponseCounts
	verdicts map[string]verdict.Verdict // of each booking
}

// Tally counts the answers of a load.
type ResponseCounts struct {
	Sent, Done, NotRun, MayHaveRun, NoResponse, Mismatched int
}

// NewLoad returns a load on the VMs at the given URLs; none counts as ready yet.
func NewLoad(urls []string) *Load {
	return &Load{
		client:   &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		urls:     urls,
		ready:    make([]atomic.Bool, len(urls)),
		verdicts: map[string]verdict.Verdict{},
	}
}

const (
	readinessInterval = 100 * time.Millisecond
	readinessTimeout  = 300 * time.Millisecond
)

// WatchReadiness polls each VM's readiness until the context ends.
func (l *Load) WatchReadiness(ctx context.Context) {
	poll := &http.Client{Timeout: readinessTimeout}
	for i, url := range l.urls {
		go func() {
			for ctx.Err() == nil {
				resp, err := poll.Get(url + "/readyz")
				if err == nil {
					resp.Body.Close()
				}
				l.ready[i].Store(err == nil && resp.StatusCode == http.StatusOK)
				time.Sleep(readinessInterval)
			}
		}()
	}
}

// Run sends requests at a steady rate until the context ends, then waits for the answers.
func (l *Load) Run(ctx context.Context, perSecond int, label string) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var answers sync.WaitGroup
	defer answers.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		url, ok := l.pick(n)
		if !ok {
			continue
		}
		answers.Add(1)
		go func() {
			defer answers.Done()
			if n%4 == 0 {
				l.SendBooking(url, fmt.Sprintf("%s-%d", label, n))
				return
			}
			l.check(url, fmt.Sprintf("hall-%s-%d", label, n))
		}()
	}
}

func (l *Load) pick(n int) (string, bool) {
	for i := range l.urls {
		candidate := (n + i) % len(l.urls)
		if l.ready[candidate].Load() {
			return l.urls[candidate], true
		}
	}
	return "", false
}

// check asks for a hall's availability; the answer must name that hall.
func (l *Load) check(url, hall string) {
	req, _ := http.NewRequest(http.MethodGet, url+"/v1/branches/sofia-academy/services/zalibook/availability/"+hall, nil)
	answer, v, err := l.send(req)
	wrong := v == verdict.Done && answer.Path != "/availability/"+hall
	l.count(v, err, wrong)
}

// Book files a booking under its own idempotency key.
func (l *Load) SendBooking(url, booking string) (standin.BackendResponse, verdict.Verdict) {
	req, _ := http.NewRequest(http.MethodPost, url+"/v1/branches/sofia-academy/services/zalibook/bookings?booking="+booking, nil)
	req.Header.Set(api.HeaderIdempotencyKey, booking)
	answer, v, err := l.send(req)
	l.count(v, err, v == verdict.Done && answer.Booking != booking)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.verdicts[booking] = strongest(l.verdicts, booking, v)
	return answer, v
}

// strongest keeps, of all answers to one booking, the one that says most: done, then
// may have run, then not run.
func strongest(verdicts map[string]verdict.Verdict, booking string, v verdict.Verdict) verdict.Verdict {
	before, known := verdicts[booking]
	if !known || v == verdict.Done || before == verdict.NotRun {
		return v
	}
	return before
}

func (l *Load) send(req *http.Request) (standin.BackendResponse, verdict.Verdict, error) {
	req.Header.Set("Filbertcross-Deadline", "5s")
	resp, err := l.client.Do(req)
	if err != nil {
		return standin.BackendResponse{}, verdict.MayHaveRun, err
	}
	defer resp.Body.Close()
	var answer standin.BackendResponse
	v := verdict.Parse(resp.Header.Get(api.HeaderVerdict))
	if v != verdict.Done {
		return answer, v, nil
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, verdict.MayHaveRun, err
	}
	return answer, v, nil
}

func (l *Load) count(v verdict.Verdict, err error, wrong bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.Sent++
	switch {
	case wrong:
		l.tally.Mismatched++
	case err != nil:
		l.tally.NoResponse++
	case v == verdict.Done:
		l.tally.Done++
	case v == verdict.NotRun:
		l.tally.NotRun++
	default:
		l.tally.MayHaveRun++
	}
}

// Counts returns the tally so far and starts a new one.
func (l *Load) TakeCounts() ResponseCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.tally
	l.tally = ResponseCounts{}
	return counts
}

// Verdicts returns the verdict of each booking so far.
func (l *Load) BookingVerdicts() map[string]verdict.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.verdicts)
}

// Ready reports whether every VM answered its last readiness check.
func (l *Load) AllReady() bool {
	for i := range l.ready {
		if !l.ready[i].Load() {
			return false
		}
	}
	return true
}

// String writes the counts in one line.
func (t ResponseCounts) String() string {
	return fmt.Sprintf("%d sent: %d done, %d not run, %d may have run, %d without an answer, %d wrong",
		t.Sent, t.Done, t.NotRun, t.MayHaveRun, t.NoResponse, t.Mismatched)
}
