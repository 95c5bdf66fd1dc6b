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

// Methods of the inner protocol.
const (
	methodBegin  peer.Method = "ledger.begin"
	methodFinish peer.Method = "ledger.finish"
)

// Codes of peer errors.
const (
	codeRefused peer.Code = 1900 + iota // the key could not be logged
	codeUnknownRun
	codeBusy
)

// Bounds of a router's repeats.
const (
	retryTimeout         = 3 * time.Second        // longer than a takeover after a VM's death
	sendReserve          = 200 * time.Millisecond // of the request's deadline kept for its sending
	retryDelay           = 100 * time.Millisecond
	backgroundRetryDelay = time.Second // between tries in the background
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

// Register serves the host's partitions to other VMs.
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

// peerError gives an error the code by which Router knows it.
func peerError(err error, v verdict.Verdict) error {
	if err == nil {
		return nil
	}
	code := codeRefused
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

// Directory finds the owner of a partition; false while none is known.
type Directory interface {
	Owner(id model.PartitionID) (address string, local bool, ok bool)
}

// Router is the Client that reaches a key's home wherever its owner is. Safe for
// concurrent use.
type Router struct {
	Layout    func() (partition.Layout, bool)
	Directory Directory
	Host      *Host
	Caller    peer.Caller
	// Now reads the wall clock; nil: time.Now.
	Now func() time.Time
	// Sleep waits between tries; nil: a real timer.
	Sleep func(ctx context.Context, d time.Duration) error
	// Background runs f apart from the caller, or drops it; nil drops all.
	Background func(f func())
}

var _ Client = (*Router)(nil)

// Begin asks the key's home for the right to send. A lost answer is asked for
// again under the same run's name, so that it never becomes a second run.
func (r *Router) Begin(ctx context.Context, request BeginRequest) (BeginResult, error) {
	request.RunID = uuid.NewString()
	var result BeginResult
	open := false // a call's answer was lost
	until := r.retryUntil(request.Deadline.Add(-sendReserve))
	err := r.callOwner(ctx, until, request.Branch, request.Key, func(id model.PartitionID, address string, local bool) (err error) {
		if local {
			result, err = r.Host.Begin(ctx, id, request)
			return err
		}
		err = r.Caller.Call(ctx, address, methodBegin, beginMessage{id, request}, &result)
		open = open || mayHaveLogged(err)
		return err
	})
	if err != nil && open {
		r.finishInBackground(FinishRequest{Branch: request.Branch, Key: request.Key, RunID: request.RunID, Verdict: verdict.NotRun})
	}
	var known *RefusedError
	if err == nil || errors.As(err, &known) {
		return result, err
	}
	return BeginResult{}, newRefusedError(err)
}

// mayHaveLogged reports whether the owner may have logged the run: its caller is told
// not run and sends nothing, so the key has to be freed.
func mayHaveLogged(err error) bool {
	var e *peer.Error
	return errors.As(err, &e) && (e.Code == peer.CodeTimeout || e.Code == peer.CodeUnreachable) && e.Verdict != verdict.NotRun
}

// Finish records how a run ended; a repeat of it changes nothing. After an error it
// is tried again in the background.
func (r *Router) Finish(ctx context.Context, request FinishRequest) error {
	err := r.finish(ctx, request)
	if err != nil && !isUnknownRun(err) {
		r.finishInBackground(request)
	}
	return err
}

// finishInBackground repeats a finish until it is recorded, or known to have nothing to end.
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

// retryUntil returns when to stop trying: after the patience, or at the deadline if
// there is an earlier one.
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

// callOwner calls the owner of the key's home, and again while it is not known or the
// answer was lost.
func (r *Router) callOwner(ctx context.Context, until time.Time, branch model.BranchID, key string,
	call func(id model.PartitionID, address string, local bool) error) error {
	layout, ok := r.Layout()
	if !ok {
		return errors.New("ledger: the layout is not known yet")
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

// retryable reports whether the owner was not found, was busy with the key, or its
// answer was lost.
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
