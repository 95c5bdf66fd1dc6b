package rollout

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/verdict"
)

// The peer methods of this package.
const (
	methodHead   peer.Method = "config.head"
	methodParts  peer.Method = "config.parts"
	methodStatus peer.Method = "config.status"
)

// maxPartsResponseBytes limits the parts in one response; the caller requests the rest
// with another call.
const maxPartsResponseBytes = 1 << 20

// headResponse contains the active head; empty if there is none.
type headResponse struct {
	Head []byte `json:"head,omitempty"` // encoded as in the store
}

// partsRequest requests parts by key.
type partsRequest struct {
	Keys []string `json:"keys"`
}

// partsResponse contains the first of the requested parts, in the requested order.
type partsResponse struct {
	Contents [][]byte `json:"contents"`
}

// Status describes the active configuration of one VM.
type Status struct {
	VM       model.VMID `json:"vm"`
	Revision int64      `json:"revision"` // 0: none
	Since    time.Time  `json:"since"`    // time of activation by that VM's wall clock
	Problem  string     `json:"problem,omitempty"`
}

// Register registers the handlers through which other VMs read this VM's configuration.
func (r *Rollout) Register(registry peer.Registry) {
	registry.Handle(methodHead, func(context.Context, json.RawMessage) (any, error) {
		var response headResponse
		if a := r.source.active.Load(); a != nil {
			response.Head = encode(a.head)
		}
		return response, nil
	})
	registry.Handle(methodParts, r.handleParts)
	registry.Handle(methodStatus, func(context.Context, json.RawMessage) (any, error) {
		return r.localStatus(), nil
	})
}

func (r *Rollout) handleParts(_ context.Context, params json.RawMessage) (any, error) {
	var request partsRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, &peer.Error{Code: peer.CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun}
	}
	var response partsResponse
	size := 0
	cachedParts := r.source.cachedParts()
	for _, key := range request.Keys {
		c := cachedParts[key]
		if c == nil {
			return nil, &peer.Error{Code: peer.CodeNotOwner, Message: "active configuration has no part " + key, Verdict: verdict.NotRun}
		}
		if size += len(c); size > maxPartsResponseBytes && len(response.Contents) > 0 {
			break
		}
		response.Contents = append(response.Contents, c)
	}
	return response, nil
}

// pollPeers activates the newest configuration of the peers if it is newer than the
// active one. A VM without a configuration requests it from every peer, but only while
// the store is unreachable, because the store may have a newer one. Other VMs rely on
// the revisions in the digests.
func (r *Rollout) pollPeers(ctx context.Context) {
	own := r.source.Revision()
	if own == 0 && !r.storeDown.Load() {
		return
	}
	var newest peerHead
	for _, m := range r.view.Members() {
		if m.ID == r.view.Self().ID || m.State == membership.Dead || (own > 0 && m.Digest.Revision <= own) {
			continue
		}
		h, err := r.fetchPeerHead(ctx, m.Address)
		if err == nil && h.Revision > newest.Revision {
			newest = peerHead{head: h, member: m}
		}
	}
	if newest.Revision <= r.source.Revision() {
		return
	}
	if err := r.fetchAndActivateFromPeer(ctx, newest); err != nil {
		r.recorder.Record(event.ConfigurationFetchFailed, newest.Revision, newest.member.ID, err.Error())
	}
}

// peerHead is a head and the VM that it was read from.
type peerHead struct {
	head
	member membership.Member
}

func (r *Rollout) callPeer(ctx context.Context, address string, m peer.Method, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return r.caller.Call(ctx, address, m, params, result)
}

func (r *Rollout) fetchPeerHead(ctx context.Context, address string) (head, error) {
	var response headResponse
	if err := r.callPeer(ctx, address, methodHead, nil, &response); err != nil {
		return head{}, err
	}
	if len(response.Head) == 0 {
		return head{}, nil
	}
	return decodeHead(response.Head)
}

func (r *Rollout) fetchAndActivateFromPeer(ctx context.Context, h peerHead) error {
	contents, missing := r.splitByCached(h.head)
	for len(missing) > 0 {
		request := partsRequest{Keys: make([]string, len(missing))}
		for i, ref := range missing {
			request.Keys[i] = ref.key()
		}
		var response partsResponse
		if err := r.callPeer(ctx, h.member.Address, methodParts, request, &response); err != nil {
			return err
		}
		if len(response.Contents) == 0 || len(response.Contents) > len(missing) {
			return errors.New("rollout: peer returned no parts or more than requested")
		}
		for i, c := range response.Contents {
			contents[missing[i].key()] = c
		}
		missing = missing[len(response.Contents):]
	}
	return r.source.activate(h.head, contents, string(h.member.ID))
}

func (r *Rollout) localStatus() Status {
	status := Status{VM: r.view.Self().ID}
	if a := r.source.active.Load(); a != nil {
		status.Revision, status.Since = a.head.Revision, a.activeSince
	}
	return status
}

// Status requests the active revision from every VM. The result is sorted by VM; for a
// VM that is dead or does not respond before ctx is done it contains the problem.
func (r *Rollout) Status(ctx context.Context) []Status {
	statuses := []Status{r.localStatus()}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, m := range r.view.Members() {
		if m.ID == statuses[0].VM {
			continue
		}
		wait.Go(func() {
			status := r.peerStatus(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, status)
		})
	}
	wait.Wait()
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.VM, b.VM) })
	return statuses
}

func (r *Rollout) peerStatus(ctx context.Context, m membership.Member) Status {
	if m.State == membership.Dead {
		return Status{VM: m.ID, Problem: "dead"}
	}
	var status Status
	if err := r.callPeer(ctx, m.Address, methodStatus, nil, &status); err != nil {
		return Status{VM: m.ID, Problem: err.Error()}
	}
	return status
}
