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

const machineVMs = 3

// machine drives VMs, operators and the store. Its oracle is the store's own list of
// the heads that were ever written.
type machine struct {
	t        *rapid.T
	store    *fakeStore
	vms      map[string]*fakeVM
	number   int64                 // makes every sheet another one
	sheets   map[int64]sheet.Sheet // accepted, by revision
	refused  []sheet.Sheet         // told not accepted
	lastSeen map[string]int64      // revision of each VM's process at the last check
}

func vmName(i int) string { return fmt.Sprint("vm-", i) }

// sheetOf makes a sheet whose first branch carries the number.
func sheetOf(number int64, branches int) sheet.Sheet {
	var s sheet.Sheet
	for i := range branches {
		b := model.Branch{ID: model.BranchID(fmt.Sprint("branch-", i)), Share: 1}
		if i == 0 {
			b.Share = number
		}
		s.Branches = append(s.Branches, b)
		s.Workloads = append(s.Workloads, model.Workload{Branch: b.ID, ID: "rebuild", Kind: model.KindBatch, Share: b.Share, Tasks: 1})
	}
	s.Sort()
	return s
}

func equal(a, b sheet.Sheet) bool {
	return slices.Equal(a.Branches, b.Branches) && slices.Equal(a.Workloads, b.Workloads)
}

// apply lets an operator apply a new sheet from the revision that was seen.
func (m *machine) apply(vm *fakeVM, base int64, branches int) {
	m.number++
	s := sheetOf(m.number, branches)
	accepted, err := vm.Apply(context.Background(), base, s)
	var uncertain *UncertainError
	switch {
	case err == nil && accepted.Revision != base+1:
		m.t.Fatalf("a new sheet from revision %d was accepted as %d", base, accepted.Revision)
	case err == nil:
		if other, ok := m.sheets[accepted.Revision]; ok && !equal(other, s) {
			m.t.Fatalf("revision %d was accepted twice", accepted.Revision)
		}
		m.sheets[accepted.Revision] = s
	case errors.As(err, &uncertain):
	case errors.Is(err, ErrNotAccepted):
		m.refused = append(m.refused, s)
		m.checkConflict(base, err)
	default:
		m.t.Fatalf("untyped error %v", err)
	}
}

// checkConflict holds what a conflict names against the accepted sheets.
func (m *machine) checkConflict(base int64, err error) {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	from, fromKnown := m.sheets[base]
	to, toKnown := m.sheets[conflict.Revision]
	if conflict.Revision <= base {
		m.t.Fatalf("conflict of revision %d with %d", base, conflict.Revision)
	}
	if !conflict.Known || !toKnown || (!fromKnown && base != 0) {
		return
	}
	if want := sheet.Diff(from, to).String(); conflict.Changes.String() != want {
		m.t.Fatalf("conflict names %q, want %q", conflict.Changes, want)
	}
}

// repeat lets an operator apply an accepted sheet once more. It may only be taken for
// accepted before if it is the newest.
func (m *machine) repeat(vm *fakeVM, revision int64) {
	s, ok := m.sheets[revision]
	if !ok {
		return
	}
	accepted, err := vm.Apply(context.Background(), revision-1, s)
	line := m.written()
	if err == nil && accepted.Revision != int64(len(line)) {
		m.t.Fatalf("an old sheet was taken for revision %d, newest is %d", accepted.Revision, len(line))
	}
	if err == nil {
		m.sheets[accepted.Revision] = s
	}
}

// written decodes the store's history and checks that it is one line of revisions.
func (m *machine) written() []head {
	var line []head
	for _, e := range m.store.heads {
		h, err := decodeHead(e.Value)
		if err != nil {
			m.t.Fatal(err)
		}
		last := head{}
		if len(line) > 0 {
			last = line[len(line)-1]
		}
		switch {
		case h.Revision == last.Revision && h.stamp() == last.stamp():
		case h.Revision == last.Revision+1:
			line = append(line, h)
		default:
			m.t.Fatalf("head of revision %d follows %d", h.Revision, last.Revision)
		}
	}
	return line
}

