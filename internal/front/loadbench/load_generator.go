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

// maxRecordedTime is the largest time that the histograms hold.
const maxRecordedTime = time.Minute

// source is one branch's open arrival process.
type source struct {
	branch  string
	rate    float64 // requests a second
	skewed  bool    // all to the first VM instead of a random one
	results *results
}

// results are what the callers of one source got in the measured time.
type results struct {
	mu         sync.Mutex
	answered   *hdrhistogram.Histogram // microseconds since an arrival was due
	added      *hdrhistogram.Histogram // of them, not spent at the server
	inTime     int                     // that were answered in time during the measured time
	notRun     int
	mayHaveRun int // told that the request may have run
}

func newResults() *results {
	return &results{
		answered: hdrhistogram.New(1, maxRecordedTime.Microseconds(), 3),
		added:    hdrhistogram.New(1, maxRecordedTime.Microseconds(), 3),
	}
}

// addInTime counts an answer that came in time.
func (r *results) addInTime() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inTime++
}

// add counts one request. Times beyond the histograms' bounds cannot be.
func (r *results) add(got reply, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch got.verdict {
	case verdict.Done:
		_ = r.answered.RecordValue(took.Microseconds())
		_ = r.added.RecordValue(max(1, (took - got.serverTime).Microseconds()))
	case verdict.NotRun:
		r.notRun++
	default:
		r.mayHaveRun++
	}
}

// quantile returns a quantile of a histogram.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// reply is what a caller got.
type reply struct {
	verdict    verdict.Verdict
	serverTime time.Duration // that the server had the request
}

// sender sends one request.
type sender func(ctx context.Context, random *rand.Rand, s *source) reply

// generate runs the sources until the measured time is over and all callers have
// their answers. Arrivals never wait for earlier ones.
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

// generateArrivals starts one source's requests at the moments that they are due.
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
		moment, own := due, rand.New(rand.NewPCG(random.Uint64(), stream))
		callers.Go(func() {
			got := send(context.Background(), own, src)
			now := time.Now()
			took := now.Sub(moment)
			if moment.Sub(start) > s.warmUp {
				src.results.add(got, took)
			}
			if got.verdict == verdict.Done && took <= s.deadline && now.Sub(start) > s.warmUp && now.Before(end) {
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

// sendThroughVM sends requests to a random VM, as a balancer that knows nothing.
func sendThroughVM(c *cluster) sender {
	return func(ctx context.Context, random *rand.Rand, s *source) reply {
		vm := c.vms[0]
		if !s.skewed {
			vm = c.vms[random.IntN(len(c.vms))]
		}
		url := vm.http.URL + "/v1/branches/" + s.branch + "/services/" + service + "/check"
		return sendGet(ctx, url, c.settings.deadline)
	}
}

// sendDirect sends requests to the servers over one central queue for all slots: the
// best that any routing can do.
func sendDirect(c *cluster) sender {
	slots := make(chan *backendServer, len(c.servers)*c.settings.slots)
	for range c.settings.slots {
		for _, b := range c.servers {
			slots <- b
		}
	}
	return func(ctx context.Context, _ *rand.Rand, _ *source) reply {
		timeout := time.NewTimer(c.settings.deadline)
		defer timeout.Stop()
		select {
		case b := <-slots:
			defer func() { slots <- b }()
			got := sendGet(ctx, b.http.URL+"/check", c.settings.deadline)
			got.verdict = verdict.Done
			return got
		case <-timeout.C:
			return reply{verdict: verdict.NotRun}
		}
	}
}

// sendGet makes one request and returns the verdict of its answer.
func sendGet(ctx context.Context, url string, deadline time.Duration) reply {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return reply{verdict: verdict.NotRun}
	}
	request.Header.Set(front.HeaderDeadline, deadline.String())
	answer, err := callerClient.Do(request)
	if err != nil {
		return reply{verdict: verdict.MayHaveRun}
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	took, _ := strconv.ParseInt(answer.Header.Get(headerServerTime), 10, 64) // absent in refusals
	return reply{
		verdict:    verdict.Parse(answer.Header.Get(front.HeaderVerdict)),
		serverTime: time.Duration(took) * time.Microsecond,
	}
}
