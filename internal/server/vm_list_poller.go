package server

import (
	"context"
	"time"

	"filbertcross/internal/config"
	"filbertcross/internal/event"
	"filbertcross/internal/platform"
)

// vmListHandler receives each VM list that was read, in the order of the requests.
type vmListHandler func(vms []platform.VM)

// vmListPoller reads the platform's VM list periodically. A single goroutine requests the
// list and calls the handlers, so that handlers receive lists in request order.
type vmListPoller struct {
	settings config.Settings
	list     platform.VMList
	recorder event.Recorder
	handlers []vmListHandler
}

// Run polls every ListInterval until ctx is done.
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
	for _, handler := range p.handlers {
		handler(vms)
	}
}
