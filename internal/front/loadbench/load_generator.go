package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertcross/internal/front"
	"filbertcross/internal/verdict"
)

// maxRecordedTime is the upper bound of the histograms.
const maxRecordedTime = time.Minute

// source generates the requests of one branch as an open-loop Poisson process.
type source struct {
	branch  string
	rate    float64 // requests per second
	skewed  bool    // sends all requests to the first VM instead of a random one
	results *results
}

// results holds the outcomes of the requests of one source that were due in the
// measured time. Safe for concurrent use.
type results struct {
	mu            sync.Mutex
	responseTimes *hdrhistogram.Histogram // microseconds from the due time to the response
	addedTimes    *hdrhistogram.Histogram // microseconds of that outside the backend server
	inTime        int                     // responses within the deadline that came in the measured time
	notRun        int
	mayHaveRun    int // verdict may-have-run
}

func newResults() *results {
	return &results{
		responseTimes: hdrhistogram.New(1, maxRecordedTime.Microseconds(), 3),
		addedTimes:    hdrhistogram.New(1, maxRecordedTime.Microseconds(), 3),
	}
}

// addInTime counts a response within the deadline.
func (r *results) addInTime() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inTime++
}

// add records the outcome of one request. Response times stay below maxRecordedTime,
// so RecordValue does not fail.
func (r *results) add(result requestResult, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result.verdict {
	case verdict.Done:
		_ = r.responseTimes.RecordValue(took.Microseconds())
		_ = r.addedTimes.RecordValue(max(1, (took - result.serverTime).Microseconds()))
	case verdict.NotRun:
		r.notRun++
	default:
		r.mayHaveRun++
	}
}

// quantile returns the q-th percentile of a histogram of microseconds.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// requestResult is the outcome of one request.
type requestResult struct {
	verdict    verdict.Verdict
	serverTime time.Duration // between arrival and response at the backend server
}

// sender sends one request of a source.
type sender func(ctx context.Context, random *rand.Rand, s *source) requestResult

// generate runs the sources for the warm-up and the measured time, and returns when
// all requests are finished. It calls measured when the warm-up ends. A request is
// sent when it is due, even if earlier ones are still in flight.
func generate(s settings, send sender, sources []*source, measured func()) {
	var callers sync.WaitGroup
	start := time.Now()
	for i, src := range sources {
		src.results = newResults()
		callers.Go(func() { generateArrivals(s, send, src, uint64(i), start, &callers) })
	}
	time.Sleep(time.Until(start.Add(s.warmUp)))
	measured()
	callers.Wait()
}

// generateArrivals sends the requests of one source when they are due.
func generateArrivals(s settings, send sender, src *source, stream uint64, start time.Time, callers *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(s.seed, 1000+stream))
	end := start.Add(s.warmUp + s.measured)
	due := start
	for {
		due = due.Add(time.Duration(random.ExpFloat64() / src.rate * float64(time.Second)))
		if due.After(end) {
			return
		}
		time.Sleep(time.Until(due))
		dueTime, requestRandom := due, rand.New(rand.NewPCG(random.Uint64(), stream))
		callers.Go(func() {
			result := send(context.Background(), requestRandom, src)
			now := time.Now()
			took := now.Sub(dueTime)
			if dueTime.Sub(start) > s.warmUp {
				src.results.add(result, took)
			}
			if result.verdict == verdict.Done && took <= s.deadline && now.Sub(start) > s.warmUp && now.Before(end) {
				src.results.addInTime()
			}
		})
	}
}

// callerClient is the HTTP client of all callers.
var callerClient = &http.Client{Transport: &http.Transport{
	MaxIdleConnsPerHost: 4096,
	DisableCompression:  true,
}}

// sendThroughVM returns a sender that selects the entry VM at random, like a load
// balancer without information about the VMs.
func sendThroughVM(c *cluster) sender {
	return func(ctx context.Context, random *rand.Rand, s *source) requestResult {
		vm := c.vms[0]
		if !s.skewed {
			vm = c.vms[random.IntN(len(c.vms))]
		}
		url := vm.http.URL + "/v1/branches/" + s.branch + "/services/" + service + "/check"
		return sendGet(ctx, url, c.settings.deadline)
	}
}

// sendDirect returns a sender that assigns requests to the servers from one central
// queue for all slots. No routing can do better.
func sendDirect(c *cluster) sender {
	slots := make(chan *backendServer, len(c.servers)*c.settings.slots)
	for range c.settings.slots {
		for _, b := range c.servers {
			slots <- b
		}
	}
	return func(ctx context.Context, _ *rand.Rand, _ *source) requestResult {
		timeout := time.NewTimer(c.settings.deadline)
		defer timeout.Stop()
		select {
		case b := <-slots:
			defer func() { slots <- b }()
			result := sendGet(ctx, b.http.URL+"/check", c.settings.deadline)
			result.verdict = verdict.Done
			return result
		case <-timeout.C:
			return requestResult{verdict: verdict.NotRun}
		}
	}
}

// sendGet sends one GET request and returns its outcome.
func sendGet(ctx context.Context, url string, deadline time.Duration) requestResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return requestResult{verdict: verdict.NotRun}
	}
	request.Header.Set(front.HeaderDeadline, deadline.String())
	response, err := callerClient.Do(request)
	if err != nil {
		return requestResult{verdict: verdict.MayHaveRun}
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	took, _ := strconv.ParseInt(response.Header.Get(headerServerTime), 10, 64) // absent if the request was refused
	return requestResult{
		verdict:    verdict.Parse(response.Header.Get(front.HeaderVerdict)),
		serverTime: time.Duration(took) * time.Microsecond,
	}
}
