package server

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
	"filbertcross/internal/partition"
)

// status says whether the balancer shall send work here. Safe for concurrent use.
type readinessStatus struct {
	source    model.ConfigurationSource
	layout    func() (partition.Layout, bool)
	directory directory
	allOwned  atomic.Bool // every partition had an owner once
	listRead  atomic.Bool // the platform's list was read once
	stopping  atomic.Bool
}

// Ready returns nil or why the VM takes no work.
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

// partitionsOwned reports whether every partition has had an owner since this VM
// started. A partition that loses its owner later makes no VM unready: requests
// that need it are refused with when to come back, the others are served.
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
