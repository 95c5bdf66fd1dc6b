package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
	"filbertcross/internal/sheet"
)

// Client calls the HTTP API of one VM, which may be any VM. It is safe for concurrent use.
// A method returns a *StatusError if the VM responds with an error status.
type Client struct {
	baseURL string
	http    *http.Client
}

const (
	clientTimeout    = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// NewClient returns a client of the VM at baseURL, such as "http://127.0.0.1:8080".
func NewClient(baseURL string) *Client {
	return &Client{baseURL: baseURL, http: &http.Client{Timeout: clientTimeout}}
}

// StatusError is an error response of a VM.
type StatusError struct {
	Status  int
	Problem Problem
}

// Error returns the problem with the invalid field, if any, the status and the verdict.
func (e *StatusError) Error() string {
	text := e.Problem.Error
	if e.Problem.Field != "" {
		text = e.Problem.Field + ": " + text
	}
	if e.Problem.RetryAfterMs > 0 {
		text += fmt.Sprintf(" (retry after %d ms)", e.Problem.RetryAfterMs)
	}
	return fmt.Sprintf("%s [%d, %s]", text, e.Status, e.Problem.Verdict)
}

// SubmitJob submits a run of a workload. A repeated idempotency key returns the first job;
// an empty key disables this.
func (c *Client) SubmitJob(ctx context.Context, job SubmitJobRequest, key string) (Job, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return Job{}, errors.Wrap(err, "submit")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if key != "" {
		header.Set(HeaderIdempotencyKey, key)
	}
	var result Job
	err = c.requestJSON(ctx, http.MethodPost, "/v1/jobs", header, body, &result)
	return result, err
}

// Job returns the status of a job with its tasks.
func (c *Client) Job(ctx context.Context, id model.JobID) (Job, error) {
	var result Job
	err := c.requestJSON(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id)), nil, nil, &result)
	return result, err
}

// CancelJob cancels a job and stops its running tasks.
func (c *Client) CancelJob(ctx context.Context, id model.JobID) error {
	return c.requestJSON(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(id)), nil, nil, nil)
}

// Jobs lists the jobs of a branch, or of all branches if branch is empty.
func (c *Client) Jobs(ctx context.Context, branch model.BranchID) ([]Job, error) {
	var result []Job
	query := url.Values{"branch": {string(branch)}}
	err := c.requestJSON(ctx, http.MethodGet, "/v1/jobs?"+query.Encode(), nil, nil, &result)
	return result, err
}

// Workers lists the workers of all partitions.
func (c *Client) Workers(ctx context.Context) ([]Worker, error) {
	var result []Worker
	err := c.requestJSON(ctx, http.MethodGet, "/v1/workers", nil, nil, &result)
	return result, err
}

// Branches lists the branches of the active configuration.
func (c *Client) Branches(ctx context.Context) ([]Branch, error) {
	var result []Branch
	err := c.requestJSON(ctx, http.MethodGet, "/v1/branches", nil, nil, &result)
	return result, err
}

// ApplySheet replaces the configuration of revision base (0: none) by a sheet. It fails with
// status 409 if base is not the newest revision, unless the newest one equals the sheet.
func (c *Client) ApplySheet(ctx context.Context, base int64, csv []byte, charset sheet.Charset) (SheetResult, error) {
	var result SheetResult
	path := fmt.Sprintf("/v1/sheet?base=%d&charset=%s", base, charset)
	err := c.requestJSON(ctx, http.MethodPut, path, http.Header{"Content-Type": {"text/csv"}}, csv, &result)
	return result, err
}

// DiffSheet returns what applying a sheet would change.
func (c *Client) DiffSheet(ctx context.Context, csv []byte, charset sheet.Charset) (SheetResult, error) {
	var result SheetResult
	err := c.requestJSON(ctx, http.MethodPost, "/v1/sheet/diff?charset="+string(charset), http.Header{"Content-Type": {"text/csv"}}, csv, &result)
	return result, err
}

// SheetStatus returns the active revision of every VM.
func (c *Client) SheetStatus(ctx context.Context) ([]SheetStatus, error) {
	var result []SheetStatus
	err := c.requestJSON(ctx, http.MethodGet, "/v1/sheet/status", nil, nil, &result)
	return result, err
}

// GetBody returns the undecoded response body of a GET request. A body longer than
// maxResponseBytes is an error.
func (c *Client) GetBody(ctx context.Context, path string) ([]byte, error) {
	resp, err := c.sendRequest(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := readAtMost(resp.Body, maxResponseBytes)
	return body, errors.Wrap(err, "GET "+path)
}

// readAtMost reads to the end of r, or fails if there are more than limit bytes.
func readAtMost(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.Newf("the response is longer than %d bytes", limit)
	}
	return body, nil
}

// requestJSON sends a request and decodes the JSON response into result, unless it is nil.
func (c *Client) requestJSON(ctx context.Context, method, path string, header http.Header, body []byte, result any) error {
	resp, err := c.sendRequest(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if result == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(result), method+" "+path)
}

// sendRequest returns a response with a status below 400, whose body the caller closes.
// Any other response is returned as a *StatusError.
func (c *Client) sendRequest(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, method+" "+path)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.GetBody = nil // prevents net/http from sending the request again
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, method+" "+path)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	defer resp.Body.Close()
	statusErr := &StatusError{Status: resp.StatusCode}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&statusErr.Problem); err != nil {
		statusErr.Problem.Error = http.StatusText(resp.StatusCode)
	}
	return nil, statusErr
}
