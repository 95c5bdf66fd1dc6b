package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// HTTPVMList is a VMList that uses the HTTP protocol of the platform's list.
type HTTPVMList struct {
	base   string
	client *http.Client
}

// NewHTTPVMList returns a client of the list at the base URL. The timeout applies to
// each call.
func NewHTTPVMList(base string, timeout time.Duration) *HTTPVMList {
	return &HTTPVMList{base: base, client: &http.Client{Timeout: timeout, Transport: &http.Transport{}}}
}

// List implements VMList.
func (l *HTTPVMList) List(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/v1/vms", nil)
	if err != nil {
		return nil, errors.Wrap(err, "vm list")
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "vm list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("vm list: status %d", resp.StatusCode)
	}
	var vms []VM
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&vms)
	return vms, errors.Wrap(err, "vm list")
}
