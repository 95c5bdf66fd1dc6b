package node

import (
	"context"
	"sync"
	"time"

	"filbertcross/internal/pause"
	"filbertcross/internal/transfer"
)

// Timing of the transfer of the configuration from the owner.
const (
	chunkTimeout         = 400 * time.Millisecond // of one chunk, whose size is reduced after a timeout
	chunkRetryDelay      = 30 * time.Millisecond
	transferStallTimeout = 2 * chunkTimeout // without a chunk, after which this VM reads the store
)

// configurationTransfer is the state of the transfer of the configuration from the owner that this
// VM follows. It is safe for concurrent use.
type configurationTransfer struct {
	running  sync.Mutex         // held by the goroutine that fetches chunks
	receiver *transfer.Receiver // guarded by running; nil: no transfer has begun

	mu         sync.Mutex
	version    int64     // announced by the owner; 0: none
	arrived    int64     // last version that arrived, which is being activated, active, or invalid; 0: none
	progressAt time.Time // when the newest announcement or the last chunk arrived
}

// announce records the version that the owner has.
func (t *configurationTransfer) announce(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version > t.version {
		t.version, t.progressAt = version, time.Now()
	}
}

// withdraw forgets the announcement of an owner that this VM no longer follows. A transfer that has
// begun continues with the next owner that has the version.
func (t *configurationTransfer) withdraw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = 0
}

func (t *configurationTransfer) announced() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// wanted reports whether a version newer than the active one is announced and has not arrived.
func (t *configurationTransfer) wanted(active int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isWanted(active)
}

// isWanted is wanted; the caller holds mu.
func (t *configurationTransfer) isWanted(active int64) bool {
	return t.version > max(active, t.arrived)
}

func (t *configurationTransfer) recordArrival(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrived = version
}

func (t *configurationTransfer) recordProgress() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progressAt = time.Now()
}

// stalled reports whether a version is wanted and does not arrive.
func (t *configurationTransfer) stalled(active int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isWanted(active) && time.Since(t.progressAt) > transferStallTimeout
}

// applyAnnouncement applies what the owner's response to a poll says about the configuration, and
// starts the transfer of a newer version.
func (n *Node) applyAnnouncement(ctx context.Context, address string, reply attachResponse) {
	if len(reply.Configuration) > 0 {
		n.activateConfiguration(ctx, reply.Configuration, address)
	}
	if reply.ConfigurationVersion <= n.configurations.version() {
		n.advanceOperatorRevision(reply.OperatorRevision)
		return
	}
	n.transfer.announce(reply.ConfigurationVersion)
	go n.fetchConfiguration(ctx, address)
}

// fetchConfiguration fetches the announced version from the owner at the address, unless another
// goroutine does so. A version that is announced meanwhile is fetched afterwards, so that a quick
// series of changes does not keep a slow link from completing any.
func (n *Node) fetchConfiguration(ctx context.Context, address string) {
	t := &n.transfer
	for ctx.Err() == nil && t.wanted(n.configurations.version()) && t.running.TryLock() {
		n.fetchAnnounced(ctx, address, t)
		t.running.Unlock()
	}
}

// fetchAnnounced fetches chunks until this VM has the announced version or ctx is done. The caller
// holds t.running.
func (n *Node) fetchAnnounced(ctx context.Context, address string, t *configurationTransfer) {
	for ctx.Err() == nil {
		active, raw := n.configurations.activeBytes()
		if !t.wanted(active) {
			t.receiver = nil
			return
		}
		if t.receiver == nil || t.receiver.BaseVersion() != active {
			t.receiver = transfer.NewReceiver(active, raw)
		}
		if err := n.fetchChunk(ctx, address, t.receiver); err != nil {
			pause.For(ctx, chunkRetryDelay)
		}
	}
}

// fetchChunk fetches one chunk and activates the configuration that it completes.
func (n *Node) fetchChunk(ctx context.Context, address string, receiver *transfer.Receiver) error {
	callCtx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	start := time.Now()
	var chunk transfer.Chunk
	err := n.opts.PeerClient.Call(callCtx, address, methodConfiguration, receiver.Request(), &chunk)
	if err != nil {
		receiver.RequestFailed()
		if ctx.Err() == nil {
			n.ownerReads.observe(start, n.configurations.version(), err)
		}
		return err
	}
	version, raw, err := receiver.Accept(chunk, time.Since(start))
	if err == nil {
		n.transfer.recordProgress()
	}
	if version != 0 {
		n.transfer.recordArrival(version)
		if n.activateConfiguration(ctx, raw, address) {
			n.supersedeConfigurationRead()
		}
	}
	n.ownerReads.observe(start, n.configurations.version(), err)
	return err
}

// serveConfiguration responds with a chunk of the configuration.
func (n *Node) serveConfiguration(_ context.Context, r transfer.Request) (transfer.Chunk, error) {
	if version, raw := n.configurations.activeBytes(); version != 0 {
		n.sender.Add(version, raw)
	}
	return n.sender.Chunk(r)
}
