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
	r.Handle(methodAttach, decodeRequest(n.serveAttach))
	r.Handle(methodState, decodeRequest(n.serveState))
	r.Handle(methodCommit, decodeRequest(n.serveCommit))
	r.Handle(methodAdvise, decodeRequest(n.serveAdvise))
	r.Handle(methodNotify, decodeRequest(n.serveNotify))
	r.Handle(methodOwner, decodeRequest(n.serveOwner))
	r.Handle(methodStepDown, decodeRequest(n.serveStepDown))
	r.Handle(methodTakeoverCheck, decodeRequest(n.serveTakeoverCheck))
	r.Handle(methodTakeover, decodeRequest(n.serveTakeover))
	r.Handle(methodConfiguration, decodeRequest(n.serveConfiguration))
}

// decodeRequest returns a peer handler that decodes the request and calls f.
func decodeRequest[P, R any](f func(ctx context.Context, params P) (R, error)) peer.Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &peer.Error{Code: peer.CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun}
		}
		return f(ctx, params)
	}
}

// activeOwner returns the owner that runs on this VM, or an error with code peer.CodeNotOwner if
// there is none or its lease may have expired.
func (n *Node) activeOwner() (*owner.Owner, error) {
	o := n.currentOwner.Load()
	if o == nil || !o.HoldsLease() {
		return nil, &peer.Error{Code: peer.CodeNotOwner, Message: "this VM does not decide", Verdict: verdict.NotRun}
	}
	return o, nil
}

// attachableOwner returns the owner that runs on this VM, also a suspended one if the follower accepts
// that, or an error with code peer.CodeNotOwner.
func (n *Node) attachableOwner(r attachRequest) (*owner.Owner, error) {
	if o := n.currentOwner.Load(); o != nil && r.AcceptsSuspended && !o.Ended() {
		return o, nil
	}
	return n.activeOwner()
}

// serveAttach responds to a follower when the configuration is newer than the one that the follower
// knows of, or after attachPollTime. The response does not contain the configuration, so that a
// large one delays neither the next poll nor other calls on the connection.
func (n *Node) serveAttach(ctx context.Context, r attachRequest) (attachResponse, error) {
	arrived := n.opts.Owner.Clock()
	o, err := n.attachableOwner(r)
	if err != nil {
		return attachResponse{}, err
	}
	n.advisors.recordFollower(r.Address, r.ElectionDelay)
	if o.HoldsLease() {
		n.resignToLargerVM(r.ElectionDelay)
	}
	n.divider.Report(r.Address, r.Arrivals, arrived)
	_, _, changed := n.configurations.snapshot()
	if !r.JudgesAge && n.opts.Owner.Clock()-time.Duration(n.configConfirmedAt.Load()) > configMaxAge {
		return attachResponse{}, &peer.Error{Code: peer.CodeNotOwner, Message: "the configuration here may be old", Verdict: verdict.NotRun}
	}
	if r.Configuration >= 0 && r.Configuration >= n.configurations.version() {
		select {
		case <-changed:
		case <-time.After(attachPollTime):
		case <-o.Done():
		case <-ctx.Done():
		}
	}
	if current, err := n.attachableOwner(r); err != nil || current != o {
		return attachResponse{}, &peer.Error{Code: peer.CodeNotOwner, Message: "this VM decides no more", Verdict: verdict.NotRun}
	}
	load, err := o.Load(ctx)
	if err != nil {
		return attachResponse{}, err
	}
	reply := attachResponse{Fence: o.Fence(), Suspended: !o.HoldsLease(), QueueLengths: load.QueueLengths, Limits: n.partsOfLimits(r.Address, load), Peers: append(n.advisors.followers(), n.opts.PeerAddress)}
	reply.OperatorRevision, reply.ConfigurationAge = n.operatorRevision.Load(), n.ConfigurationAge() // before the version, which is at least as new
	reply.Held = n.opts.Owner.Clock() - arrived
	room := n.partOfRoom(load)
	reply.Room = &room
	version, raw := n.configurations.activeBytes()
	reply.ConfigurationVersion = version
	if !r.AcceptsChunks && version > r.Configuration {
		reply.Configuration = raw
	}
	return reply, nil
}

