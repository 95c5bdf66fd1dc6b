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
type hostedPartitions struct {
	loop     *loop
	ledger   *ledger.Host
	recorder event.Recorder

	mu   sync.Mutex
	logs map[model.PartitionID]*partition.Log
}

var _ partitionHost = (*hostedPartitions)(nil)

func newHostedPartitions(l *loop, keys *ledger.Host, recorder event.Recorder) *hostedPartitions {
	return &hostedPartitions{loop: l, ledger: keys, recorder: recorder, logs: map[model.PartitionID]*partition.Log{}}
}

// Host implements tenancies.
func (h *hostedPartitions) StartHosting(info partition.Info, log *partition.Log, replay partition.Replay) {
	h.mu.Lock()
	h.logs[info.ID] = log
	h.mu.Unlock()
	if partition.IsKeyPartition(info.ID) {
		h.openKeyPartition(info.ID, log, replay)
		return
	}
	h.loop.Post(partitionTakenOver{host: h, info: info, log: log, replay: replay})
}

// Withdraw implements tenancies.
func (h *hostedPartitions) StopHosting(id model.PartitionID) (*partition.Log, bool) {
	log, ok := h.remove(id, nil)
	if !ok {
		return nil, false
	}
	if partition.IsKeyPartition(id) {
		h.ledger.Close(id)
		return log, true
	}
	_, _ = queryLoop(context.Background(), h.loop, func(c *controlState, now time.Time) bool {
		p, hosted := c.partitions[id]
		if hosted && p.log == log {
			p.owner.Depose(now, "released to another VM")
			c.processCommands(p)
		}
		return hosted
	})
	return log, true
}

// forget removes a partition; a log that is given must be the hosted one.
func (h *hostedPartitions) remove(id model.PartitionID, log *partition.Log) (*partition.Log, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found, ok := h.logs[id]
	if !ok || (log != nil && found != log) {
		return nil, false
	}
	delete(h.logs, id)
	return found, true
}

// Hosted implements tenancies.
func (h *hostedPartitions) HostedEpochs() map[model.PartitionID]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	epochs := make(map[model.PartitionID]int64, len(h.logs))
	for id, log := range h.logs {
		epochs[id] = log.Epoch()
	}
	return epochs
}

// openKeys serves a key partition until its log is deposed.
func (h *hostedPartitions) openKeyPartition(id model.PartitionID, log *partition.Log, replay partition.Replay) {
	keyLog := keyPartitionLog{Log: log, onOwnershipLost: func() { h.dropLostKeyPartition(id, log) }}
	if err := h.ledger.Open(id, keyLog, replay); err != nil {
		h.recorder.Record(event.TakeoverFailed, id, err)
		h.remove(id, log)
		log.Close()
	}
}

func (h *hostedPartitions) dropLostKeyPartition(id model.PartitionID, log *partition.Log) {
	if _, hosted := h.remove(id, log); !hosted {
		return
	}
	h.ledger.Close(id)
	h.recorder.Record(event.PartitionDeposed, id, log.Epoch(), "the store shows a newer epoch")
}

// keyLog tells when an append finds that another VM owns the partition.
type keyPartitionLog struct {
	*partition.Log
	onOwnershipLost func()
}

// Append implements ledger.Log.
func (l keyPartitionLog) Append(ctx context.Context, records [][]byte) error {
	err := l.Log.Append(ctx, records)
	if errors.Is(err, partition.ErrDeposed) {
		l.onOwnershipLost()
	}
	return err
}

// confirmInterval is the time between two checks that key partitions are still owned.
const ownershipCheckInterval = 5 * time.Second

// Run finds key partitions that another VM took over while nothing was appended:
// without it two VMs that were frozen in turn could leave a partition to nobody.
func (h *hostedPartitions) Run(ctx context.Context) error {
	ticker := time.NewTicker(ownershipCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for id, log := range h.keyPartitionLogs() {
			if errors.Is(log.Confirm(ctx), partition.ErrDeposed) {
				h.dropLostKeyPartition(id, log)
			}
		}
	}
}

func (h *hostedPartitions) keyPartitionLogs() map[model.PartitionID]*partition.Log {
	h.mu.Lock()
	defer h.mu.Unlock()
	logs := map[model.PartitionID]*partition.Log{}
	for id, log := range h.logs {
		if partition.IsKeyPartition(id) {
			logs[id] = log
		}
	}
	return logs
}

// KeyTenancies sums the key partitions up for the heartbeats.
func (h *hostedPartitions) KeyPartitionDigests() map[model.PartitionID]membership.Tenancy {
	digests := map[model.PartitionID]membership.Tenancy{}
	for id, log := range h.keyPartitionLogs() {
		digests[id] = membership.Tenancy{Epoch: log.Epoch()}
	}
	return digests
}

// hostPartition brings a partition that was taken over to the control loop.
type partitionTakenOver struct {
	host   *hostedPartitions
	info   partition.Info
	log    *partition.Log
	replay partition.Replay
}

func (m partitionTakenOver) apply(c *controlState, now time.Time) {
	err := c.addPartition(now, m.info, m.log, m.replay, func() { m.host.remove(m.info.ID, m.log) })
	if err != nil {
		m.host.recorder.Record(event.TakeoverFailed, m.info.ID, err)
		m.host.remove(m.info.ID, m.log)
		m.log.Close()
	}
}
