package rollout

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/proptest"
	"filbertcross/internal/sheet"
)

const harnessVMs = 3

// harness simulates VMs, operators and the store. Its oracle is the list of all heads that
// were ever written to the store.
type harness struct {
	t              *rapid.T
	store          *fakeStore
	vms            map[string]*fakeVM
	sheetNumber    int64                 // makes every sheet different
	acceptedSheets map[int64]sheet.Sheet // by revision
	rejected       []sheet.Sheet         // reported as not accepted
	lastRevision   map[string]int64      // revision of each VM's process at the last check
}

func vmName(i int) string { return fmt.Sprint("vm-", i) }

// sheetOf returns a sheet whose first branch has sheetNumber as its share.
func sheetOf(sheetNumber int64, branches int) sheet.Sheet {
	var s sheet.Sheet
	for i := range branches {
		b := model.Branch{ID: model.BranchID(fmt.Sprint("branch-", i)), Share: 1}
		if i == 0 {
			b.Share = sheetNumber
		}
		s.Branches = append(s.Branches, b)
		s.Workloads = append(s.Workloads, model.Workload{Branch: b.ID, ID: "rebuild", Kind: model.KindBatch, Share: b.Share, Tasks: 1})
	}
	s.Sort()
	return s
}

func equalSheets(a, b sheet.Sheet) bool {
	return slices.Equal(a.Branches, b.Branches) && slices.Equal(a.Workloads, b.Workloads)
}

// apply applies a new sheet through a VM, based on revision base.
func (m *harness) apply(vm *fakeVM, base int64, branches int) {
	m.sheetNumber++
	s := sheetOf(m.sheetNumber, branches)
	accepted, err := vm.Apply(context.Background(), base, s)
	var uncertain *UncertainError
	switch {
	case err == nil && accepted.Revision != base+1:
		m.t.Fatalf("a new sheet from revision %d was accepted as %d", base, accepted.Revision)
	case err == nil:
		if other, ok := m.acceptedSheets[accepted.Revision]; ok && !equalSheets(other, s) {
			m.t.Fatalf("revision %d was accepted twice", accepted.Revision)
		}
		m.acceptedSheets[accepted.Revision] = s
	case errors.As(err, &uncertain):
	case errors.Is(err, ErrNotAccepted):
		m.rejected = append(m.rejected, s)
		m.checkConflict(base, err)
	default:
		m.t.Fatalf("untyped error %v", err)
	}
}

// checkConflict compares the changes in a conflict with those between the accepted sheets.
func (m *harness) checkConflict(base int64, err error) {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	from, fromKnown := m.acceptedSheets[base]
	to, toKnown := m.acceptedSheets[conflict.Revision]
	if conflict.Revision <= base {
		m.t.Fatalf("conflict of revision %d with %d", base, conflict.Revision)
	}
	if !conflict.ChangesKnown || !toKnown || (!fromKnown && base != 0) {
		return
	}
	if want := sheet.Diff(from, to).String(); conflict.Changes.String() != want {
		m.t.Fatalf("conflict names %q, want %q", conflict.Changes, want)
	}
}

// reapply applies an accepted sheet again. It may be accepted as an existing revision only
// if that revision is the newest.
func (m *harness) reapply(vm *fakeVM, revision int64) {
	s, ok := m.acceptedSheets[revision]
	if !ok {
		return
	}
	accepted, err := vm.Apply(context.Background(), revision-1, s)
	acceptedHeads := m.readAcceptedHeads()
	if err == nil && accepted.Revision != int64(len(acceptedHeads)) {
		m.t.Fatalf("an old sheet was accepted as revision %d, newest is %d", accepted.Revision, len(acceptedHeads))
	}
	if err == nil {
		m.acceptedSheets[accepted.Revision] = s
	}
}

// readAcceptedHeads returns the first head of each revision in the store's history. It
// checks that revisions increase by one and that a repeated one has the same writer.
func (m *harness) readAcceptedHeads() []head {
	var acceptedHeads []head
	for _, e := range m.store.headHistory {
		h, err := decodeHead(e.Value)
		if err != nil {
			m.t.Fatal(err)
		}
		last := head{}
		if len(acceptedHeads) > 0 {
			last = acceptedHeads[len(acceptedHeads)-1]
		}
		switch {
		case h.Revision == last.Revision && h.writerID() == last.writerID():
		case h.Revision == last.Revision+1:
			acceptedHeads = append(acceptedHeads, h)
		default:
			m.t.Fatalf("head of revision %d follows %d", h.Revision, last.Revision)
		}
	}
	return acceptedHeads
}

