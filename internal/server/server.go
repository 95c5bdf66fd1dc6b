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
	// closeTimeout bounds each step of a stop after the callers' requests are done.
	closeTimeout = 5 * time.Second
)

// Server is one entry VM.
type Server struct {
	settings   config.Settings
	log        *event.Log
	metrics    *telemetry.Metrics
	peers      *peer.Server
	calls      *peer.Client
	membership *membership.Membership
	digester   *digester
	rollout    *rollout.Rollout
	hosting    *hosting
	ledger     *ledger.Host
	backends   *backend.Manager
	front      *front.Handler
	loop       *loop
	assigner   *assigner
	poller     *poller
	status     *status
	handler    http.Handler
}

// Run serves until the context ends, then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	web := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	for _, run := range []func(context.Context) error{
		s.loop.Run, s.digester.Run, s.assigner.Run, s.poller.Run, s.membership.Run, s.backends.Run, s.rollout.Run, s.hosting.Run, s.followConfiguration,
		func(ctx context.Context) error { return s.peers.Serve(ctx, listeners.peer) },
		func(context.Context) error { return ignoreClosed(web.Serve(listeners.http)) },
	} {
		group.Go(func() error { return run(running) })
	}
	logged, flushed := s.runLog()
	s.log.Record(event.ServerStarted, s.settings.HTTPAddress, s.settings.PeerAddress, s.settings.Name)
	select {
	case <-ctx.Done():
		s.drain(web)
	case <-running.Done():
	}
	stop()
	err = group.Wait()
	logged()
	<-flushed
	return errors.CombineErrors(err, s.metrics.Closer.Close())
}

// runLog writes events to the logger until the returned function is called; the
// channel closes once all are written.
func (s *Server) runLog() (context.CancelFunc, <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		_ = s.log.Run(ctx)
	}()
	return cancel, flushed
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

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// followConfiguration passes each configuration that comes in force to the control loop.
func (s *Server) followConfiguration(ctx context.Context) error {
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

// drain stops gracefully: the balancer is told first, callers' requests finish,
// partitions are handed over, and only then the links close.
func (s *Server) drain(web *http.Server) {
	s.status.stopping.Store(true)
	s.step("tell the others", closeTimeout, func(ctx context.Context) error {
		s.membership.Leave(ctx)
		return nil
	})
	s.backends.HandOverSlots()
	s.step("wait for the balancer", s.settings.DrainDelay, func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	s.step("finish requests", s.settings.DrainTimeout, s.front.Drain)
	s.step("return permits", closeTimeout, s.backends.Drain)
	s.step("close the HTTP interface", closeTimeout, web.Shutdown)
	s.step("write the last keys", closeTimeout, func(context.Context) error {
		s.ledger.Flush()
		return nil
	})
	s.step("hand partitions over", s.settings.DrainTimeout, func(ctx context.Context) error {
		s.assigner.ReleaseAll(ctx)
		return nil
	})
	s.step("close the peer link", closeTimeout, s.peers.Shutdown)
	s.calls.Close()
}

func (s *Server) step(name string, timeout time.Duration, do func(context.Context) error) {
	begun := time.Now()
	s.log.Record(event.ServerStopping, name)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := do(ctx)
	s.log.Record(event.ServerStopped, name, time.Since(begun).Round(time.Millisecond), err)
}
