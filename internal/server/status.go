package server

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
)

// status says whether the balancer shall send work here. Safe for concurrent use.
type status struct {
	source   model.ConfigurationSource
	listed   atomic.Bool // the platform's list was read once
	stopping atomic.Bool
}

// Ready returns nil or why the VM takes no work.
func (s *status) Ready() error {
	switch {
	case s.stopping.Load():
		return errors.New("stopping")
	case !s.listed.Load():
		return errors.New("the platform's list was not read yet")
	case s.source.InForce() == nil:
		return errors.New("no configuration is in force yet")
	default:
		return nil
	}
}
