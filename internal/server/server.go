package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"filbertcross/internal/backend"
	"filbertcross/internal/config"
	"filbertcross/internal/event"
	"filbertcross/internal/front"
	"filbertcross/internal/ledger"
	"filbertcross/internal/membership"
	"filbertcross/internal/peer"
	"filbertcross/internal/rollout"
	"filbertcross/internal/telemetry"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	// closeTimeout bounds each short step of a graceful shutdown.
	closeTimeout = 5 * time.Second
)

// Server is one entry VM.
type Server struct {
	settings         config.Settings
	log              *event.Log
	metrics          *telemetry.Metrics
	peerServer       *peer.Server
	peerClient       *peer.Client
	membership       *membership.Membership
	digestCollector  *digestCollector
	rollout          *rollout.Rollout
	hostedPartitions *hostedPartitions
	ledger           *ledger.Host
	backends         *backend.Manager
	front            *front.Handler
	loop             *loop
	assigner         *assigner
	vmListPoller     *vmListPoller
	readiness        *readinessStatus
	handler          http.Handler
}

// Run serves until ctx is done or a component fails, then returns. Canceling ctx
// shuts down gracefully. It must be called once.
func (s *Server) Run(ctx context.Context) error {
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	httpServer := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	for _, run := range []func(context.Context) error{
		s.loop.Run, s.digestCollector.Run, s.assigner.Run, s.vmListPoller.Run, s.membership.Run, s.backends.Run, s.rollout.Run, s.hostedPartitions.Run, s.forwardConfigurations,
		func(ctx context.Context) error { return s.peerServer.Serve(ctx, listeners.peer) },
		func(context.Context) error { return ignoreServerClosed(httpServer.Serve(listeners.http)) },
	} {
		group.Go(func() error { return run(running) })
	}
	stopEventLog, eventsFlushed := s.startEventLog()
	s.log.Record(event.ServerStarted, s.settings.HTTPAddress, s.settings.PeerAddress, s.settings.Name)
	select {
	case <-ctx.Done():
		s.drain(httpServer)
	case <-running.Done():
	}
	stop()
	err = group.Wait()
	stopEventLog()
	<-eventsFlushed
	return errors.CombineErrors(err, s.metrics.Closer.Close())
}

// startEventLog writes recorded events to the logger until the returned function is
// called; the channel is closed once all events are written.
func (s *Server) startEventLog() (context.CancelFunc, <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	eventsFlushed := make(chan struct{})
	go func() {
		defer close(eventsFlushed)
		_ = s.log.Run(ctx)
	}()
	return cancel, eventsFlushed
}

type listeners struct {
	http, peer net.Listener
}

func (s *Server) listen() (l listeners, err error) {
	if l.http, err = net.Listen("tcp", s.settings.HTTPAddress); err != nil {
		return l, errors.Wrap(err, "--http-address")
	}
	if l.peer, err = net.Listen("tcp", s.settings.PeerAddress); err != nil {
		return l, errors.CombineErrors(errors.Wrap(err, "--peer-address"), l.http.Close())
	}
	return l, nil
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// forwardConfigurations sends each newly active configuration to the control loop.
func (s *Server) forwardConfigurations(ctx context.Context) error {
	for {
		if configuration := s.rollout.Source().Active(); configuration != nil {
			s.loop.Post(configurationChanged{branches: configuration.Branches})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.rollout.Source().Changed():
		}
	}
}

// drain shuts down gracefully: readiness fails first so that the load balancer stops
// sending requests, requests in flight finish, partitions are released, and only then
// the peer connections close.
func (s *Server) drain(httpServer *http.Server) {
	s.readiness.stopping.Store(true)
	s.drainStep("announce leaving to other VMs", closeTimeout, func(ctx context.Context) error {
		s.membership.Leave(ctx)
		return nil
	})
	s.backends.HandOverSlots()
	s.drainStep("wait for the load balancer", s.settings.DrainDelay, func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	s.drainStep("finish requests in flight", s.settings.DrainTimeout, s.front.Drain)
	s.drainStep("return permits", closeTimeout, s.backends.Drain)
	s.drainStep("close the HTTP server", closeTimeout, httpServer.Shutdown)
	s.drainStep("flush the ledger", closeTimeout, func(context.Context) error {
		s.ledger.Flush()
		return nil
	})
	s.drainStep("release partitions", s.settings.DrainTimeout, func(ctx context.Context) error {
		s.assigner.ReleaseAll(ctx)
		return nil
	})
	s.drainStep("close the peer server", closeTimeout, s.peerServer.Shutdown)
	s.peerClient.Close()
}

func (s *Server) drainStep(name string, timeout time.Duration, do func(context.Context) error) {
	started := time.Now()
	s.log.Record(event.ServerStopping, name)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := do(ctx)
	s.log.Record(event.ServerStopped, name, time.Since(started).Round(time.Millisecond), err)
}
