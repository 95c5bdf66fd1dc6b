package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// StoreEntry is an entry in the store's HTTP protocol.
type StoreEntry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Deleted  bool     `json:"deleted,omitempty"`
}

// StorePage is the response to a list or watch request.
type StorePage struct {
	Revision Revision     `json:"revision"`
	Entries  []StoreEntry `json:"entries"`
}

// StoreErrorResponse is the body of the response to a failed request.
type StoreErrorResponse struct {
	Error string `json:"error"`
}

// HTTPStore is a Store that uses the store's HTTP protocol.
type HTTPStore struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

// NewHTTPStore returns a client of the store at the base URL, such as
// "http://127.0.0.1:9000". The timeout applies to each call; a Watch may take longer by
// its wait time.
func NewHTTPStore(base string, timeout time.Duration) *HTTPStore {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleStoreConnections,
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
	}
	return &HTTPStore{base: base, client: &http.Client{Transport: transport, CheckRedirect: rejectRedirect}, timeout: timeout}
}

const (
	maxIdleStoreConnections = 16
	maxResponseBytes        = 64 << 20
)

// rejectRedirect makes a redirect the response of the call, so that no request is sent a
// second time.
func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, key string) (Entry, error) {
	var found StoreEntry
	err := s.getJSON(ctx, s.timeout, s.keyURL(key, nil), &found)
	return found.toEntry(), err
}

// List implements Store.
func (s *HTTPStore) List(ctx context.Context, prefix string) ([]Entry, error) {
	var page StorePage
	err := s.getJSON(ctx, s.timeout, s.base+"/v1/keys?"+url.Values{"prefix": {prefix}}.Encode(), &page)
	return page.toEntries(), err
}

// CompareAndSwap implements Store.
func (s *HTTPStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrUnavailable, "value of %s has %d bytes, limit %d", key, len(value), MaxValueBytes)
	}
	return s.write(ctx, http.MethodPut, key, value, expected)
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, key string, expected Revision) error {
	_, err := s.write(ctx, http.MethodDelete, key, nil, expected)
	return err
}

// Watch implements Store. A deleted key is returned as an entry without a value.
func (s *HTTPStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error) {
	query := url.Values{"prefix": {prefix}, "after": {fmt.Sprint(after)}, "wait": {wait.String()}}
	var page StorePage
	err := s.getJSON(ctx, wait+s.timeout, s.base+"/v1/watch?"+query.Encode(), &page)
	if err != nil {
		return nil, after, err
	}
	return page.toEntries(), page.Revision, nil
}

func (s *HTTPStore) keyURL(key string, query url.Values) string {
	u := s.base + "/v1/keys/" + (&url.URL{Path: key}).EscapedPath()
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	return u
}

func (s *HTTPStore) getJSON(ctx context.Context, timeout time.Duration, requestURL string, destination any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return errors.Wrap(err, "store: read")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "store: read"), ErrUnavailable)
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(destination); err != nil {
		return errors.Mark(errors.Wrap(err, "store: read"), ErrUnavailable)
	}
	return nil
}

func (s *HTTPStore) write(ctx context.Context, method, key string, value []byte, expected Revision) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	query := url.Values{"expected": {strconv.FormatInt(int64(expected), 10)}}
	req, err := http.NewRequestWithContext(ctx, method, s.keyURL(key, query), bytes.NewReader(value))
	if err != nil {
		return 0, errors.Wrap(err, "store: write")
	}
	req.GetBody = nil // prevents the transport from sending a write twice
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "store: write"), classifyWriteError(err))
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return 0, err
	}
	var written StoreEntry
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxValueBytes)).Decode(&written); err != nil {
		return 0, errors.Mark(errors.Wrap(err, "store: write"), ErrUncertain)
	}
	return written.Revision, nil
}

// classifyWriteError classifies the error of a write without a response. Only if the
// dial failed is it certain that the write had no effect.
func classifyWriteError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUncertain
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	default:
		return errors.Wrapf(ErrUncertain, "store: status %d", status)
	}
}

func (e StoreEntry) toEntry() Entry {
	return Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}

func (p StorePage) toEntries() []Entry {
	entries := make([]Entry, len(p.Entries))
	for i, e := range p.Entries {
		entries[i] = e.toEntry()
	}
	return entries
}
