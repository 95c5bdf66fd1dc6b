package server

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/ledger"
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/sheet"
	"filbertcross/internal/verdict"
)

// storedConfiguration keeps the configuration as one record of the store.
type storedConfiguration struct {
	store   platform.Store
	inForce atomic.Pointer[model.Configuration]
	changed chan struct{}
}

const (
	configurationKey  = "configuration"
	configurationWait = 10 * time.Second
)

func newStoredConfiguration(store platform.Store) *storedConfiguration {
	return &storedConfiguration{store: store, changed: make(chan struct{}, 1)}
}

func (s *storedConfiguration) InForce() *model.Configuration { return s.inForce.Load() }

func (s *storedConfiguration) Changed() <-chan struct{} { return s.changed }

func (s *storedConfiguration) Run(ctx context.Context) error {
	after := platform.Revision(0)
	for ctx.Err() == nil {
		entries, revision, err := s.store.Watch(ctx, configurationKey, after, configurationWait)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		after = revision
		for _, e := range entries {
			s.take(e)
		}
	}
	return nil
}

func (s *storedConfiguration) take(e platform.Entry) {
	var c model.Configuration
	if json.Unmarshal(e.Value, &c) != nil {
		return
	}
	if old := s.inForce.Load(); old != nil && old.Revision >= c.Revision {
		return
	}
	s.inForce.Store(&c)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *storedConfiguration) Apply(ctx context.Context, base int64, parsed sheet.Sheet) (int64, error) {
	var current model.Configuration
	entry, err := s.store.Get(ctx, configurationKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	_ = json.Unmarshal(entry.Value, &current)
	if current.Revision != base {
		return 0, errors.Newf("revision %d is in force", current.Revision)
	}
	next := model.Configuration{Revision: base + 1, Branches: parsed.Branches, Workloads: parsed.Workloads}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	_, err = s.store.CompareAndSwap(ctx, configurationKey, value, entry.Revision)
	return next.Revision, err
}

// storedLedger keeps every idempotency key as a record of the store.
type storedLedger struct {
	store platform.Store
}

type storedKey struct {
	Fingerprint ledger.Fingerprint
	Answer      *ledger.Answer
}

func ledgerKey(branch model.BranchID, key string) string { return "keys/" + string(branch) + "/" + key }

func (l storedLedger) Begin(ctx context.Context, r ledger.BeginRequest) (ledger.BeginResult, error) {
	value, err := json.Marshal(storedKey{Fingerprint: r.Fingerprint})
	if err != nil {
		return ledger.BeginResult{}, err
	}
	revision, err := l.store.CompareAndSwap(ctx, ledgerKey(r.Branch, r.Key), value, 0)
	if err == nil {
		return ledger.BeginResult{State: ledger.Run, Token: int64(revision)}, nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return ledger.BeginResult{}, err
	}
	entry, err := l.store.Get(ctx, ledgerKey(r.Branch, r.Key))
	if err != nil {
		return ledger.BeginResult{}, err
	}
	var found storedKey
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return ledger.BeginResult{}, err
	}
	switch {
	case found.Fingerprint != r.Fingerprint:
		return ledger.BeginResult{State: ledger.Mismatch}, nil
	case found.Answer == nil:
		return ledger.BeginResult{State: ledger.MayHaveRun}, nil
	default:
		return ledger.BeginResult{State: ledger.Recorded, Answer: found.Answer}, nil
	}
}

func (l storedLedger) Finish(ctx context.Context, r ledger.FinishRequest) error {
	key, revision := ledgerKey(r.Branch, r.Key), platform.Revision(r.Token)
	if r.Verdict == verdict.NotRun {
		return l.store.Delete(ctx, key, revision)
	}
	entry, err := l.store.Get(ctx, key)
	if err != nil {
		return err
	}
	var found storedKey
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return err
	}
	found.Answer = r.Answer
	value, err := json.Marshal(found)
	if err != nil {
		return err
	}
	_, err = l.store.CompareAndSwap(ctx, key, value, revision)
	return err
}