func (m *machine) check() {
	proptest.CountStep()
	line := m.written()
	for name, vm := range m.vms {
		c := vm.source.Active()
		if c == nil {
			if m.lastSeen[name] > 0 {
				m.t.Fatalf("%s lost its configuration", name)
			}
			continue
		}
		if c.Revision < m.lastSeen[name] {
			m.t.Fatalf("%s went back from revision %d to %d", name, m.lastSeen[name], c.Revision)
		}
		m.lastSeen[name] = c.Revision
		if c.Revision > int64(len(line)) {
			m.t.Fatalf("%s has revision %d, which was never accepted", name, c.Revision)
		}
		in := sheet.Sheet{Branches: c.Branches, Workloads: c.Workloads}
		if s, ok := m.sheets[c.Revision]; ok && !equal(s, in) {
			m.t.Fatalf("%s has another content than was accepted as revision %d", name, c.Revision)
		}
		if slices.ContainsFunc(m.refused, func(s sheet.Sheet) bool { return equal(s, in) }) {
			m.t.Fatalf("%s has a sheet in force that was not accepted", name)
		}
	}
	for revision := range m.sheets {
		if revision > int64(len(line)) {
			m.t.Fatalf("revision %d was acknowledged but is not in the store", revision)
		}
	}
}

// restart replaces a process. If the new one reaches the store, even a lagging one, it
// never comes up behind the old one; else it comes up with the newest of its peers.
func (m *machine) restart(name string) {
	before := m.lastSeen[name]
	old := m.vms[name]
	delete(m.vms, name)
	newest := int64(0)
	for _, other := range m.vms {
		if !other.cut && !old.cut {
			newest = max(newest, other.source.Revision())
		}
	}
	vm := newVM(name, m.store, m.vms, 3)
	vm.store.cut, vm.cut = old.store.cut, old.cut
	m.lastSeen[name] = 0
	m.follow(vm)
	got := vm.source.Revision()
	if reached := !vm.storeDown.Load(); reached && got != 0 && got < before {
		m.t.Fatalf("%s restarted with revision %d after %d", name, got, before)
	} else if !reached && got < newest {
		m.t.Fatalf("%s started with revision %d in an outage, its peers have %d", name, got, newest)
	}
}

// follow is one look at the store and one at the peers, as Run takes them.
func (m *machine) follow(vm *fakeVM) {
	vm.storeDown.Store(vm.followStore(context.Background(), 0) != nil)
	vm.followPeers(context.Background())
}

// converge ends all faults and expects the newest revision everywhere after few looks.
func (m *machine) converge() {
	m.store.plan = nil
	m.store.between = nil
	m.store.land()
	for _, vm := range m.vms {
		vm.cut, vm.store.cut = false, false
	}
	const looks = 3
	for range looks {
		for i := range machineVMs {
			m.follow(m.vms[vmName(i)])
		}
	}
	m.check()
	line := m.written()
	for name, vm := range m.vms {
		if got := vm.source.Revision(); got != int64(len(line)) {
			m.t.Fatalf("%s has revision %d after %d looks, want %d", name, got, looks, len(line))
		}
	}
	m.checkParts(line)
}

// checkParts expects that the newest head's parts are all there.
func (m *machine) checkParts(line []head) {
	if len(line) == 0 {
		return
	}
	for _, ref := range line[len(line)-1].Parts {
		if _, ok := m.store.entries[ref.key()]; !ok {
			m.t.Fatalf("part %s of the newest revision is gone", ref.key())
		}
	}
}

