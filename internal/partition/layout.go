package partition

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// Sizes of a layout.
const (
	// MaxWorkersPerPartition is the number of workers for which a partition is sized.
	MaxWorkersPerPartition = 128
	// DefaultKeyPartitions is the number of key partitions in a new layout.
	DefaultKeyPartitions = 16
)

const layoutKey = "layout"

// jobSeparator separates the home partition from the unique part in a job's id.
const jobSeparator = "~"

// Layout defines the partitions. It is created once and only grows by failure domains;
// neither a key nor a listed worker ever changes its partition.
type Layout struct {
	Domains       []Domain `cbor:"1,keyasint"`
	KeyPartitions int      `cbor:"2,keyasint"`
	// Homes are the worker partitions over which jobs with an idempotency key are hashed:
	// those of the first layout that had any. The list never changes after that.
	Homes []model.PartitionID `cbor:"3,keyasint"`
	Stamp string              `cbor:"4,keyasint"`
}

// Domain is a failure domain with its number of worker partitions.
type Domain struct {
	ID     model.FailureDomain `cbor:"1,keyasint"`
	Shards int                 `cbor:"2,keyasint"`
}

// Partitions lists all partitions, worker partitions first.
func (l Layout) Partitions() []Info {
	var all []Info
	for _, d := range l.Domains {
		for shard := range d.Shards {
			all = append(all, Info{ID: workerPartition(d.ID, shard), FailureDomain: d.ID})
		}
	}
	for n := range l.KeyPartitions {
		all = append(all, Info{ID: keyPartition(n)})
	}
	return all
}

func workerPartition(d model.FailureDomain, shard int) model.PartitionID {
	return model.PartitionID(fmt.Sprintf("w-%s-%d", d, shard))
}

func keyPartition(n int) model.PartitionID {
	return model.PartitionID(fmt.Sprintf("k-%d", n))
}

// WorkerPartition returns the partition of a worker, chosen by its failure domain and the
// hash of its rack; false while the layout lacks the failure domain.
func (l Layout) WorkerPartition(vm platform.VM) (model.PartitionID, bool) {
	for _, d := range l.Domains {
		if d.ID == vm.FailureDomain {
			return workerPartition(d.ID, int(xxhash.Sum64String(vm.Rack)%uint64(d.Shards))), true
		}
	}
	return "", false
}

// KeyPartition returns the key partition of a request's idempotency key.
func (l Layout) KeyPartition(branch model.BranchID, key string) model.PartitionID {
	return keyPartition(int(keyHash(branch, key) % uint64(l.KeyPartitions)))
}

// HomePartition returns the home partition of a job with an idempotency key; false while
// no worker has ever been listed.
func (l Layout) HomePartition(branch model.BranchID, key string) (model.PartitionID, bool) {
	if len(l.Homes) == 0 {
		return "", false
	}
	return l.Homes[keyHash(branch, key)%uint64(len(l.Homes))], true
}

func keyHash(branch model.BranchID, key string) uint64 {
	return xxhash.Sum64String(string(branch) + "\x00" + key)
}

// IsKeyPartition reports whether the partition is one of idempotency keys.
func IsKeyPartition(id model.PartitionID) bool { return strings.HasPrefix(string(id), "k-") }

// NewJobID returns a new unique job id with the given home partition.
func NewJobID(home model.PartitionID) model.JobID {
	return model.JobID(string(home) + jobSeparator + uuid.NewString())
}

// JobPartition returns the home partition contained in a job's id.
func JobPartition(id model.JobID) (model.PartitionID, bool) {
	i := strings.LastIndex(string(id), jobSeparator)
	if i < 0 {
		return "", false
	}
	return model.PartitionID(id[:i]), true
}

// LoadLayout reads the layout, creates it from the listed workers if there is none, and
// adds new failure domains. keyPartitions is used only at creation.
func LoadLayout(ctx context.Context, store platform.Store, vms []platform.VM, keyPartitions int) (Layout, error) {
	for {
		e, err := store.Get(ctx, layoutKey)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return Layout{}, err
		}
		layout := Layout{KeyPartitions: keyPartitions}
		if err == nil {
			if layout, err = decode[Layout](e.Value); err != nil {
				return Layout{}, err
			}
		}
		if grown := layout.addDomains(vms); !grown && e.Revision != 0 {
			return layout, nil
		}
		if len(layout.Homes) == 0 {
			layout.setHomes()
		}
		err = layout.write(ctx, store, e.Revision)
		if !errors.Is(err, platform.ErrConflict) {
			return layout, err
		}
	}
}

func (l *Layout) write(ctx context.Context, store platform.Store, expected platform.Revision) error {
	l.Stamp = uuid.NewString()
	isOwn := func(value []byte) bool {
		found, err := decode[Layout](value)
		return err == nil && found.Stamp == l.Stamp
	}
	_, err := casUntilResolved(ctx, store, sleep, layoutKey, encode(l), expected, isOwn)
	return err
}

func (l *Layout) setHomes() {
	for _, p := range l.Partitions() {
		if !IsKeyPartition(p.ID) {
			l.Homes = append(l.Homes, p.ID)
		}
	}
}

// addDomains adds the failure domains that are new and reports whether there were any.
func (l *Layout) addDomains(vms []platform.VM) bool {
	workers := map[model.FailureDomain]int{}
	for _, vm := range vms {
		if vm.Role == platform.RoleWorker {
			workers[vm.FailureDomain]++
		}
	}
	for _, d := range l.Domains {
		delete(workers, d.ID)
	}
	for id, n := range workers {
		shards := (n + MaxWorkersPerPartition - 1) / MaxWorkersPerPartition
		l.Domains = append(l.Domains, Domain{ID: id, Shards: shards})
	}
	slices.SortFunc(l.Domains, func(a, b Domain) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return len(workers) > 0
}
