package ledger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"filbertcross/internal/model"
	"filbertcross/internal/partition"
	"filbertcross/internal/peer"
	"filbertcross/internal/verdict"
)

// Methods of the peer protocol.
const (
	methodBegin  peer.Method = "ledger.begin"
	methodFinish peer.Method = "ledger.finish"
)

// Error codes of the ledger's peer methods.
const (
	codeRejected peer.Code = 1900 + iota // the key could not be logged
	codeUnknownRun
	codeBusy
)

// Retry settings of a Router.
const (
	retryTimeout         = 3 * time.Second        // longer than a takeover after the failure of a VM
	sendReserve          = 200 * time.Millisecond // time before the request's deadline that is left for sending it
	retryDelay           = 100 * time.Millisecond
	backgroundRetryDelay = time.Second // delay between background attempts of Finish
	backgroundAttempts   = 60
)

type beginMessage struct {
	Partition model.PartitionID `json:"partition"`
	Request   BeginRequest      `json:"request"`
}

type finishMessage struct {
	Partition model.PartitionID `json:"partition"`
	Request   FinishRequest     `json:"request"`
}

type finishResponse struct{}

// Register registers the handlers through which other VMs call the host's partitions.
func (h *Host) Register(r peer.Registry) {
	r.Handle(methodBegin, func(ctx context.Context, params json.RawMessage) (any, error) {
		var m beginMessage
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, &peer.Error{Code: peer.CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun}
		}
		result, err := h.Begin(ctx, m.Partition, m.Request)
		return result, peerError(err, verdict.NotRun)
	})
	r.Handle(methodFinish, func(ctx context.Context, params json.RawMessage) (any, error) {
		var m finishMessage
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, &peer.Error{Code: peer.CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun}
		}
		return finishResponse{}, peerError(h.Finish(ctx, m.Partition, m.Request), verdict.MayHaveRun)
	})
}

// peerError converts an error to a *peer.Error with the code that Router interprets. v is
// the verdict of errors whose code does not imply one.
func peerError(err error, v verdict.Verdict) error {
	if err == nil {
		return nil
	}
	code := codeRejected
	switch {
	case errors.Is(err, ErrNotOwner):
		code, v = peer.CodeNotOwner, verdict.NotRun
	case errors.Is(err, ErrUnknownRun):
		code = codeUnknownRun
	case errors.Is(err, ErrBusy):
		code, v = codeBusy, verdict.NotRun
	}
	return &peer.Error{Code: code, Message: err.Error(), Verdict: v}
}

// Directory resolves the owners of partitions.
type Directory interface {
	// Owner returns the peer address of a partition's owner and whether it is this VM. ok
	// is false while no owner is known.
	Owner(id model.PartitionID) (address string, local bool, ok bool)
}

// Router implements Client: it calls the local Host or the remote owner of the key's
// partition. Safe for concurrent use.
type Router struct {
	Layout    func() (partition.Layout, bool)
	Directory Directory
	Host      *Host
	Caller    peer.Caller
	// Now returns the wall clock; nil means time.Now.
	Now func() time.Time
	// Sleep waits between attempts; nil means a timer.
	Sleep func(ctx context.Context, d time.Duration) error
	// Background runs f asynchronously or discards it; nil discards every f.
	Background func(f func())
}

var _ Client = (*Router)(nil)

// Begin requests the right to send from the owner of the key's partition. Retries use the
// same RunID, so that a retry after a lost response does not start a second run. Every
// error is a *RejectedError.
func (r *Router) Begin(ctx context.Context, request BeginRequest) (BeginResult, error) {
	request.RunID = uuid.NewString()
	var result BeginResult
	maybeLogged := false // the response of a call was lost
	until := r.retryUntil(request.Deadline.Add(-sendReserve))
	err := r.callOwner(ctx, until, request.Branch, request.Key, func(id model.PartitionID, address string, local bool) (err error) {
		if local {
			result, err = r.Host.Begin(ctx, id, request)
			return err
		}
		err = r.Caller.Call(ctx, address, methodBegin, beginMessage{id, request}, &result)
		maybeLogged = maybeLogged || mayHaveLogged(err)
		return err
	})
	if err != nil && maybeLogged {
		r.finishInBackground(FinishRequest{Branch: request.Branch, Key: request.Key, RunID: request.RunID, Verdict: verdict.NotRun})
	}
	var rejected *RejectedError
	if err == nil || errors.As(err, &rejected) {
		return result, err
	}
	return BeginResult{}, newRejectedError(err)
}