// TestRollout races operators on VMs that are cut off, restarted and next to a store
// that fails, lags and loses answers.
func TestRollout(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		m := &machine{t: t, store: &fakeStore{entries: map[string]platform.Entry{}}, vms: map[string]*fakeVM{},
			sheets: map[int64]sheet.Sheet{}, lastSeen: map[string]int64{}}
		for i := range machineVMs {
			newVM(vmName(i), m.store, m.vms, 3)
		}
		vm := rapid.Custom(func(t *rapid.T) string { return vmName(rapid.IntRange(0, machineVMs-1).Draw(t, "vm")) })
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
				m.repeat(m.vms[vm.Draw(t, "on")], m.vms[vm.Draw(t, "of")].source.Revision())
			},
			"race": func(t *rapid.T) {
				other, size := m.vms[vm.Draw(t, "racer")], branches.Draw(t, "racer's branches")
				m.store.in = rapid.IntRange(0, 6).Draw(t, "after calls")
				m.store.between = func() { m.apply(other, other.source.Revision(), size) }
				apply(t)
				m.store.between = nil
			},
			"fault": func(t *rapid.T) {
				f := rapid.SampledFrom([]fault{none, none, refused, answerLost, answerLost, delayed, lags})
				m.store.plan = rapid.SliceOfN(f, 1, 12).Draw(t, "plan")
			},
			"outage": func(t *rapid.T) {
				m.store.plan = slices.Repeat([]fault{refused}, rapid.IntRange(1, 40).Draw(t, "calls"))
			},
			"lost answer": func(t *rapid.T) {
				m.store.plan = append(slices.Repeat([]fault{none}, rapid.IntRange(0, 8).Draw(t, "calls")), answerLost)
				apply(t)
			},
			"lagging read": func(t *rapid.T) {
				m.store.plan = []fault{lags}
				switch rapid.SampledFrom([]string{"follow", "restart", "repeat"}).Draw(t, "by") {
				case "follow":
					m.follow(m.vms[vm.Draw(t, "vm")])
				case "restart":
					m.restart(vm.Draw(t, "vm"))
				case "repeat":
					m.repeat(m.vms[vm.Draw(t, "on")], int64(len(m.written()))-1)
				}
			},
			"land": func(*rapid.T) { m.store.land() },
			"cut": func(t *rapid.T) {
				v := m.vms[vm.Draw(t, "vm")]
				v.cut = rapid.Bool().Draw(t, "peers")
				v.store.cut = rapid.Bool().Draw(t, "store")
			},
			"follow":  func(t *rapid.T) { m.follow(m.vms[vm.Draw(t, "vm")]) },
			"restart": func(t *rapid.T) { m.restart(vm.Draw(t, "vm")) },
			"restart in trouble": func(t *rapid.T) {
				m.store.plan = append(slices.Repeat([]fault{none}, rapid.IntRange(0, 4).Draw(t, "calls")), refused)
				m.restart(vm.Draw(t, "vm"))
			},
			"converge": func(*rapid.T) { m.converge() },
		})
		m.converge()
	})
}

// TestSweep leaves parts behind and expects only old ones that nothing names to go.
func TestSweep(t *testing.T) {
	store := &storeView{fakeStore: &fakeStore{entries: map[string]platform.Entry{}}}
	vm := newVM("vm-0", store.fakeStore, map[string]*fakeVM{}, 3)
	contents, _ := split(sheetOf(1, 3))
	next, fresh, err := vm.writeParts(context.Background(), head{}, contents)
	if err != nil || len(fresh) < 2 {
		t.Fatal(len(fresh), err)
	}
	for _, age := range []time.Duration{applyTimeout, orphanAge + time.Hour} {
		vm.records.sweep(context.Background(), next.Parts[1:], time.Now().Add(age))
		_, orphan := store.entries[next.Parts[0].key()]
		if want := age < orphanAge; orphan != want || len(store.entries) != len(fresh)-1+map[bool]int{true: 1}[want] {
			t.Fatalf("after %v: orphan kept %v, %d parts of %d", age, orphan, len(store.entries), len(fresh))
		}
	}
}
