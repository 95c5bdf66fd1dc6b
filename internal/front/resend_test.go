package front

import (
	"net/http"
	"strings"
	"testing"
)

// A backend server reads a request on a reused connection and resets it. The request is
// sent once, whatever its method, body and headers, and the verdict is may-have-run.
func TestTransportNeverResends(t *testing.T) {
	methods := []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE"}
	for _, method := range methods {
		for _, body := range []string{"", "seats"} {
			for _, header := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
				t.Run(method+" body:"+body+" "+header, func(t *testing.T) {
					checkSentOnce(t, method, body, header)
				})
			}
		}
	}
}

func checkSentOnce(t *testing.T, method, body, header string) {
	responders := make(chan func(http.ResponseWriter, *http.Request, func()), 3)
	responders <- respondWithPath
	responders <- resetConnection
	responders <- respondWithPath
	server := newFakeServer(t, "b1", func(w http.ResponseWriter, r *http.Request, run func()) {
		(<-responders)(w, r, run)
	})
	front := newTestFront(t, Options{MaxAttempts: 1}, newFakeLedger(), server)
	sendRequest(t, front, "GET", "/first", "")
	r, err := http.NewRequest(method, front.URL+"/v1/branches/north/services/check/second", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if header != "" {
		r.Header.Set(header, "k1")
	}
	response, err := front.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got := response.Header.Get(HeaderVerdict); got != "may-have-run" || server.executionsOf("/second") != 1 || len(responders) != 1 {
		t.Errorf("verdict %q after %d runs, %d responses left; want may-have-run, 1, 1", got, server.executionsOf("/second"), len(responders))
	}
}

// A backend server redirects a request. The redirect is the response; the request is not
// sent to its target.
func TestRedirectIsNotFollowed(t *testing.T) {
	server := newFakeServer(t, "b1", func(w http.ResponseWriter, r *http.Request, run func()) {
		run()
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	})
	front := newTestFront(t, Options{}, newFakeLedger(), server)
	r, err := http.NewRequest("POST", front.URL+"/v1/branches/north/services/check/book", strings.NewReader("seats"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusTemporaryRedirect || server.executionsOf("/book") != 1 || server.executionsOf("/elsewhere") != 0 {
		t.Errorf("status %d, %d and %d runs; want 307, 1, 0", response.StatusCode, server.executionsOf("/book"), server.executionsOf("/elsewhere"))
	}
}
