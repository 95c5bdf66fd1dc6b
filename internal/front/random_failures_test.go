package front

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestVerdictsUnderRandomFailures sends many requests at once to servers that fail in random
// ways, late and crossed answers among them, and checks every verdict against the
// servers' own counts. Whatever happens, the promises hold.
func TestVerdictsUnderRandomFailures(t *testing.T) {
	const (
		seed     = 7
		requests = 600
		callers  = 16
	)
	var servers []*fakeServer
	for i := range 4 {
		servers = append(servers, newFakeServer(t, fmt.Sprintf("b%d", i), respondWithRandomFault(seed, uint64(i))))
	}
	gone := newFakeServer(t, "gone", respondWithPath)
	gone.server.Close()
	options := Options{RetryBurst: requests, MaxAttempts: 2, DefaultDeadline: 4 * slowResponseTime, RequireRequestID: true}
	log.SetOutput(io.Discard) // net/http's word on the duplicated answers
	defer log.SetOutput(os.Stderr)
	front := newTestFront(t, options, newFakeLedger(), append(servers, gone)...)
	work := make(chan int, requests)
	for i := range requests {
		work <- i
	}
	close(work)
	told := &verdictCounts{counts: map[string]int{}, notRunPaths: map[string]bool{}}
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for i := range work {
				checkRequest(t, front.URL, servers, told, i)
			}
		})
	}
	group.Wait()
	time.Sleep(6 * slowResponseTime) // anything still on its way has arrived
	for path := range told.notRunPaths {
		if n := totalExecutions(servers, path); n > 0 {
			t.Errorf("%s was told not run and ran %d times later", path, n)
		}
	}
	if len(told.notRunPaths) == 0 || told.counts["done"] == 0 || told.counts["may-have-run"] == 0 {
		t.Errorf("not all verdicts were met: %v", told.counts)
	}
	t.Logf("verdicts: %v", told.counts)
}

// verdictCounts are what the callers were told.
type verdictCounts struct {
	mu          sync.Mutex
	counts      map[string]int
	notRunPaths map[string]bool // paths of requests sent once
}

func (v *verdictCounts) add(path, verdict string, final bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.counts[verdict]++
	if verdict == "not-run" && final {
		v.notRunPaths[path] = true
	}
}

func totalExecutions(servers []*fakeServer, path string) (n int) {
	for _, s := range servers {
		n += s.executionsOf(path)
	}
	return n
}

// checkRequest sends request i, twice if it has a key, and judges the outcome.
func checkRequest(t *testing.T, url string, servers []*fakeServer, told *verdictCounts, i int) {
	methods := []string{"GET", "POST", "POST", "PUT"}
	method, keyed := methods[i%len(methods)], i%len(methods) == 1
	path := fmt.Sprintf("/request-%d", i)
	ran := func() int { return totalExecutions(servers, path) }
	sendings := 1
	if keyed {
		sendings = 2
	}
	for range sendings {
		before := ran()
		verdict, body, err := sendAndReadVerdict(url, method, path, keyed)
		told.add(path, verdict, !keyed)
		switch {
		case err != nil:
			t.Errorf("%s %s: %v", method, path, err)
		case verdict == "done" && body != path:
			t.Errorf("%s %s got the answer of %q", method, path, body)
		case verdict == "not-run" && ran() != before:
			t.Errorf("%s %s was told not run and ran", method, path)
		case verdict == "done" && ran() == 0:
			t.Errorf("%s %s is done and never ran", method, path)
		}
	}
	if n := ran(); method == "POST" && n > 1 {
		t.Errorf("POST %s ran %d times, keyed %v", path, n, keyed)
	}
}

func sendAndReadVerdict(url, method, path string, keyed bool) (verdict, body string, err error) {
	r, err := http.NewRequest(method, url+"/v1/branches/north/services/zalibook"+path, nil)
	if err != nil {
		return "", "", err
	}
	if keyed {
		r.Header.Set(HeaderIdempotencyKey, path)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if answer.Header.Get(HeaderVerdict) == "" {
		err = errors.Newf("no verdict in %d %s", answer.StatusCode, text)
	}
	return answer.Header.Get(HeaderVerdict), string(text), err
}

// respondWithRandomFault is a behaviour that draws a fault for each request.
func respondWithRandomFault(seed, stream uint64) func(http.ResponseWriter, *http.Request, func()) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, stream))
	const head = "HTTP/1.1 200 OK\r\nFilbertcross-Request-Id: "
	faults := []func(http.ResponseWriter, *http.Request, func()){
		respondWithPath, respondWithPath, respondWithPath, respondWithPath, respondWithPath, respondWithPath,
		respondRefused, respondRefused, respondRefused, respondRefused, resetConnection, respondLate,
		respondRaw(head + "ID\r\nContent-Length: 9\r\n\r\nabc"),
		respondRaw(head + "ID\r\n\r\nabc"),
		respondRaw(head + "vm-0-1.1\r\nContent-Length: 3\r\n\r\nabc"),
		respondTwice,
	}
	return func(w http.ResponseWriter, r *http.Request, run func()) {
		mu.Lock()
		fault := faults[random.IntN(len(faults))]
		mu.Unlock()
		fault(w, r, run)
	}
}
