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

// Concurrent requests go to servers that fail in random ways, including late and
// mismatched responses. Every verdict must agree with the servers' own counts of
// executions.
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
	stopped := newFakeServer(t, "gone", respondWithPath)
	stopped.server.Close()
	options := Options{RetryBurst: requests, MaxAttempts: 2, DefaultDeadline: 4 * slowResponseTime, RequireRequestID: true}
	log.SetOutput(io.Discard) // net/http logs the duplicated responses
	defer log.SetOutput(os.Stderr)
	front := newTestFront(t, options, newFakeLedger(), append(servers, stopped)...)
	requestNumbers := make(chan int, requests)
	for i := range requests {
		requestNumbers <- i
	}
	close(requestNumbers)
	received := &verdictCounts{counts: map[string]int{}, notRunPaths: map[string]bool{}}
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for i := range requestNumbers {
				checkRequest(t, front.URL, servers, received, i)
			}
		})
	}
	group.Wait()
	time.Sleep(6 * slowResponseTime) // longer than any request in flight takes
	for path := range received.notRunPaths {
		if n := totalExecutions(servers, path); n > 0 {
			t.Errorf("%s with verdict not-run ran %d times later", path, n)
		}
	}
	if len(received.notRunPaths) == 0 || received.counts["done"] == 0 || received.counts["may-have-run"] == 0 {
		t.Errorf("not every verdict occurred: %v", received.counts)
	}
	t.Logf("verdicts: %v", received.counts)
}

// verdictCounts records the verdicts that the callers received.
type verdictCounts struct {
	mu          sync.Mutex
	counts      map[string]int
	notRunPaths map[string]bool // of requests sent once
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

// checkRequest sends request i, twice if it has an idempotency key, and checks the
// verdict against the executions.
func checkRequest(t *testing.T, url string, servers []*fakeServer, received *verdictCounts, i int) {
	methods := []string{"GET", "POST", "POST", "PUT"}
	method, keyed := methods[i%len(methods)], i%len(methods) == 1
	path := fmt.Sprintf("/request-%d", i)
	ran := func() int { return totalExecutions(servers, path) }
	transmissions := 1
	if keyed {
		transmissions = 2
	}
	for range transmissions {
		before := ran()
		verdict, body, err := sendAndReadVerdict(url, method, path, keyed)
		received.add(path, verdict, !keyed)
		switch {
		case err != nil:
			t.Errorf("%s %s: %v", method, path, err)
		case verdict == "done" && body != path:
			t.Errorf("%s %s got the response %q", method, path, body)
		case verdict == "not-run" && ran() != before:
			t.Errorf("%s %s has verdict not-run and ran", method, path)
		case verdict == "done" && ran() == 0:
			t.Errorf("%s %s has verdict done and never ran", method, path)
		}
	}
	if n := ran(); method == "POST" && n > 1 {
		t.Errorf("POST %s ran %d times, keyed %v", path, n, keyed)
	}
}

// sendAndReadVerdict sends a request of branch north, with its path as idempotency key
// if keyed. It returns an error if the response has no verdict.
func sendAndReadVerdict(url, method, path string, keyed bool) (verdict, body string, err error) {
	r, err := http.NewRequest(method, url+"/v1/branches/north/services/zalibook"+path, nil)
	if err != nil {
		return "", "", err
	}
	if keyed {
		r.Header.Set(HeaderIdempotencyKey, path)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if response.Header.Get(HeaderVerdict) == "" {
		err = errors.Newf("no verdict in %d %s", response.StatusCode, text)
	}
	return response.Header.Get(HeaderVerdict), string(text), err
}

// respondWithRandomFault returns a handler that selects a response or a fault at
// random for each request.
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
