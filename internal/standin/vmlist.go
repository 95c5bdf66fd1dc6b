package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"filbertcross/internal/platform"
)

// VMList is a stand-in for the platform's list of VMs. Changes show after Lag.
type VMList struct {
	Faults *Faults
	Lag    time.Duration

	mu      sync.Mutex
	changes []vmChange // not yet shown, oldest first
	shown   map[string]platform.VM
}

type vmChange struct {
	at      time.Time
	vm      platform.VM
	removed bool
}

// NewVMList returns an empty list whose changes show after lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{Faults: &Faults{}, Lag: lag, shown: map[string]platform.VM{}}
}

// Handler returns the list's HTTP interface: GET reads, PUT and DELETE of one VM change.
func (l *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", l.list)
	mux.HandleFunc("PUT /v1/vms/{id}", l.put)
	mux.HandleFunc("DELETE /v1/vms/{id}", func(w http.ResponseWriter, r *http.Request) {
		l.change(vmChange{vm: platform.VM{ID: r.PathValue("id")}, removed: true})
	})
	mux.Handle("PUT /faults", l.Faults)
	return mux
}

// Put adds or replaces a VM.
func (l *VMList) Put(vm platform.VM) { l.change(vmChange{vm: vm}) }

// Remove drops a VM.
func (l *VMList) Remove(id string) {
	l.change(vmChange{vm: platform.VM{ID: id}, removed: true})
}

func (l *VMList) put(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.ID = r.PathValue("id")
	l.Put(vm)
}

func (l *VMList) change(c vmChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = time.Now()
	l.changes = append(l.changes, c)
}

func (l *VMList) list(w http.ResponseWriter, _ *http.Request) {
	fault := l.Faults.draw()
	time.Sleep(fault.delay)
	if fault.down {
		writeJSON(w, http.StatusServiceUnavailable, platform.StoreErrorResponse{Error: "unavailable"})
		return
	}
	writeJSON(w, http.StatusOK, l.current())
}

func (l *VMList) current() []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := time.Now().Add(-l.Lag)
	for len(l.changes) > 0 && !l.changes[0].at.After(visible) {
		l.show(l.changes[0])
		l.changes = l.changes[1:]
	}
	vms := make([]platform.VM, 0, len(l.shown))
	for _, vm := range l.shown {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}

func (l *VMList) show(c vmChange) {
	if c.removed {
		delete(l.shown, c.vm.ID)
		return
	}
	l.shown[c.vm.ID] = c.vm
}
