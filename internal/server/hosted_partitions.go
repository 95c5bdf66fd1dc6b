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

// hostedPartitions connects the assigner with the components that serve partitions: the
// control loop for worker partitions, the ledger for key partitions. Safe for concurrent
// use.
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

// StartHosting implements partitionHost.
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

// StopHosting implements partitionHost.
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
			p.owner.EndEpoch(now, "released to another VM")
			c.processCommands(p)
		}
		return hosted
	})
	return log, true
}

// remove removes a partition and returns its log; false if it is not hosted, or if log is
// not nil and not the hosted log.
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

// HostedEpochs implements partitionHost.
func (h *hostedPartitions) HostedEpochs() map[model.PartitionID]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	epochs := make(map[model.PartitionID]int64, len(h.logs))
	for id, log := range h.logs {
		epochs[id] = log.Epoch()
	}
	return epochs
}

// openKeyPartition serves a key partition until its log finds that another VM owns it.
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
	h.recorder.Record(event.PartitionOwnershipLost, id, log.Epoch(), "the store has a newer epoch")
}

// keyPartitionLog calls onOwnershipLost when an append finds that another VM owns the
// partition.
type keyPartitionLog struct {
	*partition.Log
	onOwnershipLost func()
}

// Append implements ledger.Log.
func (l keyPartitionLog) Append(ctx context.Context, records [][]byte) error {
	err := l.Log.Append(ctx, records)
	if errors.Is(err, partition.ErrOwnershipLost) {
		l.onOwnershipLost()
	}
	return err
}

// ownershipCheckInterval is the time between checks that this VM still owns its key
// partitions.
const ownershipCheckInterval = 5 * time.Second

// Run drops key partitions that another VM took over, also if nothing is appended to
// them, until ctx is done. Without this check two VMs that freeze in turn could leave a
// partition without an owner.
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
			if errors.Is(log.ConfirmOwnership(ctx), partition.ErrOwnershipLost) {
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

// KeyPartitionSummaries returns the key partitions' summaries for the heartbeats.
func (h *hostedPartitions) KeyPartitionSummaries() map[model.PartitionID]membership.PartitionSummary {
	summaries := map[model.PartitionID]membership.PartitionSummary{}
	for id, log := range h.keyPartitionLogs() {
		summaries[id] = membership.PartitionSummary{Epoch: log.Epoch()}
	}
	return summaries
}

// partitionTakenOver passes a worker partition that was taken over to the control loop.
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
