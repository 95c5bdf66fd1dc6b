package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/owner"
	"filbertcross/internal/peer"
	"filbertcross/internal/verdict"
)

// register adds the handlers of the calls between VMs.
func (n *Node) register(r peer.Registry) {
	r.Handle(methodAttach, handle(n.serveAttach))
	r.Handle(methodState, handle(n.serveState))
	r.Handle(methodCommit, handle(n.serveCommit))
	r.Handle(methodAdvise, handle(n.serveAdvise))
	r.Handle(methodNotify, handle(n.serveNotify))
	r.Handle(methodOwner, handle(n.serveOwner))
	r.Handle(methodEnd, handle(n.serveEnd))
	r.Handle(methodOffer, handle(n.serveOffer))
	r.Handle(methodTake, handle(n.serveTake))
}

// handle decodes a call's message.
func handle[P, R any](f func(ctx context.Context, params P) (R, error)) peer.Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &peer.Error{Code: peer.CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun}
		}
		return f(ctx, params)
	}
}

func (n *Node) owner() (*owner.Owner, error) {
	o := n.current.Load()
	if o == nil || !o.HoldsLease() {
		return nil, &peer.Error{Code: peer.CodeNotOwner, Message: "this VM does not decide", Verdict: verdict.NotRun}
	}
	return o, nil
}

// serveAttach answers a follower when the configuration is newer than its own, or after
// the wait.
func (n *Node) serveAttach(ctx context.Context, r attachRequest) (attachAnswer, error) {
	o, err := n.owner()
	if err != nil {
		return attachAnswer{}, err
	}
	n.advisors.attached(r.Address)
	n.giveWay(r.Rank)
	_, _, changed := n.configs.get()
	if n.opts.Owner.Clock()-time.Duration(n.confirmed.Load()) > configFresh {
		return attachAnswer{}, &peer.Error{Code: peer.CodeNotOwner, Message: "the configuration here may be old", Verdict: verdict.NotRun}
	}
	if r.Configuration >= 0 && r.Configuration >= n.configs.version() {
		select {
		case <-changed:
		case <-time.After(attachWait):
		case <-o.Done():
		case <-ctx.Done():
		}
	}
	if n.current.Load() != o || !o.HoldsLease() {
		return attachAnswer{}, &peer.Error{Code: peer.CodeNotOwner, Message: "this VM decides no more", Verdict: verdict.NotRun}
	}
	waiting, err := o.QueueLengths(ctx)
	if err != nil {
		return attachAnswer{}, err
	}
	reply := attachAnswer{Fence: o.Fence(), Waiting: waiting, Peers: append(n.advisors.peers(), n.opts.PeerAddress)}
	if conf, raw, _ := n.configs.get(); conf != nil && conf.Version > r.Configuration {
		reply.Configuration = raw
	}
	return reply, nil
}

func (n *Node) serveState(ctx context.Context, r stateRequest) (stateAnswer, error) {
	o := n.current.Load()
	if o == nil || !r.Stale && !o.HoldsLease() {
		return stateAnswer{}, &peer.Error{Code: peer.CodeNotOwner, Message: "this VM does not decide", Verdict: verdict.NotRun}
	}
	state, err := o.SubmissionState(ctx, r.ID)
	return stateAnswer{State: state}, err
}

func (n *Node) serveCommit(ctx context.Context, r commitRequest) (commitAnswer, error) {
	revision, err := n.writes.Commit(ctx, r.Txn)
	reply := commitAnswer{Revision: revision}
	var conflict *fleet.ConflictError
	switch {
	case errors.As(err, &conflict):
		reply.Conflict = true
	case err != nil:
		reply.NotRun, reply.Failure = fleet.IsNotRun(err), err.Error()
	}
	return reply, nil
}

func (n *Node) serveAdvise(ctx context.Context, r adviseRequest) (adviseAnswer, error) {
	allowed, validity, err := n.opts.Advisor.Advise(ctx, r.Step, r.Workers)
	reply := adviseAnswer{Allowed: allowed, Validity: validity}
	if err != nil {
		reply.Failure = err.Error()
	}
	return reply, nil
}

func (n *Node) serveOwner(context.Context, struct{}) (ownerAnswer, error) {
	if o := n.current.Load(); o != nil && o.HoldsLease() {
		return ownerAnswer{Address: n.opts.PeerAddress, Fence: o.Fence()}, nil
	}
	return ownerAnswer{Address: n.ownerAddress()}, nil
}

func (n *Node) serveNotify(ctx context.Context, r notifyRequest) (struct{}, error) {
	o, err := n.owner()
	if err != nil {
		return struct{}{}, err
	}
	o.NotifyStored(ctx, fleet.Item{Key: r.Key, Value: r.Value, Revision: r.Revision, CreateRevision: r.Revision})
	return struct{}{}, nil
}

// Stored tells the owner what this VM has just stored. The owner's watch finds it too, but a
// store that drops its history keeps the watch waiting.
func (n *Node) NotifyStored(w fleet.Write, revision int64) {
	request := notifyRequest{Key: w.Key, Value: w.Value, Revision: revision}
	if o := n.current.Load(); o != nil {
		go o.NotifyStored(context.Background(), fleet.Item{Key: w.Key, Value: w.Value, Revision: revision, CreateRevision: revision})
		return
	}
	address := n.ownerAddress()
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
		defer cancel()
		// A lost notice costs only time: the watch finds the item.
		_ = n.opts.PeerClient.Call(ctx, address, methodNotify, request, nil)
	}()
}

// giveWay ends this VM's time as the owner when a much larger one follows it.
func (n *Node) giveWay(rank time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.yield != nil && n.opts.ElectionDelay-rank >= yieldFor && time.Since(n.elected) > yieldAfter {
		n.opts.Events.Record(event.OwnerYields, n.opts.ElectionDelay, rank)
		n.yield()
		n.yield = nil
	}
}

// relay writes to the store through the owner, for a VM that the store turns away.
type relay struct{ node *Node }

// Commit implements entry.Committer.
func (r relay) Commit(ctx context.Context, t fleet.Txn) (int64, error) {
	address := r.node.ownerAddress()
	if address == "" {
		return 0, &fleet.CallError{Op: "relay", Verdict: verdict.NotRun, Cause: errNoOwner}
	}
	var reply commitAnswer
	if err := r.node.opts.PeerClient.Call(ctx, address, methodCommit, commitRequest{Txn: t}, &reply); err != nil {
		v := verdict.MayHaveRun
		var failure *peer.Error
		if errors.As(err, &failure) {
			v = failure.Verdict
		}
		return 0, &fleet.CallError{Op: "relay", Verdict: v, Cause: err}
	}
	switch {
	case reply.Conflict:
		return 0, &fleet.ConflictError{}
	case reply.Failure != "":
		v := verdict.MayHaveRun
		if reply.NotRun {
			v = verdict.NotRun
		}
		return 0, &fleet.CallError{Op: "relay", Verdict: v, Cause: errors.New(reply.Failure)}
	}
	return reply.Revision, nil
}