// mayHaveLogged reports whether the owner may have logged the run although the call
// failed. The caller does not send the request then, so the key must be freed.
func mayHaveLogged(err error) bool {
	var e *peer.Error
	return errors.As(err, &e) && (e.Code == peer.CodeTimeout || e.Code == peer.CodeUnreachable) && e.Verdict != verdict.NotRun
}

// Finish records the outcome of a run; repeating it has no further effect. After an error
// it is retried in the background, unless the owner does not know the run.
func (r *Router) Finish(ctx context.Context, request FinishRequest) error {
	err := r.finish(ctx, request)
	if err != nil && !isUnknownRun(err) {
		r.finishInBackground(request)
	}
	return err
}

// finishInBackground retries a finish until it is recorded, the owner does not know the
// run, or backgroundAttempts are used up.
func (r *Router) finishInBackground(request FinishRequest) {
	if r.Background == nil {
		return
	}
	r.Background(func() {
		ctx := context.Background()
		for range backgroundAttempts {
			err := r.finish(ctx, request)
			if err == nil || isUnknownRun(err) || r.sleep(ctx, backgroundRetryDelay) != nil {
				return
			}
		}
	})
}

func isUnknownRun(err error) bool {
	var e *peer.Error
	return errors.Is(err, ErrUnknownRun) || errors.As(err, &e) && e.Code == codeUnknownRun
}

func (r *Router) finish(ctx context.Context, request FinishRequest) error {
	return r.callOwner(ctx, r.retryUntil(time.Time{}), request.Branch, request.Key, func(id model.PartitionID, address string, local bool) error {
		if local {
			return r.Host.Finish(ctx, id, request)
		}
		return r.Caller.Call(ctx, address, methodFinish, finishMessage{id, request}, &finishResponse{})
	})
}

// retryUntil returns the end of retries: retryTimeout from now, or deadline if that is
// earlier. A zero deadline is ignored.
func (r *Router) retryUntil(deadline time.Time) time.Time {
	end := r.now().Add(retryTimeout)
	if !deadline.IsZero() && deadline.Before(end) {
		return deadline
	}
	return end
}

func (r *Router) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

// callOwner invokes call with the owner of the key's partition. It retries at most until
// the given time, while no owner is known or the error is retryable.
func (r *Router) callOwner(ctx context.Context, until time.Time, branch model.BranchID, key string,
	call func(id model.PartitionID, address string, local bool) error) error {
	layout, ok := r.Layout()
	if !ok {
		return errors.New("ledger: the partition layout is not known yet")
	}
	id := layout.KeyPartition(branch, key)
	for {
		err := ErrNotOwner
		if address, local, ok := r.Directory.Owner(id); ok {
			err = call(id, address, local)
		}
		if !retryable(err) || r.now().After(until) || r.pause(ctx) != nil {
			return err
		}
	}
}

// retryable reports whether the owner was not found, was logging a record of the key, or
// could not be reached in time.
func retryable(err error) bool {
	if errors.Is(err, ErrNotOwner) || errors.Is(err, ErrBusy) {
		return true
	}
	var e *peer.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Code {
	case peer.CodeNotOwner, peer.CodeUnreachable, peer.CodeTimeout, codeBusy:
		return true
	}
	return false
}

func (r *Router) pause(ctx context.Context) error { return r.sleep(ctx, retryDelay) }

func (r *Router) sleep(ctx context.Context, d time.Duration) error {
	if r.Sleep != nil {
		return r.Sleep(ctx, d)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
