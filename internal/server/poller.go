package server

import (
	"context"
	"time"

	"filbertcross/internal/config"
	"filbertcross/internal/event"
	"filbertcross/internal/platform"
)

// listener takes each reading of the platform's list, in order.
type listener func(vms []platform.VM)

// poller reads the platform's list at intervals. One goroutine runs it, so that
// listeners see the readings in the order in which they were asked for.
type poller struct {
	settings  config.Settings
	list      platform.VMList
	recorder  event.Recorder
	listeners []listener
}

// Run polls until the context ends.
func (p *poller) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.settings.ListInterval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *poller) poll(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, p.settings.StoreTimeout)
	defer cancel()
	vms, err := p.list.List(bounded)
	if err != nil {
		p.recorder.Record(event.VMListFailed, err)
		return
	}
	for _, take := range p.listeners {
		take(vms)
	}
}
