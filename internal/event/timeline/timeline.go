// Package timeline gathers the event rings of all VMs over the peer link and
// merges them into one line of time.
package timeline

import (
	"context"
	"encoding/json"
	"sync"

	"golang.org/x/sync/errgroup"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/verdict"
)

// MethodList is the peer method that returns a VM's events.
const MethodList peer.Method = "events.list"

// maxFetches bounds the VMs that are asked at the same time.
const maxConcurrentReads = 16

// Register lets other VMs read the log.
func Register(r peer.Registry, log *event.Log) {
	r.Handle(MethodList, func(_ context.Context, params json.RawMessage) (any, error) {
		var request event.ListRequest
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, &peer.Error{Code: peer.CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun}
		}
		return log.List(request), nil
	})
}

// VM is one VM to read from.
type VM struct {
	ID      model.VMID
	Address string // of its peer link; empty: this VM's own log
}

// Timeline is the merged events and what is missing from them.
type Timeline struct {
	Entries     []event.Entry `json:"entries"`
	Unreachable []model.VMID  `json:"unread,omitempty"`     // VMs that gave no answer
	Incomplete  []model.VMID  `json:"incomplete,omitempty"` // VMs whose ring no longer holds all of the time asked for
}

// Collector reads the rings of other VMs. Safe for concurrent use.
type Collector struct {
	caller peer.Caller
	ownLog *event.Log
}

// NewCollector returns a collector that reads this VM's own log directly.
func NewCollector(caller peer.Caller, ownLog *event.Log) *Collector {
	return &Collector{caller: caller, ownLog: ownLog}
}

// Collect returns the events after the stamp of all VMs that answer within ctx.
func (c *Collector) Collect(ctx context.Context, vms []VM, after event.Stamp) Timeline {
	var timeline Timeline
	var rings [][]event.Entry
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for _, vm := range vms {
		group.Go(func() error {
			entries, missed, err := c.readEvents(ctx, vm, after)
			mu.Lock()
			defer mu.Unlock()
			rings = append(rings, entries)
			if err != nil {
				timeline.Unreachable = append(timeline.Unreachable, vm.ID)
			}
			if missed {
				timeline.Incomplete = append(timeline.Incomplete, vm.ID)
			}
			return nil
		})
	}
	_ = group.Wait()
	timeline.Entries = event.Merge(rings...)
	return timeline
}

// read pages through one VM's ring. Entries read before an error are returned.
func (c *Collector) readEvents(ctx context.Context, vm VM, after event.Stamp) (entries []event.Entry, missed bool, err error) {
	for {
		var response event.ListResponse
		request := event.ListRequest{After: after}
		if vm.Address == "" {
			response = c.ownLog.List(request)
		} else if err := c.caller.Call(ctx, vm.Address, MethodList, request, &response); err != nil {
			return entries, missed, err
		}
		entries = append(entries, response.Entries...)
		missed = missed || response.Missed
		if !response.More {
			return entries, missed, nil
		}
		after = entries[len(entries)-1].Stamp
	}
}