func (n *Node) serveState(ctx context.Context, r stateRequest) (stateResponse, error) {
	o := n.currentOwner.Load()
	if o == nil || !r.AllowStale && !o.HoldsLease() {
		return stateResponse{}, &peer.Error{Code: peer.CodeNotOwner, Message: "this VM does not decide", Verdict: verdict.NotRun}
	}
	status, err := o.SubmissionStatus(ctx, r.ID)
	return stateResponse{State: status.State, Account: status.Account, Cause: status.Cause}, err
}

func (n *Node) serveCommit(ctx context.Context, r commitRequest) (commitResponse, error) {
	revision, err := n.storeHealth.Commit(ctx, r.Txn)
	reply := commitResponse{Revision: revision}
	var conflict *fleet.ConflictError
	switch {
	case errors.As(err, &conflict):
		reply.Conflict, reply.Current = true, conflict.Current
	case err != nil:
		reply.NotRun, reply.Error = fleet.IsNotRun(err), err.Error()
	}
	return reply, nil
}

func (n *Node) serveAdvise(ctx context.Context, r adviseRequest) (adviseResponse, error) {
	allowed, validity, err := n.opts.AdviceClient.Advise(ctx, r.Step, r.Workers)
	reply := adviseResponse{Allowed: allowed, Validity: validity}
	if err != nil {
		reply.Error = err.Error()
	}
	return reply, nil
}

func (n *Node) serveOwner(context.Context, struct{}) (ownerResponse, error) {
	if o := n.currentOwner.Load(); o != nil && o.HoldsLease() {
		return ownerResponse{Address: n.opts.PeerAddress, Fence: o.Fence()}, nil
	}
	return ownerResponse{Address: n.currentOwnerAddress()}, nil
}

func (n *Node) serveNotify(ctx context.Context, r notifyRequest) (struct{}, error) {
	o, err := n.activeOwner()
	if err != nil {
		return struct{}{}, err
	}
	o.NotifyStored(ctx, fleet.Item{Key: r.Key, Value: r.Value, Revision: r.Revision, CreateRevision: r.Revision})
	return struct{}{}, nil
}

// NotifyStored implements entry.ClusterView. It notifies the owner without waiting for it. The
// owner's watch returns the item too, but a store that compacts its history delays the watch.
func (n *Node) NotifyStored(w fleet.Write, revision int64) {
	request := notifyRequest{Key: w.Key, Value: w.Value, Revision: revision}
	if o := n.currentOwner.Load(); o != nil {
		go o.NotifyStored(context.Background(), fleet.Item{Key: w.Key, Value: w.Value, Revision: revision, CreateRevision: revision})
		return
	}
	address := n.currentOwnerAddress()
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ownerCallTimeout)
		defer cancel()
		// A lost notification only adds latency: the watch returns the item.
		_ = n.opts.PeerClient.Call(ctx, address, methodNotify, request, nil)
	}()
}

// resignToLargerVM gives up ownership if a follower with the given election delay is much larger
// than this VM.
func (n *Node) resignToLargerVM(followerDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resign != nil && n.opts.ElectionDelay-followerDelay >= minElectionDelayGap && time.Since(n.electedAt) > minOwnershipTime {
		n.opts.Events.Record(event.OwnershipYielded, n.opts.ElectionDelay, followerDelay)
		n.resign()
		n.resign = nil
	}
}

// relayCommitter writes to the store through the owner, for a VM whose calls the store rejects.
type relayCommitter struct{ node *Node }

// Commit implements entry.Committer.
func (r relayCommitter) Commit(ctx context.Context, t fleet.Txn) (int64, error) {
	address := r.node.currentOwnerAddress()
	if address == "" {
		return 0, &fleet.CallError{Op: "relay", Verdict: verdict.NotRun, Cause: errNoOwner}
	}
	var reply commitResponse
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
		return 0, &fleet.ConflictError{Current: reply.Current}
	case reply.Error != "":
		v := verdict.MayHaveRun
		if reply.NotRun {
			v = verdict.NotRun
		}
		return 0, &fleet.CallError{Op: "relay", Verdict: v, Cause: errors.New(reply.Error)}
	}
	return reply.Revision, nil
}