func (m *harness) check() {
	proptest.CountStep()
	acceptedHeads := m.readAcceptedHeads()
	for name, vm := range m.vms {
		c := vm.source.Active()
		if c == nil {
			if m.lastRevision[name] > 0 {
				m.t.Fatalf("%s lost its configuration", name)
			}
			continue
		}
		if c.Revision < m.lastRevision[name] {
			m.t.Fatalf("%s changed from revision %d back to %d", name, m.lastRevision[name], c.Revision)
		}
		m.lastRevision[name] = c.Revision
		if c.Revision > int64(len(acceptedHeads)) {
			m.t.Fatalf("%s has revision %d, which was never accepted", name, c.Revision)
		}
		active := sheet.Sheet{Branches: c.Branches, Workloads: c.Workloads}
		if s, ok := m.acceptedSheets[c.Revision]; ok && !equalSheets(s, active) {
			m.t.Fatalf("%s has a sheet that differs from the one accepted as revision %d", name, c.Revision)
		}
		if slices.ContainsFunc(m.rejected, func(s sheet.Sheet) bool { return equalSheets(s, active) }) {
			m.t.Fatalf("%s has activated a sheet that was not accepted", name)
		}
	}
	for revision := range m.acceptedSheets {
		if revision > int64(len(acceptedHeads)) {
			m.t.Fatalf("revision %d was acknowledged but is not in the store", revision)
		}
	}
}

// restart replaces a VM's process. If the new process reaches the store, even with stale
// reads, it never activates a revision older than the previous process had. Otherwise it
// activates the newest revision of its peers.
func (m *harness) restart(name string) {
	before := m.lastRevision[name]
	old := m.vms[name]
	delete(m.vms, name)
	newest := int64(0)
	for _, other := range m.vms {
		if !other.disconnected && !old.disconnected {
			newest = max(newest, other.source.Revision())
		}
	}
	vm := newTestVM(name, m.store, m.vms, 3)
	vm.store.disconnected, vm.disconnected = old.store.disconnected, old.disconnected
	m.lastRevision[name] = 0
	m.poll(vm)
	got := vm.source.Revision()
	if reached := !vm.storeDown.Load(); reached && got != 0 && got < before {
		m.t.Fatalf("%s restarted with revision %d after %d", name, got, before)
	} else if !reached && got < newest {
		m.t.Fatalf("%s started with revision %d during a store outage, its peers have %d", name, got, newest)
	}
}

// poll polls the store and the peers once, like Run.
func (m *harness) poll(vm *fakeVM) {
	vm.storeDown.Store(vm.pollStore(context.Background(), 0) != nil)
	vm.pollPeers(context.Background())
}

// checkConvergence ends all faults and checks that all VMs activate the newest revision
// within a few polls.
func (m *harness) checkConvergence() {
	m.store.faults = nil
	m.store.interleaved = nil
	m.store.applyDelayedWrites()
	for _, vm := range m.vms {
		vm.disconnected, vm.store.disconnected = false, false
	}
	const polls = 3
	for range polls {
		for i := range harnessVMs {
			m.poll(m.vms[vmName(i)])
		}
	}
	m.check()
	acceptedHeads := m.readAcceptedHeads()
	for name, vm := range m.vms {
		if got := vm.source.Revision(); got != int64(len(acceptedHeads)) {
			m.t.Fatalf("%s has revision %d after %d polls, want %d", name, got, polls, len(acceptedHeads))
		}
	}
	m.checkParts(acceptedHeads)
}

// checkParts checks that the store has all parts of the newest head.
func (m *harness) checkParts(acceptedHeads []head) {
	if len(acceptedHeads) == 0 {
		return
	}
	for _, ref := range acceptedHeads[len(acceptedHeads)-1].Parts {
		if _, ok := m.store.entries[ref.key()]; !ok {
			m.t.Fatalf("part %s of the newest revision is missing", ref.key())
		}
	}
}

