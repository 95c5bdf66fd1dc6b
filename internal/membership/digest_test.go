package membership

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
)

// TestDigestDeltasUnderLossAndReordering delivers deltas that are lost, late or repeated.
// The receiver's digest always equals one that the sender recorded, and the newest one after a
// complete exchange.
func TestDigestDeltasUnderLossAndReordering(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		var own digestHistory
		var received receivedDigest
		now := time.Hour
		recorded := map[version]Digest{}
		var sent [][]byte
		acked := version(0)
		count := rapid.IntRange(0, 3)
		receive := func(data []byte) {
			received.applyDelta(decodeDelta(data))
			if received.version > 0 && !reflect.DeepEqual(recorded[received.version], normalizeEmptyMaps(received.digest)) {
				t.Fatalf("version %d: received %+v, sent %+v", received.version, received.digest, recorded[received.version])
			}
		}
		own.record(now, Digest{})
		recorded[own.current] = normalizeEmptyMaps(Digest{})
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { proptest.CountStep() },
			"change": func(t *rapid.T) {
				d := Digest{Revision: int64(count.Draw(t, "revision")), FreeSlots: map[string]int{}, Partitions: map[model.PartitionID]PartitionSummary{}}
				for _, service := range []string{"a", "b"} {
					if n := count.Draw(t, service); n > 0 {
						d.FreeSlots[service] = n
					}
				}
				if epoch := count.Draw(t, "epoch"); epoch > 0 {
					d.Partitions["p"] = PartitionSummary{Epoch: int64(epoch), Waiting: count.Draw(t, "waiting")}
				}
				now += time.Duration(count.Draw(t, "time")) * partitionSummaryInterval / 2
				own.record(now, d)
				last := own.retained[own.current%maxRetainedDigests]
				if last.Revision != d.Revision || !sameOwnership(last.Partitions, d.Partitions) {
					t.Fatalf("recorded %+v, want %+v", last, d)
				}
				recorded[own.current] = normalizeEmptyMaps(last)
			},
			"send":        func(*rapid.T) { sent = append(sent, encodeDelta(own.deltaSince(acked))) },
			"acknowledge": func(*rapid.T) { acked = received.version },
			"receive": func(t *rapid.T) {
				if len(sent) > 0 {
					receive(rapid.SampledFrom(sent).Draw(t, "delta"))
				}
			},
		})
		receive(encodeDelta(own.deltaSince(received.version)))
		if received.version != own.current {
			t.Fatalf("received version %d after an exchange, want %d", received.version, own.current)
		}
	})
}

// normalizeEmptyMaps replaces empty maps by nil.
func normalizeEmptyMaps(d Digest) Digest {
	if len(d.FreeSlots) == 0 {
		d.FreeSlots = nil
	}
	if len(d.Queued) == 0 {
		d.Queued = nil
	}
	if len(d.Partitions) == 0 {
		d.Partitions = nil
	}
	return d
}
