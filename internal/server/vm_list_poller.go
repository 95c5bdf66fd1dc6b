package server

import (
	"context"
	"time"

	"filbertcross/internal/config"
	"filbertcross/internal/event"
	"filbertcross/internal/platform"
)

// listener takes each reading of the platform's list, in order.
type vmListHandler func(vms []platform.VM)

// poller reads the platform's list at intervals. One goroutine runs it, so that
// listeners see the readings in the order in which they were asked for.
type vmListPoller struct {
	settings config.Settings
	list     platform.VMList
	recorder event.Recorder
	handlers []vmListHandler
}

// Run polls until the context ends.
func (p *vmListPoller) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.settings.ListInterval)
	defer ticker.Stop()
	for {
		p.pollOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *vmListPoller) pollOnce(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, p.settings.StoreTimeout)
	defer cancel()
	vms, err := p.list.List(bounded)
	if err != nil {
		p.recorder.Record(event.VMListFailed, err)
		return
	}
	for _, handle := range p.handlers {
		handle(vms)
	}
}
