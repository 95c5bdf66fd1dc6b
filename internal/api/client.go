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

// Client speaks to any VM. Safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

const (
	clientTimeout    = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// NewClient returns a client of the VM at base, such as "http://127.0.0.1:8080".
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Timeout: clientTimeout}}
}

// StatusError is an error answer of a VM.
type StatusError struct {
	Status  int
	Problem Problem
}

// Error describes the problem with the field that is wrong, if any.
func (e *StatusError) Error() string {
	text := e.Problem.Error
	if e.Problem.Field != "" {
		text = e.Problem.Field + ": " + text
	}
	if e.Problem.RetryAfterMs > 0 {
		text += fmt.Sprintf(" (try again after %d ms)", e.Problem.RetryAfterMs)
	}
	return fmt.Sprintf("%s [%d, %s]", text, e.Status, e.Problem.Verdict)
}

// SubmitJob submits a run of a workload; key may be empty.
func (c *Client) SubmitJob(ctx context.Context, job SubmitJobRequest, key string) (Job, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return Job{}, errors.Wrap(err, "submit")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if key != "" {
		header.Set(HeaderIdempotencyKey, key)
	}
	var answer Job
	err = c.requestJSON(ctx, http.MethodPost, "/v1/jobs", header, body, &answer)
	return answer, err
}

// Job returns a job with its tasks.
func (c *Client) Job(ctx context.Context, id model.JobID) (Job, error) {
	var answer Job
	err := c.requestJSON(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id)), nil, nil, &answer)
	return answer, err
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, id model.JobID) error {
	return c.requestJSON(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(id)), nil, nil, nil)
}

// Jobs lists the jobs of a branch, or of all branches if it is empty.
func (c *Client) Jobs(ctx context.Context, branch model.BranchID) ([]Job, error) {
	var answer []Job
	query := url.Values{"branch": {string(branch)}}
	err := c.requestJSON(ctx, http.MethodGet, "/v1/jobs?"+query.Encode(), nil, nil, &answer)
	return answer, err
}

// Workers lists the workers of all partitions.
func (c *Client) Workers(ctx context.Context) ([]Worker, error) {
	var answer []Worker
	err := c.requestJSON(ctx, http.MethodGet, "/v1/workers", nil, nil, &answer)
	return answer, err
}

// Branches lists the branches in force.
func (c *Client) Branches(ctx context.Context) ([]Branch, error) {
	var answer []Branch
	err := c.requestJSON(ctx, http.MethodGet, "/v1/branches", nil, nil, &answer)
	return answer, err
}

// ApplySheet replaces the configuration that the operator started from.
func (c *Client) ApplySheet(ctx context.Context, base int64, csv []byte, charset sheet.Charset) (SheetResult, error) {
	var answer SheetResult
	path := fmt.Sprintf("/v1/sheet?base=%d&charset=%s", base, charset)
	err := c.requestJSON(ctx, http.MethodPut, path, http.Header{"Content-Type": {"text/csv"}}, csv, &answer)
	return answer, err
}

// DiffSheet returns what applying the sheet would change.
func (c *Client) DiffSheet(ctx context.Context, csv []byte, charset sheet.Charset) (SheetResult, error) {
	var answer SheetResult
	err := c.requestJSON(ctx, http.MethodPost, "/v1/sheet/diff?charset="+string(charset), http.Header{"Content-Type": {"text/csv"}}, csv, &answer)
	return answer, err
}

// SheetStatus returns the revision in force on every VM.
func (c *Client) SheetStatus(ctx context.Context) ([]SheetStatus, error) {
	var answer []SheetStatus
	err := c.requestJSON(ctx, http.MethodGet, "/v1/sheet/status", nil, nil, &answer)
	return answer, err
}

// GetBody returns the body of a GET as it is.
func (c *Client) GetBody(ctx context.Context, path string) ([]byte, error) {
	resp, err := c.sendRequest(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
}

func (c *Client) requestJSON(ctx context.Context, method, path string, header http.Header, body []byte, into any) error {
	resp, err := c.sendRequest(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if into == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into), method+" "+path)
}

func (c *Client) sendRequest(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, method+" "+path)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.GetBody = nil // a request is not sent twice by itself
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, method+" "+path)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	defer resp.Body.Close()
	failure := &StatusError{Status: resp.StatusCode}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&failure.Problem); err != nil {
		failure.Problem.Error = http.StatusText(resp.StatusCode)
	}
	return nil, failure
}
