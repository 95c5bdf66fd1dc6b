package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/admission"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// fakeView has a configuration with one queue, and no state.
type fakeView struct{}

func (fakeView) Configuration() *fleet.Configuration {
	return &fleet.Configuration{Version: 1, Queues: []fleet.Queue{{Name: "q", Host: "example.com", Prefix: "/q/"}}}
}
func (fakeView) ConfigurationAge() time.Duration { return 0 }
func (fakeView) SubmissionStatus(context.Context, fleet.JobID) (fleet.Status, error) {
	return fleet.Status{}, nil
}
func (fakeView) QueueLength(string) (int, bool)                         { return 0, false }
func (fakeView) AdmitSubmission(admission.Stream) (time.Duration, bool) { return 0, true }
func (fakeView) AdmitMemory(*fleet.Submission) bool                     { return true }
func (fakeView) NotifyStored(fleet.Write, int64)                        {}
func (fakeView) Stopping() bool                                         { return false }

// Status 503 guarantees that the submission never runs. A write without a response may still take
// effect, so it gets 504.
func TestStatus503OnlyForWritesWithoutEffect(t *testing.T) {
	format := Format{
		DeadlineHeader: "Deadline-Ms", ValidID: func(string) bool { return true },
		ParseSubmission: func(id string, _ []byte) (fleet.Submission, error) { return fleet.Submission{ID: fleet.JobID(id)}, nil },
		DecodedSize:     func(body []byte) int64 { return int64(len(body)) },
	}
	for want, respond := range map[int]func(context.Context, int) error{
		http.StatusServiceUnavailable: func(context.Context, int) error { return errNotRun },
		http.StatusGatewayTimeout:     func(ctx context.Context, _ int) error { <-ctx.Done(); return errNoResponse },
		http.StatusOK:                 func(context.Context, int) error { return nil },
	} {
		h := NewHandler(format, AgeLimits{Reject: time.Second, Accept: time.Second}, fakeView{}, &fakeStore{respond: respond}, nil, event.Discard{}, tally.NoopScope)
		for _, method := range []string{http.MethodPost, http.MethodDelete} {
			r := httptest.NewRequest(method, "/q/a", strings.NewReader("{}"))
			r.Header.Set("Deadline-Ms", "500")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if w.Code != want || want != http.StatusOK && w.Header().Get("Retry-After") == "" {
				t.Errorf("%s: %d with Retry-After %q, want %d", method, w.Code, w.Header().Get("Retry-After"), want)
			}
		}
	}
}
