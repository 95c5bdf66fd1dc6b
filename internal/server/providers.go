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

// idSuffixLength is the number of characters of a random UUID appended to a VM's name,
// so that each start of the VM has its own id.
const idSuffixLength = 8

func provideSelf(s config.Settings) membership.Member {
	return membership.Member{
		ID:            model.VMID(s.Name + "-" + uuid.NewString()[:idSuffixLength]),
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

func provideMembership(s config.Settings, self membership.Member, clock *event.Clock, caller peer.Caller, server *peer.Server, d *digestCollector, recorder event.Recorder) *membership.Membership {
	incarnation := clock.Now()
	m := membership.New(membership.Options{Interval: s.Heartbeat, Seed: uint64(incarnation), Incarnation: incarnation}, self, caller, d.Digest, recorder)
	m.Register(server)
	return m
}

func provideControlState(s config.Settings, recorder event.Recorder, e *executor, d *digestCollector, scope tally.Scope) *controlState {
	c := newControlState(s, recorder)
	c.startCommand = e.Execute
	c.publishSummaries = func(summaries map[model.PartitionID]membership.PartitionSummary) {
		d.workerPartitions.Store(&summaries)
		updatePartitionGauges(scope, summaries)
	}
	return c
}

func provideLoop(c *controlState, e *executor) *loop {
	l := newLoop(c)
	e.post = l.Post
	return l
}

func provideVMListPoller(s config.Settings, list platform.VMList, recorder event.Recorder, m *membership.Membership, b *backend.Manager, e *executor, a *assigner, l *loop, st *readinessStatus) *vmListPoller {
	debouncer := newWorkerDebouncer()
	return &vmListPoller{settings: s, list: list, recorder: recorder, handlers: []vmListHandler{
		m.UpdateVMList,
		func(vms []platform.VM) { b.UpdateServerList(time.Now(), vms) },
		e.UpdateVMList,
		a.UpdateVMList,
		func(vms []platform.VM) {
			debounced := debouncer.Update(vms)
			if layout, known := a.Layout(); known {
				l.Post(listChanged{vms: debounced, layout: layout})
			}
			st.listRead.Store(true)
		},
	}}
}

func provideRollout(store platform.Store, view membership.View, caller peer.Caller, server *peer.Server, recorder event.Recorder, d *digestCollector) *rollout.Rollout {
	r := rollout.New(store, view, caller, recorder)
	r.Register(server)
	var source model.ConfigurationSource = r.Source()
	d.source.Store(&source)
	return r
}

func provideSource(r *rollout.Rollout) *rollout.Source { return r.Source() }

func provideBackends(s config.Settings, view membership.View, caller peer.Caller, server *peer.Server, recorder event.Recorder, scope tally.Scope, d *digestCollector) *backend.Manager {
	m := backend.NewManager(backend.Options{
		Queue: backend.QueueLimits{Requests: s.MaxQueueRequests, Bytes: s.MaxQueueBytes},
	}, view, caller, recorder, scope)
	m.Register(server)
	d.backends.Store(m)
	return m
}

// provideLedgerHost serves idempotency keys. A VM that the view lists as dead sends no
// requests any more, so that its runs are no longer in progress; a VM that the view does
// not list is not assumed to be dead.
func provideLedgerHost(view membership.View, server *peer.Server, recorder event.Recorder) *ledger.Host {
	isDead := func(id model.VMID) bool {
		for _, m := range view.Members() {
			if m.ID == id {
				return m.State == membership.Dead
			}
		}
		return false
	}
	h := ledger.NewHost(ledger.DefaultLimits(), isDead, time.Now, recorder)
	h.Register(server)
	return h
}

// maxBackgroundLedgerCalls bounds the run results that are retried in the background,
// and so the goroutines that accumulate during a store outage.
const maxBackgroundLedgerCalls = 256

func provideLedger(h *ledger.Host, view membership.View, caller peer.Caller, a *assigner) ledger.Client {
	background := semaphore.NewWeighted(maxBackgroundLedgerCalls)
	return &ledger.Router{Layout: a.Layout, Directory: directory{view}, Host: h, Caller: caller, Background: func(f func()) {
		if !background.TryAcquire(1) {
			return // the key keeps the verdict "may have run"
		}
		go func() {
			defer background.Release(1)
			f()
		}()
	}}
}

// provideAssigner returns the assigner and registers the method by which other VMs read
// this VM's layout.
func provideAssigner(s config.Settings, store platform.Store, view membership.View, caller peer.Caller, server *peer.Server, host partitionHost, recorder event.Recorder) *assigner {
	a := newAssigner(s, store, view, caller, host, recorder)
	handle(server, methodLayout, func(context.Context, struct{}) (layoutResponse, error) {
		layout, known := a.Layout()
		return layoutResponse{Layout: layout, Known: known}, nil
	})
	return a
}

func provideHostedPartitions(l *loop, keys *ledger.Host, recorder event.Recorder, d *digestCollector) *hostedPartitions {
	h := newHostedPartitions(l, keys, recorder)
	summaries := h.KeyPartitionSummaries
	d.keyPartitions.Store(&summaries)
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

func provideJobs(l *loop, caller peer.Caller, server *peer.Server, view membership.View, source model.ConfigurationSource, a *assigner, e *executor) *jobService {
	j := &jobService{loop: l, caller: caller, directory: directory{view}, source: source, layout: a.Layout}
	j.register(server)
	e.jobs = j
	return j
}

func provideReadinessStatus(source model.ConfigurationSource, a *assigner, view membership.View) *readinessStatus {
	return &readinessStatus{source: source, layout: a.Layout, directory: directory{view}}
}

func provideOperatorAPI(j *jobService, s *sheetService, source model.ConfigurationSource, log *event.Log, caller peer.Caller, server *peer.Server, view membership.View, m *telemetry.Metrics, st *readinessStatus) *operatorAPI {
	timeline.Register(server, log)
	return &operatorAPI{
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

func provideHandler(o *operatorAPI, f *front.Handler, recorder event.Recorder) http.Handler {
	return newHandler(o, f, recorder)
}
