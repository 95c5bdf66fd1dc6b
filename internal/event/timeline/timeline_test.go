package timeline

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
)

// fakePeers calls the handlers of logs by address and encodes messages as JSON, as
// the peer link does.
type fakePeers map[string]peer.Handler

func (f fakePeers) Call(ctx context.Context, address string, _ peer.Method, params, result any) error {
	h, ok := f[address]
	if !ok {
		return &peer.Error{Code: peer.CodeUnreachable, Message: address}
	}
	request, _ := json.Marshal(params)
	response, err := h(ctx, request)
	if err != nil {
		return err
	}
	data, _ := json.Marshal(response)
	return json.Unmarshal(data, result)
}

// addressRegistry registers a log's handler under an address.
type addressRegistry struct {
	fakePeers
	address string
}

func (a addressRegistry) Handle(_ peer.Method, h peer.Handler) { a.fakePeers[a.address] = h }

// TestCollect reads a ring of several pages, a ring that has evicted events, the
// VM's own ring and a VM that does not respond.
func TestCollect(t *testing.T) {
	const events = 2*event.MaxListEntries + 7
	now := time.Unix(1_800_000_000, 0) // advances so slowly that no event is summed up, however fast the machine is
	peers := fakePeers{}
	logs := map[model.VMID]*event.Log{}
	for id, ring := range map[model.VMID]int{"own": 10, "long": events, "short": 5} {
		logs[id] = event.NewLog(event.LogOptions{VM: id, RingEntries: ring, Now: func() time.Time { return now }})
		Register(addressRegistry{peers, string(id)}, logs[id])
	}
	for range events {
		now = now.Add(10 * time.Millisecond)
		logs["long"].Record(event.PeerDrained, "x")
		logs["short"].Record(event.PeerDrained, "x")
	}
	logs["own"].Record(event.PeerDrained, "x")
	vms := []VM{{ID: "own"}, {ID: "long", Address: "long"}, {ID: "short", Address: "short"}, {ID: "gone", Address: "gone"}}
	timeline := NewCollector(peers, logs["own"]).Collect(context.Background(), vms, 0)
	count := map[model.VMID]int{}
	for _, e := range timeline.Entries {
		count[e.VM]++
	}
	if count["own"] != 1 || count["long"] != events || count["short"] != 5 {
		t.Errorf("entries by VM: %v", count)
	}
	if !slices.Equal(timeline.Unreachable, []model.VMID{"gone"}) || !slices.Equal(timeline.Incomplete, []model.VMID{"short"}) {
		t.Errorf("unread %v, incomplete %v", timeline.Unreachable, timeline.Incomplete)
	}
	if !slices.IsSortedFunc(timeline.Entries, func(a, b event.Entry) int { return int(int64(a.Stamp) - int64(b.Stamp)) }) {
		t.Error("the timeline is out of order")
	}
}
