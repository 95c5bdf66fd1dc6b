package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/ingress"
)

// A body that is not read for lack of memory gets 504: status 503 guarantees that the submission never
// runs, but an earlier request with its id, whose response was lost, may have been stored.
func TestStatus504ForBodiesThatAreNotRead(t *testing.T) {
	format := Format{
		DeadlineHeader: "Deadline-Ms", ValidID: func(string) bool { return true },
		ParseSubmission: func(id string, _ []byte) (fleet.Submission, error) { return fleet.Submission{ID: fleet.JobID(id)}, nil },
		DecodedSize:     func(body []byte) int64 { return int64(len(body)) },
	}
	const memory = 100 // bytes
	guard := ingress.NewGuard(ingress.Options{
		Name: "test", Limits: ingress.Limits{Connections: 4, ArrivalMemory: memory, DecodingMemory: memory},
		HeaderBytes: func() int64 { return 1 << 10 }, Events: event.Discard{}, Scope: tally.NoopScope,
	})
	server := &http.Server{
		Handler:           NewHandler(format, AgeLimits{Reject: time.Second, Accept: time.Second}, fakeView{}, &fakeStore{}, nil, event.Discard{}, tally.NoopScope),
		ReadHeaderTimeout: time.Minute,
	}
	guard.Install(server)
	l, err := guard.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }() // returns after Close
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/q/a", strings.NewReader(strings.Repeat(" ", 2*memory)))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "example.com"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusGatewayTimeout || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("status %d, Retry-After %q, close %v, want 504 with Retry-After on a connection that closes", response.StatusCode, response.Header.Get("Retry-After"), response.Close)
	}
}
