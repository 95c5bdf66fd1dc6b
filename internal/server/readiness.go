package server

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
	"filbertcross/internal/partition"
)

// readinessStatus tracks whether the load balancer may send requests to this VM. Safe for
// concurrent use.
type readinessStatus struct {
	source    model.ConfigurationSource
	layout    func() (partition.Layout, bool)
	directory directory
	allOwned  atomic.Bool // every partition has had an owner
	listRead  atomic.Bool // the VM list was read at least once
	stopping  atomic.Bool
}

// Ready returns why the VM is not ready for requests, or nil if it is.
func (s *readinessStatus) Ready() error {
	switch {
	case s.stopping.Load():
		return errors.New("stopping")
	case !s.listRead.Load():
		return errors.New("the platform's list was not read yet")
	case s.source.Active() == nil:
		return errors.New("no configuration is in force yet")
	case !s.partitionsOwned():
		return errors.New("some partition has had no owner yet")
	default:
		return nil
	}
}

// partitionsOwned reports whether all partitions had an owner at one time since this VM
// started. A partition that loses its owner later does not make the VM unready: requests
// that need the partition are rejected with a retry delay, all others are served.
func (s *readinessStatus) partitionsOwned() bool {
	if s.allOwned.Load() {
		return true
	}
	layout, known := s.layout()
	if !known {
		return false
	}
	for _, p := range layout.Partitions() {
		if _, _, owned := s.directory.Owner(p.ID); !owned {
			return false
		}
	}
	s.allOwned.Store(true)
	return true
}
