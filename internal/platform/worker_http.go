package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
)

// WorkerRequest is the body of every request to a worker's agent.
type WorkerRequest struct {
	Partition model.PartitionID `json:"partition"`
	Epoch     int64             `json:"epoch"`
	Refs      []TaskRef         `json:"refs,omitempty"`
	Start     *StartRequest     `json:"start,omitempty"`
	Renewal   *LeaseRenewal     `json:"renewal,omitempty"`
	Limit     model.Resources   `json:"limit,omitzero"`
}

// WorkerResponse is the agent's response. ErrorCode is empty if the call succeeded.
type WorkerResponse struct {
	ErrorCode  WorkerErrorCode `json:"problem,omitempty"`
	Detail     string          `json:"detail,omitempty"`
	Report     *WorkerReport   `json:"report,omitempty"`
	Checkpoint string          `json:"checkpoint,omitempty"`
}

// WorkerErrorCode is the reason why an agent rejected a call.
type WorkerErrorCode string

// The error codes of an agent.
const (
	WorkerErrorStaleEpoch   WorkerErrorCode = "stale-epoch"
	WorkerErrorLeaseExpired WorkerErrorCode = "lease-expired"
	WorkerErrorRefused      WorkerErrorCode = "refused"
)

// HTTPWorkerResolver is a WorkerResolver whose clients use the agents' HTTP protocol.
type HTTPWorkerResolver struct {
	client  *http.Client
	mu      sync.Mutex
	clients map[string]*httpWorker // by address
}

// NewHTTPWorkerResolver returns a resolver. The timeout applies to each call of its
// clients.
func NewHTTPWorkerResolver(timeout time.Duration) *HTTPWorkerResolver {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnectionsPerWorker}
	return &HTTPWorkerResolver{
		client:  &http.Client{Timeout: timeout, Transport: transport, CheckRedirect: rejectRedirect},
		clients: map[string]*httpWorker{},
	}
}

const maxIdleConnectionsPerWorker = 4

// Resolve implements WorkerResolver. It returns the same client for the same address.
func (w *HTTPWorkerResolver) Resolve(vm VM) Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	found, ok := w.clients[vm.Address]
	if !ok {
		found = &httpWorker{base: "http://" + vm.Address, client: w.client}
		w.clients[vm.Address] = found
	}
	return found
}

type httpWorker struct {
	base   string
	client *http.Client
}

func (w *httpWorker) Report(ctx context.Context, partition model.PartitionID, epoch int64) (WorkerReport, error) {
	response, err := w.call(ctx, "report", WorkerRequest{Partition: partition, Epoch: epoch})
	if err != nil {
		return WorkerReport{}, err
	}
	if response.Report == nil {
		return WorkerReport{}, errors.New("worker: response has no report")
	}
	return *response.Report, nil
}

func (w *httpWorker) Start(ctx context.Context, s StartRequest) error {
	_, err := w.call(ctx, "start", WorkerRequest{Partition: s.Partition, Epoch: s.Epoch, Start: &s})
	return err
}

func (w *httpWorker) Renew(ctx context.Context, r LeaseRenewal) error {
	_, err := w.call(ctx, "renew", WorkerRequest{Partition: r.Partition, Epoch: r.Epoch, Renewal: &r})
	return err
}

func (w *httpWorker) Checkpoint(ctx context.Context, partition model.PartitionID, epoch int64, ref TaskRef) (string, error) {
	response, err := w.call(ctx, "checkpoint", WorkerRequest{Partition: partition, Epoch: epoch, Refs: []TaskRef{ref}})
	return response.Checkpoint, err
}

func (w *httpWorker) Throttle(ctx context.Context, partition model.PartitionID, epoch int64, ref TaskRef, limit model.Resources) error {
	_, err := w.call(ctx, "throttle", WorkerRequest{Partition: partition, Epoch: epoch, Refs: []TaskRef{ref}, Limit: limit})
	return err
}

func (w *httpWorker) Stop(ctx context.Context, partition model.PartitionID, epoch int64, ref TaskRef) error {
	_, err := w.call(ctx, "stop", WorkerRequest{Partition: partition, Epoch: epoch, Refs: []TaskRef{ref}})
	return err
}

func (w *httpWorker) Forget(ctx context.Context, partition model.PartitionID, epoch int64, refs []TaskRef) error {
	_, err := w.call(ctx, "forget", WorkerRequest{Partition: partition, Epoch: epoch, Refs: refs})
	return err
}

func (w *httpWorker) call(ctx context.Context, operation string, request WorkerRequest) (WorkerResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return WorkerResponse{}, errors.Wrap(err, "worker: "+operation)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.base+"/v1/"+operation, bytes.NewReader(body))
	if err != nil {
		return WorkerResponse{}, errors.Wrap(err, "worker: "+operation)
	}
	req.GetBody = nil // prevents the transport from sending a request twice
	resp, err := w.client.Do(req)
	if err != nil {
		return WorkerResponse{}, errors.Wrap(err, "worker: "+operation)
	}
	defer resp.Body.Close()
	var response WorkerResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&response); err != nil {
		return WorkerResponse{}, errors.Wrap(err, "worker: "+operation)
	}
	return response, responseError(response)
}

func responseError(response WorkerResponse) error {
	switch response.ErrorCode {
	case "":
		return nil
	case WorkerErrorStaleEpoch:
		return errors.Wrap(ErrStaleEpoch, response.Detail)
	case WorkerErrorLeaseExpired:
		return errors.Wrap(ErrLeaseExpired, response.Detail)
	case WorkerErrorRefused:
		return errors.Wrap(ErrRefused, response.Detail)
	default:
		return errors.Newf("worker: unknown error code %q: %s", response.ErrorCode, response.Detail)
	}
}
