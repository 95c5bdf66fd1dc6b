package standin

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"filbertcross/internal/platform"
)

// Store simulates the platform's key-value service over HTTP, with compare-and-swap,
// leases, watches, call counts, rate limits and fault injection. Safe for concurrent use.
type Store struct {
	Faults *Faults
	limits struct{ reads, writes *rate.Limiter }

	mu         sync.Mutex
	revision   platform.Revision
	keys       map[string]storedKey
	tombstones []storedKey // deletions reported by watches, oldest first
	leases     map[string]time.Time
	changed    chan struct{} // closed and replaced on every change
	counts     StoreCounts
}

// StoreCounts holds the number of calls to a store since its start.
type StoreCounts struct {
	Reads         int64 `json:"reads"`
	Writes        int64 `json:"writes"`
	Watches       int64 `json:"watches"`
	ActiveWatches int64 `json:"waiting"` // watches in flight
	Refused       int64 `json:"refused"` // rejected by a rate limit or while down
	LostResponses int64 `json:"lost_answers"`
	WriteBytes    int64 `json:"write_bytes"`
}

// storedKey is a key's entry and the ID of the lease that it is bound to, if any.
type storedKey struct {
	entry   platform.StoreEntry
	lease   string
	deleted bool
}

// maxTombstones bounds the memory for deletions; a watch does not see older ones.
const maxTombstones = 10_000

// NewStore returns an empty store with the given rate limits; zero means no limit. A
// limit's burst is one second's worth of calls.
func NewStore(readsPerSecond, writesPerSecond float64) *Store {
	s := &Store{
		Faults:  &Faults{},
		keys:    map[string]storedKey{},
		leases:  map[string]time.Time{},
		changed: make(chan struct{}),
	}
	s.limits.reads = newLimiter(readsPerSecond)
	s.limits.writes = newLimiter(writesPerSecond)
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// Handler returns the store's HTTP interface, including GET /counts and PUT /faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/keys", s.withLimitAndFaults(s.limits.reads, s.handleList))
	mux.Handle("GET /v1/keys/{key...}", s.withLimitAndFaults(s.limits.reads, s.handleGet))
	mux.Handle("PUT /v1/keys/{key...}", s.withLimitAndFaults(s.limits.writes, s.handlePut))
	mux.Handle("DELETE /v1/keys/{key...}", s.withLimitAndFaults(s.limits.writes, s.handleDelete))
	mux.Handle("GET /v1/watch", s.withLimitAndFaults(s.limits.reads, s.handleWatch))
	mux.Handle("POST /v1/leases", s.withLimitAndFaults(s.limits.writes, s.handleGrantLease))
	mux.Handle("PUT /v1/leases/{lease}", s.withLimitAndFaults(s.limits.writes, s.handleRenewLease))
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	mux.Handle("PUT /faults", s.Faults)
	return mux
}

// Counts returns a copy of the current counts.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// withLimitAndFaults applies the rate limit and the active faults before next. A lost
// response closes the connection after the call has taken effect.
func (s *Store) withLimitAndFaults(limit *rate.Limiter, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := s.Faults.sample()
		time.Sleep(fault.delay)
		if fault.down || !limit.Allow() {
			s.updateCounts(func(c *StoreCounts) { c.Refused++ })
			writeJSON(w, http.StatusServiceUnavailable, platform.StoreErrorResponse{Error: "unavailable"})
			return
		}
		if fault.loseResponse {
			s.updateCounts(func(c *StoreCounts) { c.LostResponses++ })
			next(discardResponseWriter{}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	})
}

func (s *Store) updateCounts(change func(*StoreCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counts.Reads++
	s.expireLeases()
	found, ok := s.keys[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, platform.StoreErrorResponse{Error: "not found"})
		return
	}
	writeJSON(w, http.StatusOK, found.entry)
}

