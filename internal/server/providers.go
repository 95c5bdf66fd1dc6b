package server

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"filbertcross/internal/backend"
	"filbertcross/internal/config"
	"filbertcross/internal/event"
	"filbertcross/internal/event/timeline"
	"filbertcross/internal/front"
	"filbertcross/internal/ledger"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
	"filbertcross/internal/rollout"
	"filbertcross/internal/telemetry"
)

func provideStore(s config.Settings) platform.Store {
	return platform.NewHTTPStore(s.StoreURL, s.StoreTimeout)
}

func provideVMList(s config.Settings) platform.VMList {
	return platform.NewHTTPVMList(s.VMListURL, s.StoreTimeout)
}

func provideWorkers(s config.Settings) *platform.HTTPWorkerResolver {
	return platform.NewHTTPWorkerResolver(s.WorkerTimeout)
}

// idSuffix is how much of a random id tells two starts of one VM apart.
const idSuffix = 8

func provideSelf(s config.Settings) membership.Member {
	return membership.Member{
		ID:            model.VMID(s.Name + "-" + uuid.NewString()[:idSuffix]),
		Address:       cmp.Or(s.PeerAdvertise, s.PeerAddress),
		HTTPAddress:   s.HTTPAddress,
		FailureDomain: s.FailureDomain,
	}
}

func provideClock() *event.Clock { return event.NewClock(time.Now) }

func provideLog(s config.Settings, self membership.Member, clock *event.Clock, logger logr.Logger) *event.Log {
	return event.NewLog(event.LogOptions{
		VM:            self.ID,
		FailureDomain: self.FailureDomain,
		Clock:         clock,
		Logger:        logger,
		RingEntries:   s.EventRing,
	})
}

func provideScope(m *telemetry.Metrics) tally.Scope { return m.Scope }

func providePeerServer(clock *event.Clock, recorder event.Recorder) *peer.Server {
	return peer.NewServer(peer.Options{Clock: clock}, recorder)
}

func providePeerClient(clock *event.Clock, recorder event.Recorder) *peer.Client {
	return peer.NewClient(peer.Options{Clock: clock}, recorder)
}

func provideMembership(s config.Settings, self membership.Member, clock *event.Clock, caller peer.Caller, server *peer.Server, d *digester, recorder event.Recorder) *membership.Membership {
	born := clock.Now()
	m := membership.New(membership.Options{Interval: s.Heartbeat, Seed: uint64(born), Born: born}, self, caller, d.Digest, recorder)
	m.Register(server)
	return m
}

func provideControl(s config.Settings, recorder event.Recorder, e *executor, d *digester, scope tally.Scope) *control {
	c := newControl(s, recorder)
	c.execute = e.Execute
	c.publish = func(digests map[model.PartitionID]membership.Tenancy) {
		d.workers.Store(&digests)
		reportTenancies(scope, digests)
	}
	return c
}

func provideLoop(c *control, e *executor) *loop {
	l := newLoop(c)
	e.post = l.Post
	return l
}

func providePoller(s config.Settings, list platform.VMList, recorder event.Recorder, m *membership.Membership, b *backend.Manager, e *executor, a *assigner, l *loop, st *status) *poller {
	steady := newSteadyList()
	return &poller{settings: s, list: list, recorder: recorder, listeners: []listener{
		m.Update,
		func(vms []platform.VM) { b.UpdateServerList(time.Now(), vms) },
		e.SetList,
		a.SetList,
		func(vms []platform.VM) {
			kept := steady.Take(vms)
			if layout, known := a.Layout(); known {
				l.Post(listChanged{vms: kept, layout: layout})
			}
			st.listed.Store(true)
		},
	}}
}

func provideRollout(store platform.Store, view membership.View, caller peer.Caller, server *peer.Server, recorder event.Recorder, d *digester) *rollout.Rollout {
	r := rollout.New(store, view, caller, recorder)
	r.Register(server)
	var source model.ConfigurationSource = r.Source()
	d.source.Store(&source)
	return r
}

