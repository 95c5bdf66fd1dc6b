package membership

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
)

// TestDigestDeltas sends deltas that are lost, late or repeated. What the receiver
// holds is always a digest that the sender had, and the newest after one exchange.
func TestDigestDeltas(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		var own ownDigests
		var held heldDigest
		now := time.Hour
		had := map[version]Digest{}
		var sent [][]byte
		acked := version(0)
		count := rapid.IntRange(0, 3)
		receive := func(data []byte) {
			held.apply(decodeDelta(data))
			if held.version > 0 && !reflect.DeepEqual(had[held.version], normal(held.digest)) {
				t.Fatalf("version %d: holds %+v, was %+v", held.version, held.digest, had[held.version])
			}
		}
		own.update(now, Digest{})
		had[own.current] = normal(Digest{})
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { proptest.CountStep() },
			"change": func(t *rapid.T) {
				d := Digest{Revision: int64(count.Draw(t, "revision")), FreeSlots: map[string]int{}, Partitions: map[model.PartitionID]Tenancy{}}
				for _, service := range []string{"a", "b"} {
					if n := count.Draw(t, service); n > 0 {
						d.FreeSlots[service] = n
					}
				}
				if epoch := count.Draw(t, "epoch"); epoch > 0 {
					d.Partitions["p"] = Tenancy{Epoch: int64(epoch), Waiting: count.Draw(t, "waiting")}
				}
				now += time.Duration(count.Draw(t, "time")) * partitionRefresh / 2
				own.update(now, d)
				last := own.kept[own.current%keptDigests]
				if last.Revision != d.Revision || !sameOwnership(last.Partitions, d.Partitions) {
					t.Fatalf("told %+v instead of %+v", last, d)
				}
				had[own.current] = normal(last)
			},
			"send":        func(*rapid.T) { sent = append(sent, encodeDelta(own.deltaSince(acked))) },
			"acknowledge": func(*rapid.T) { acked = held.version },
			"receive": func(t *rapid.T) {
				if len(sent) > 0 {
					receive(rapid.SampledFrom(sent).Draw(t, "delta"))
				}
			},
		})
		receive(encodeDelta(own.deltaSince(held.version)))
		if held.version != own.current {
			t.Fatalf("holds version %d after an exchange, newest is %d", held.version, own.current)
		}
	})
}

// normal makes empty maps of all kinds equal.
func normal(d Digest) Digest {
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