func (s *Store) handleList(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	s.counts.Reads++
	s.expireLeases()
	page := platform.StorePage{Revision: s.revision}
	for key, stored := range s.keys {
		if strings.HasPrefix(key, prefix) {
			page.Entries = append(page.Entries, stored.entry)
		}
	}
	s.mu.Unlock()
	sort.Slice(page.Entries, func(i, j int) bool { return page.Entries[i].Key < page.Entries[j].Key })
	writeJSON(w, http.StatusOK, page)
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := readBody(w, r, platform.MaxValueBytes)
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, platform.StoreErrorResponse{Error: "value too large"})
		return
	}
	key := r.PathValue("key")
	expected, ok := parseExpectedRevision(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.counts.WriteBytes += int64(len(value))
	s.expireLeases()
	if s.keys[key].entry.Revision != expected {
		writeJSON(w, http.StatusConflict, platform.StoreErrorResponse{Error: "conflict"})
		return
	}
	s.revision++
	entry := platform.StoreEntry{Key: key, Value: value, Revision: s.revision}
	s.keys[key] = storedKey{entry: entry, lease: r.URL.Query().Get("lease")}
	s.notifyWatches()
	writeJSON(w, http.StatusOK, platform.StoreEntry{Key: key, Revision: s.revision})
}

func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	expected, ok := parseExpectedRevision(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	found, exists := s.keys[key]
	if !exists {
		writeJSON(w, http.StatusNotFound, platform.StoreErrorResponse{Error: "not found"})
		return
	}
	if found.entry.Revision != expected {
		writeJSON(w, http.StatusConflict, platform.StoreErrorResponse{Error: "conflict"})
		return
	}
	s.deleteKey(key)
	writeJSON(w, http.StatusOK, platform.StoreEntry{Key: key, Revision: s.revision})
}

// deleteKey removes a key and records a tombstone; the caller holds mu.
func (s *Store) deleteKey(key string) {
	delete(s.keys, key)
	s.revision++
	tombstone := platform.StoreEntry{Key: key, Revision: s.revision, Deleted: true}
	s.tombstones = append(s.tombstones, storedKey{entry: tombstone, deleted: true})
	if len(s.tombstones) > maxTombstones {
		s.tombstones = s.tombstones[1:]
	}
	s.notifyWatches()
}

// notifyWatches wakes the waiting watches; the caller holds mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	s.updateCounts(func(c *StoreCounts) { c.Watches++; c.ActiveWatches++ })
	defer s.updateCounts(func(c *StoreCounts) { c.ActiveWatches-- })
	timeout := time.After(wait)
	for {
		page, changed := s.changesAfter(query.Get("prefix"), platform.Revision(after))
		if len(page.Entries) > 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes with the prefix after a revision, ordered by revision,
// and a channel that is closed on the next change.
func (s *Store) changesAfter(prefix string, after platform.Revision) (platform.StorePage, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	page := platform.StorePage{Revision: s.revision}
	add := func(k storedKey) {
		if strings.HasPrefix(k.entry.Key, prefix) && k.entry.Revision > after {
			page.Entries = append(page.Entries, k.entry)
		}
	}
	for _, k := range s.keys {
		add(k)
	}
	for _, k := range s.tombstones {
		add(k)
	}
	sort.Slice(page.Entries, func(i, j int) bool { return page.Entries[i].Revision < page.Entries[j].Revision })
	return page, s.changed
}

func (s *Store) handleGrantLease(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		writeJSON(w, http.StatusBadRequest, platform.StoreErrorResponse{Error: "ttl"})
		return
	}
	id := uuid.NewString()
	s.mu.Lock()
	s.counts.Writes++
	s.leases[id] = time.Now().Add(ttl)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]string{"lease": id})
}

func (s *Store) handleRenewLease(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		writeJSON(w, http.StatusBadRequest, platform.StoreErrorResponse{Error: "ttl"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expireLeases()
	id := r.PathValue("lease")
	if _, ok := s.leases[id]; !ok {
		writeJSON(w, http.StatusNotFound, platform.StoreErrorResponse{Error: "not found"})
		return
	}
	s.leases[id] = time.Now().Add(ttl)
	writeJSON(w, http.StatusOK, map[string]string{"lease": id})
}

// expireLeases removes expired leases and their keys; the caller holds mu.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, expiresAt := range s.leases {
		if expiresAt.After(now) {
			continue
		}
		delete(s.leases, id)
		for key, stored := range s.keys {
			if stored.lease == id {
				s.deleteKey(key)
			}
		}
	}
}

func parseExpectedRevision(w http.ResponseWriter, r *http.Request) (platform.Revision, bool) {
	expected, err := strconv.ParseInt(r.URL.Query().Get("expected"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, platform.StoreErrorResponse{Error: "expected: not a revision"})
		return 0, false
	}
	return platform.Revision(expected), true
}
