package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"filbertcross/internal/platform"
)

// VMList simulates the platform's list of VMs. A change becomes visible after Lag.
// Safe for concurrent use.
type VMList struct {
	Faults *Faults
	Lag    time.Duration

	mu      sync.Mutex
	pending []vmChange // changes that are not visible yet, oldest first
	visible map[string]platform.VM
}

type vmChange struct {
	queuedAt time.Time
	vm       platform.VM
	removed  bool
}

// NewVMList returns an empty list whose changes become visible after lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{Faults: &Faults{}, Lag: lag, visible: map[string]platform.VM{}}
}

// Handler returns the list's HTTP interface: GET lists the VMs, PUT and DELETE change
// one of them, PUT /faults sets the injected faults.
func (l *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", l.handleList)
	mux.HandleFunc("PUT /v1/vms/{id}", l.handlePut)
	mux.HandleFunc("DELETE /v1/vms/{id}", func(w http.ResponseWriter, r *http.Request) {
		l.queueChange(vmChange{vm: platform.VM{ID: r.PathValue("id")}, removed: true})
	})
	mux.Handle("PUT /faults", l.Faults)
	return mux
}

// Put adds or replaces a VM after Lag.
func (l *VMList) Put(vm platform.VM) { l.queueChange(vmChange{vm: vm}) }

// Remove removes a VM after Lag.
func (l *VMList) Remove(id string) {
	l.queueChange(vmChange{vm: platform.VM{ID: id}, removed: true})
}

func (l *VMList) handlePut(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.ID = r.PathValue("id")
	l.Put(vm)
}

func (l *VMList) queueChange(c vmChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.queuedAt = time.Now()
	l.pending = append(l.pending, c)
}

func (l *VMList) handleList(w http.ResponseWriter, _ *http.Request) {
	fault := l.Faults.sample()
	time.Sleep(fault.delay)
	if fault.down {
		writeJSON(w, http.StatusServiceUnavailable, platform.StoreErrorResponse{Error: "unavailable"})
		return
	}
	writeJSON(w, http.StatusOK, l.visibleVMs())
}

// visibleVMs applies the changes that are older than Lag and returns the VMs by ID.
func (l *VMList) visibleVMs() []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	cutoff := time.Now().Add(-l.Lag)
	for len(l.pending) > 0 && !l.pending[0].queuedAt.After(cutoff) {
		l.applyChange(l.pending[0])
		l.pending = l.pending[1:]
	}
	vms := make([]platform.VM, 0, len(l.visible))
	for _, vm := range l.visible {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}

func (l *VMList) applyChange(c vmChange) {
	if c.removed {
		delete(l.visible, c.vm.ID)
		return
	}
	l.visible[c.vm.ID] = c.vm
}
