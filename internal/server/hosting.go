package server

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/ledger"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
)

// hosting passes partitions between the assigner and those who serve them: worker
// partitions to the control loop, key partitions to the ledger. Safe for concurrent use.
type hosting struct {
	loop     *loop
	ledger   *ledger.Host
	recorder event.Recorder

	mu     sync.Mutex
	hosted map[model.PartitionID]*partition.Log
}

var _ tenancies = (*hosting)(nil)

func newHosting(l *loop, keys *ledger.Host, recorder event.Recorder) *hosting {
	return &hosting{loop: l, ledger: keys, recorder: recorder, hosted: map[model.PartitionID]*partition.Log{}}
}

// Host implements tenancies.
func (h *hosting) Host(info partition.Info, log *partition.Log, replay partition.Replay) {
	h.mu.Lock()
	h.hosted[info.ID] = log
	h.mu.Unlock()
	if partition.IsKeyPartition(info.ID) {
		h.openKeys(info.ID, log, replay)
		return
	}
	h.loop.Post(hostPartition{hosting: h, info: info, log: log, replay: replay})
}

// Withdraw implements tenancies.
func (h *hosting) Withdraw(id model.PartitionID) (*partition.Log, bool) {
	log, ok := h.forget(id, nil)
	if !ok {
		return nil, false
	}
	if partition.IsKeyPartition(id) {
		h.ledger.Close(id)
		return log, true
	}
	_, _ = ask(context.Background(), h.loop, func(c *control, now time.Time) bool {
		t, hosted := c.tenures[id]
		if hosted && t.log == log {
			t.owner.EndEpoch(now, "released to another VM")
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

// openKeys serves a key partition until its log is deposed.
func (h *hosting) openKeys(id model.PartitionID, log *partition.Log, replay partition.Replay) {
	served := keyLog{Log: log, deposed: func() { h.deposeKeys(id, log) }}
	if err := h.ledger.Open(id, served, replay); err != nil {
		h.recorder.Record(event.TakeoverFailed, id, err)
		h.forget(id, log)
		log.Close()
	}
}

func (h *hosting) deposeKeys(id model.PartitionID, log *partition.Log) {
	if _, hosted := h.forget(id, log); !hosted {
		return
	}
	h.ledger.Close(id)
	h.recorder.Record(event.PartitionOwnershipLost, id, log.Epoch(), "the store shows a newer epoch")
}

// keyLog tells when an append finds that another VM owns the partition.
type keyLog struct {
	*partition.Log
	deposed func()
}

// Append implements ledger.Log.
func (l keyLog) Append(ctx context.Context, records [][]byte) error {
	err := l.Log.Append(ctx, records)
	if errors.Is(err, partition.ErrOwnershipLost) {
		l.deposed()
	}
	return err
}

// confirmInterval is the time between two checks that key partitions are still owned.
const confirmInterval = 5 * time.Second

// Run finds key partitions that another VM took over while nothing was appended:
// without it two VMs that were frozen in turn could leave a partition to nobody.
func (h *hosting) Run(ctx context.Context) error {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for id, log := range h.keyLogs() {
			if errors.Is(log.ConfirmOwnership(ctx), partition.ErrOwnershipLost) {
				h.deposeKeys(id, log)
			}
		}
	}
}

func (h *hosting) keyLogs() map[model.PartitionID]*partition.Log {
	h.mu.Lock()
	defer h.mu.Unlock()
	logs := map[model.PartitionID]*partition.Log{}
	for id, log := range h.hosted {
		if partition.IsKeyPartition(id) {
			logs[id] = log
		}
	}
	return logs
}

// KeyTenancies sums the key partitions up for the heartbeats.
func (h *hosting) KeyTenancies() map[model.PartitionID]membership.Tenancy {
	tenancies := map[model.PartitionID]membership.Tenancy{}
	for id, log := range h.keyLogs() {
		tenancies[id] = membership.Tenancy{Epoch: log.Epoch()}
	}
	return tenancies
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