// TestRolloutUnderConcurrentChangesAndFaults applies concurrent changes while VMs are
// disconnected or restarted and the store fails, returns stale reads and loses responses.
func TestRolloutUnderConcurrentChangesAndFaults(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		m := &harness{t: t, store: &fakeStore{entries: map[string]platform.Entry{}}, vms: map[string]*fakeVM{},
			acceptedSheets: map[int64]sheet.Sheet{}, lastRevision: map[string]int64{}}
		for i := range harnessVMs {
			newTestVM(vmName(i), m.store, m.vms, 3)
		}
		vm := rapid.Custom(func(t *rapid.T) string { return vmName(rapid.IntRange(0, harnessVMs-1).Draw(t, "vm")) })
		branches := rapid.IntRange(1, 9)
		apply := func(t *rapid.T) {
			on := m.vms[vm.Draw(t, "on")]
			base := max(0, on.source.Revision()+rapid.SampledFrom([]int64{0, 0, 0, 0, -1, 1}).Draw(t, "off"))
			m.apply(on, base, branches.Draw(t, "branches"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"":      func(*rapid.T) { m.check() },
			"apply": apply,
			"repeat": func(t *rapid.T) {
				m.reapply(m.vms[vm.Draw(t, "on")], m.vms[vm.Draw(t, "of")].source.Revision())
			},
			"race": func(t *rapid.T) {
				other, size := m.vms[vm.Draw(t, "racer")], branches.Draw(t, "racer's branches")
				m.store.callsBeforeInterleaved = rapid.IntRange(0, 6).Draw(t, "after calls")
				m.store.interleaved = func() { m.apply(other, other.source.Revision(), size) }
				apply(t)
				m.store.interleaved = nil
			},
			"fault": func(t *rapid.T) {
				f := rapid.SampledFrom([]fault{faultNone, faultNone, faultRefused, faultResponseLost, faultResponseLost, faultDelayed, faultStaleRead})
				m.store.faults = rapid.SliceOfN(f, 1, 12).Draw(t, "plan")
			},
			"outage": func(t *rapid.T) {
				m.store.faults = slices.Repeat([]fault{faultRefused}, rapid.IntRange(1, 40).Draw(t, "calls"))
			},
			"lost answer": func(t *rapid.T) {
				m.store.faults = append(slices.Repeat([]fault{faultNone}, rapid.IntRange(0, 8).Draw(t, "calls")), faultResponseLost)
				apply(t)
			},
			"lagging read": func(t *rapid.T) {
				m.store.faults = []fault{faultStaleRead}
				switch rapid.SampledFrom([]string{"follow", "restart", "repeat"}).Draw(t, "by") {
				case "follow":
					m.poll(m.vms[vm.Draw(t, "vm")])
				case "restart":
					m.restart(vm.Draw(t, "vm"))
				case "repeat":
					m.reapply(m.vms[vm.Draw(t, "on")], int64(len(m.readAcceptedHeads()))-1)
				}
			},
			"land": func(*rapid.T) { m.store.applyDelayedWrites() },
			"cut": func(t *rapid.T) {
				v := m.vms[vm.Draw(t, "vm")]
				v.disconnected = rapid.Bool().Draw(t, "peers")
				v.store.disconnected = rapid.Bool().Draw(t, "store")
			},
			"follow":  func(t *rapid.T) { m.poll(m.vms[vm.Draw(t, "vm")]) },
			"restart": func(t *rapid.T) { m.restart(vm.Draw(t, "vm")) },
			"restart in trouble": func(t *rapid.T) {
				m.store.faults = append(slices.Repeat([]fault{faultNone}, rapid.IntRange(0, 4).Draw(t, "calls")), faultRefused)
				m.restart(vm.Draw(t, "vm"))
			},
			"converge": func(*rapid.T) { m.checkConvergence() },
		})
		m.checkConvergence()
	})
}

// TestOnlyOldOrphanPartsAreDeleted checks that parts are deleted only if they are both old
// and unreferenced.
func TestOnlyOldOrphanPartsAreDeleted(t *testing.T) {
	store := &storeView{fakeStore: &fakeStore{entries: map[string]platform.Entry{}}}
	vm := newTestVM("vm-0", store.fakeStore, map[string]*fakeVM{}, 3)
	contents, _ := splitSheet(sheetOf(1, 3))
	next, fresh, err := vm.writeParts(context.Background(), head{}, contents)
	if err != nil || len(fresh) < 2 {
		t.Fatal(len(fresh), err)
	}
	for _, age := range []time.Duration{applyTimeout, minOrphanAge + time.Hour} {
		vm.configStore.deleteOrphanParts(context.Background(), next.Parts[1:], time.Now().Add(age))
		_, orphan := store.entries[next.Parts[0].key()]
		if want := age < minOrphanAge; orphan != want || len(store.entries) != len(fresh)-1+map[bool]int{true: 1}[want] {
			t.Fatalf("at age %v: orphan present %v, %d of %d parts left", age, orphan, len(store.entries), len(fresh))
		}
	}
}
