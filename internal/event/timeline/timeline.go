// Package timeline reads the event rings of all VMs over the peer link and merges
// them into one timeline.
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

// maxConcurrentReads bounds the number of VMs that are read concurrently.
const maxConcurrentReads = 16

// Register registers the handler with which other VMs read the log.
func Register(r peer.Registry, log *event.Log) {
	r.Handle(MethodList, func(_ context.Context, params json.RawMessage) (any, error) {
		var request event.ListRequest
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, &peer.Error{Code: peer.CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun}
		}
		return log.List(request), nil
	})
}

// VM is a VM whose events are read.
type VM struct {
	ID      model.VMID
	Address string // host:port of its peer link; empty: this VM's own log
}

// Timeline holds the merged events and the VMs whose events are missing.
type Timeline struct {
	Entries     []event.Entry `json:"entries"`
	Unreachable []model.VMID  `json:"unread,omitempty"`     // VMs that could not be read completely
	Incomplete  []model.VMID  `json:"incomplete,omitempty"` // VMs that have evicted requested events from their ring
}

// Collector reads the event rings of VMs. It is safe for concurrent use.
type Collector struct {
	caller peer.Caller
	ownLog *event.Log
}

// NewCollector returns a collector that calls other VMs with caller and reads this
// VM's own log directly.
func NewCollector(caller peer.Caller, ownLog *event.Log) *Collector {
	return &Collector{caller: caller, ownLog: ownLog}
}

// Collect reads the events after the stamp from all given VMs until ctx is done.
// It returns what was read and lists the VMs that could not be read.
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

// readEvents reads one VM's ring page by page. With an error it returns the entries
// that were read before the error.
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
