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

// Load sends availability checks and bookings to the VMs as the platform's load
// balancer does: round robin over the VMs whose readiness endpoint succeeds, without
// other knowledge of their state. Safe for concurrent use.
type Load struct {
	client *http.Client
	vmURLs []string
	ready  []atomic.Bool

	mu             sync.Mutex
	responseCounts ResponseCounts
	verdicts       map[string]verdict.Verdict // by booking, see mostConclusive
}

// ResponseCounts counts the responses to a load by verdict. Mismatched responses belong
// to another request; NoResponse counts requests that failed without a response.
type ResponseCounts struct {
	Sent, Done, NotRun, MayHaveRun, NoResponse, Mismatched int
}

// NewLoad returns a load for the VMs at the given URLs. It sends no request before
// WatchReadiness has found a VM ready.
func NewLoad(urls []string) *Load {
	return &Load{
		client:   &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		vmURLs:   urls,
		ready:    make([]atomic.Bool, len(urls)),
		verdicts: map[string]verdict.Verdict{},
	}
}

const (
	readinessInterval = 100 * time.Millisecond
	readinessTimeout  = 300 * time.Millisecond
)

// WatchReadiness starts polling each VM's readiness until the context is canceled.
func (l *Load) WatchReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readinessTimeout}
	for i, url := range l.vmURLs {
		go func() {
			for ctx.Err() == nil {
				resp, err := client.Get(url + "/readyz")
				if err == nil {
					resp.Body.Close()
				}
				l.ready[i].Store(err == nil && resp.StatusCode == http.StatusOK)
				time.Sleep(readinessInterval)
			}
		}()
	}
}

// Run sends requests at a constant rate until the context is canceled, then waits for
// the responses. One request in four is a booking, named after label and its number.
func (l *Load) Run(ctx context.Context, perSecond int, label string) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		url, ok := l.selectReadyVM(n)
		if !ok {
			continue
		}
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			if n%4 == 0 {
				l.SendBooking(url, fmt.Sprintf("%s-%d", label, n))
				return
			}
			l.checkAvailability(url, fmt.Sprintf("hall-%s-%d", label, n))
		}()
	}
}

func (l *Load) selectReadyVM(n int) (string, bool) {
	for i := range l.vmURLs {
		candidate := (n + i) % len(l.vmURLs)
		if l.ready[candidate].Load() {
			return l.vmURLs[candidate], true
		}
	}
	return "", false
}

// checkAvailability requests a hall's availability; the response must name that hall.
func (l *Load) checkAvailability(url, hall string) {
	req, _ := http.NewRequest(http.MethodGet, url+"/v1/branches/sofia-academy/services/zalibook/availability/"+hall, nil)
	response, v, err := l.sendRequest(req)
	mismatched := v == verdict.Done && response.Path != "/availability/"+hall
	l.countResponse(v, err, mismatched)
}

// SendBooking sends a booking with its name as the idempotency key and records its
// verdict.
func (l *Load) SendBooking(url, booking string) (standin.BackendResponse, verdict.Verdict) {
	req, _ := http.NewRequest(http.MethodPost, url+"/v1/branches/sofia-academy/services/zalibook/bookings?booking="+booking, nil)
	req.Header.Set(api.HeaderIdempotencyKey, booking)
	response, v, err := l.sendRequest(req)
	l.countResponse(v, err, v == verdict.Done && response.Booking != booking)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.verdicts[booking] = mostConclusive(l.verdicts, booking, v)
	return response, v
}

// mostConclusive returns the most conclusive verdict among the recorded one and v for a
// booking: done before may-have-run before not-run.
func mostConclusive(verdicts map[string]verdict.Verdict, booking string, v verdict.Verdict) verdict.Verdict {
	previous, known := verdicts[booking]
	if !known || v == verdict.Done || previous == verdict.NotRun {
		return v
	}
	return previous
}

func (l *Load) sendRequest(req *http.Request) (standin.BackendResponse, verdict.Verdict, error) {
	req.Header.Set("Filbertcross-Deadline", "5s")
	resp, err := l.client.Do(req)
	if err != nil {
		return standin.BackendResponse{}, verdict.MayHaveRun, err
	}
	defer resp.Body.Close()
	var response standin.BackendResponse
	v := verdict.Parse(resp.Header.Get(api.HeaderVerdict))
	if v != verdict.Done {
		return response, v, nil
	}
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return response, verdict.MayHaveRun, err
	}
	return response, v, nil
}

func (l *Load) countResponse(v verdict.Verdict, err error, mismatched bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responseCounts.Sent++
	switch {
	case mismatched:
		l.responseCounts.Mismatched++
	case err != nil:
		l.responseCounts.NoResponse++
	case v == verdict.Done:
		l.responseCounts.Done++
	case v == verdict.NotRun:
		l.responseCounts.NotRun++
	default:
		l.responseCounts.MayHaveRun++
	}
}

// TakeCounts returns the counts since the last call and resets them.
func (l *Load) TakeCounts() ResponseCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.responseCounts
	l.responseCounts = ResponseCounts{}
	return counts
}

// BookingVerdicts returns a copy of the verdict of each booking so far.
func (l *Load) BookingVerdicts() map[string]verdict.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.verdicts)
}

// AllReady reports whether the last readiness poll of every VM succeeded.
func (l *Load) AllReady() bool {
	for i := range l.ready {
		if !l.ready[i].Load() {
			return false
		}
	}
	return true
}

// String formats the counts in one line.
func (c ResponseCounts) String() string {
	return fmt.Sprintf("%d sent: %d done, %d not run, %d may have run, %d without an answer, %d wrong",
		c.Sent, c.Done, c.NotRun, c.MayHaveRun, c.NoResponse, c.Mismatched)
}
