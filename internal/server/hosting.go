package server

import (
	"context"
	"sync"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
)

// hosting passes partitions between the assigner and the control loop. Safe for
// concurrent use.
type hosting struct {
	loop     *loop
	recorder event.Recorder

	mu     sync.Mutex
	hosted map[model.PartitionID]*partition.Log
}

var _ tenancies = (*hosting)(nil)

func newHosting(l *loop, recorder event.Recorder) *hosting {
	return &hosting{loop: l, recorder: recorder, hosted: map[model.PartitionID]*partition.Log{}}
}

// Host implements tenancies.
func (h *hosting) Host(info partition.Info, log *partition.Log, replay partition.Replay) {
	h.mu.Lock()
	h.hosted[info.ID] = log
	h.mu.Unlock()
	h.loop.Post(hostPartition{hosting: h, info: info, log: log, replay: replay})
}

// Withdraw implements tenancies.
func (h *hosting) Withdraw(id model.PartitionID) (*partition.Log, bool) {
	log, ok := h.forget(id, nil)
	if !ok {
		return nil, false
	}
	_, _ = ask(context.Background(), h.loop, func(c *control, now time.Time) bool {
		t, hosted := c.tenures[id]
		if hosted && t.log == log {
			t.owner.Depose(now, "released to another VM")
			c.drain(t)
		}
		return hosted
	})
	return log, true
}

// forget removes a partition; a log that is given must be the hosted one.
func (h *hosting) forget(id model.PartitionID, log *partition.Log) (*partition.Log, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found, ok := h.hosted[id]
	if !ok || (log != nil && found != log) {
		return nil, false
	}
	delete(h.hosted, id)
	return found, true
}

// Hosted implements tenancies.
func (h *hosting) Hosted() map[model.PartitionID]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	epochs := make(map[model.PartitionID]int64, len(h.hosted))
	for id, log := range h.hosted {
		epochs[id] = log.Epoch()
	}
	return epochs
}

// hostPartition brings a partition that was taken over to the control loop.
type hostPartition struct {
	hosting *hosting
	info    partition.Info
	log     *partition.Log
	replay  partition.Replay
}

func (m hostPartition) apply(c *control, now time.Time) {
	err := c.host(now, m.info, m.log, m.replay, func() { m.hosting.forget(m.info.ID, m.log) })
	if err != nil {
		m.hosting.recorder.Record(event.TakeoverFailed, m.info.ID, err)
		m.hosting.forget(m.info.ID, m.log)
		m.log.Close()
	}
}