func provideSource(r *rollout.Rollout) *rollout.Source { return r.Source() }

func provideBackends(s config.Settings, view membership.View, caller peer.Caller, server *peer.Server, recorder event.Recorder, scope tally.Scope, d *digester) *backend.Manager {
	m := backend.NewManager(backend.Options{
		Queue: backend.QueueLimits{Requests: s.MaxQueueRequests, Bytes: s.MaxQueueBytes},
	}, view, caller, recorder, scope)
	m.Register(server)
	d.backends.Store(m)
	return m
}

// provideLedgerHost serves keys; a VM that the view shows as dead, or does not
// know, sends nothing any more.
func provideLedgerHost(view membership.View, server *peer.Server, recorder event.Recorder) *ledger.Host {
	gone := func(id model.VMID) bool {
		for _, m := range view.Members() {
			if m.ID == id {
				return m.State == membership.Dead
			}
		}
		return false
	}
	h := ledger.NewHost(ledger.DefaultLimits(), gone, time.Now, recorder)
	h.Register(server)
	return h
}

// maxLedgerBackground bounds the ends of runs that are tried again in the background,
// so that an outage of the store leaves no more goroutines than that.
const maxLedgerBackground = 256

func provideLedger(h *ledger.Host, view membership.View, caller peer.Caller, a *assigner) ledger.Client {
	background := semaphore.NewWeighted(maxLedgerBackground)
	return &ledger.Router{Layout: a.Layout, Directory: directory{view}, Host: h, Caller: caller, Background: func(f func()) {
		if !background.TryAcquire(1) {
			return // the key stays "may have run"
		}
		go func() {
			defer background.Release(1)
			f()
		}()
	}}
}

// provideAssigner lets other VMs read the layout that this one knows.
func provideAssigner(s config.Settings, store platform.Store, view membership.View, caller peer.Caller, server *peer.Server, host tenancies, recorder event.Recorder) *assigner {
	a := newAssigner(s, store, view, caller, host, recorder)
	handle(server, methodLayout, func(context.Context, struct{}) (layoutAnswer, error) {
		layout, known := a.Layout()
		return layoutAnswer{Layout: layout, Known: known}, nil
	})
	return a
}

func provideHosting(l *loop, keys *ledger.Host, recorder event.Recorder, d *digester) *hosting {
	h := newHosting(l, keys, recorder)
	tenancies := h.KeyTenancies
	d.keys.Store(&tenancies)
	return h
}

func provideFront(s config.Settings, router backend.Router, keys ledger.Client, source model.ConfigurationSource, view membership.View, recorder event.Recorder, scope tally.Scope) *front.Handler {
	return front.New(front.Options{
		DefaultDeadline:   s.DefaultDeadline,
		MaxDeadline:       s.MaxDeadline,
		RequestBodyLimit:  s.MaxBody,
		ResponseBodyLimit: s.MaxBody,
	}, router, keys, source, view, recorder, scope)
}

func provideJobs(l *loop, caller peer.Caller, server *peer.Server, view membership.View, source model.ConfigurationSource, a *assigner, e *executor) *jobs {
	j := &jobs{loop: l, caller: caller, directory: directory{view}, source: source, layout: a.Layout}
	j.register(server)
	e.jobs = j
	return j
}

func provideStatus(source model.ConfigurationSource, a *assigner, view membership.View) *status {
	return &status{source: source, layout: a.Layout, directory: directory{view}}
}

func provideOperators(j *jobs, s *sheets, source model.ConfigurationSource, log *event.Log, caller peer.Caller, server *peer.Server, view membership.View, m *telemetry.Metrics, st *status) *operators {
	timeline.Register(server, log)
	return &operators{
		jobs:      j,
		sheets:    s,
		source:    source,
		log:       log,
		collector: timeline.NewCollector(caller, log),
		view:      view,
		metrics:   m.Handler,
		ready:     st.Ready,
	}
}

func provideHandler(o *operators, f *front.Handler, recorder event.Recorder) http.Handler {
	return newHandler(o, f, recorder)
}
