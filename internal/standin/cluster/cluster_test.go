package cluster

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestPutJSONReportsErrorStatus(t *testing.T) {
	for status, fails := range map[int]bool{http.StatusOK: false, http.StatusNoContent: false, http.StatusBadRequest: true, http.StatusServiceUnavailable: true} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		if err := PutJSON(server.URL, struct{}{}); (err != nil) != fails {
			t.Errorf("status %d: error %v", status, err)
		}
		server.Close()
	}
}
