package backend

import (
	"time"

	"filbertcross/internal/model"
)

// PermitID identifies one grant of a slot. The requesting VM generates it, so that
// a release is idempotent and may arrive before the response with the grant.
type PermitID string

// Grant is a slot in use.
type Grant struct {
	ID        PermitID
	Server    ServerID
	Holder    model.VMID // VM that uses the slot
	GrantedAt time.Time
	LeaseEnd  time.Time // the grant expires then

	overdue bool // already returned by Overdue
}

// SlotTable tracks the slots of the servers that this VM owns. When it grants a
// slot, the grants on the server plus its external use don't exceed its limit.
// External use covers slots used by permits of the previous owner and withheld
// slots. Not safe for concurrent use.
type SlotTable struct {
	servers   map[ServerID]*slotCount
	order     []*slotCount // for round-robin among servers with equally many free slots
	grants    map[PermitID]Grant
	nextIndex int // index in order where the next search starts
}

type slotCount struct {
	id             ServerID
	limit          int       // slots that may be in use at once; 0: no grants
	held           int       // grants of this table
	grantableFrom  time.Time // earliest time of a grant
	externalUse    int       // slots in use by permits of the previous owner, or withheld
	externalUseEnd time.Time // time at which externalUse expires
}

func (c *slotCount) free(now time.Time) int {
	if now.Before(c.grantableFrom) {
		return 0
	}
	used := c.held
	if now.Before(c.externalUseEnd) {
		used += c.externalUse
	}
	return max(0, c.limit-used)
}

// NewSlotTable returns an empty table.
func NewSlotTable() *SlotTable {
	return &SlotTable{servers: make(map[ServerID]*slotCount), grants: make(map[PermitID]Grant)}
}

// Add adds an owned server. Its slots may be granted from grantableFrom on. Adding
// a known server changes nothing.
func (t *SlotTable) Add(id ServerID, limit int, grantableFrom time.Time) {
	if _, known := t.servers[id]; known {
		return
	}
	c := &slotCount{id: id, limit: limit, grantableFrom: grantableFrom, held: t.Held(id)}
	t.servers[id] = c
	t.order = append(t.order, c)
}

// SetLimit sets how many slots of the server may be in use at once.
func (t *SlotTable) SetLimit(id ServerID, limit int) {
	if c, ok := t.servers[id]; ok {
		c.limit = limit
	}
}

// SetExternalUse sets how many slots permits of the previous owner use, valid until
// the given time. The other slots may be granted immediately.
func (t *SlotTable) SetExternalUse(id ServerID, slots int, until time.Time) {
	if c, ok := t.servers[id]; ok {
		c.externalUse = slots
		c.externalUseEnd = until
		c.grantableFrom = time.Time{}
	}
}

// Owns reports whether the server is in the table.
func (t *SlotTable) Owns(id ServerID) bool {
	_, ok := t.servers[id]
	return ok
}

// Remove removes a server. Its grants stay in the table until they are released or
// expire.
func (t *SlotTable) Remove(id ServerID) {
	c, ok := t.servers[id]
	if !ok {
		return
	}
	delete(t.servers, id)
	for i := range t.order {
		if t.order[i] == c {
			t.order = append(t.order[:i], t.order[i+1:]...)
			break
		}
	}
}

// Grant grants a slot of the server with the most free slots, other than avoid if
// another one has a free slot. It reports false if no slot is free or the permit
// is already granted.
func (t *SlotTable) Grant(now time.Time, g Grant, avoid ServerID) (Grant, bool) {
	if _, duplicate := t.grants[g.ID]; duplicate {
		return Grant{}, false
	}
	c := t.pickServer(now, avoid)
	if c == nil {
		return Grant{}, false
	}
	c.held++
	g.Server = c.id
	g.GrantedAt = now
	t.grants[g.ID] = g
	return g, true
}

func (t *SlotTable) pickServer(now time.Time, avoid ServerID) *slotCount {
	var best, avoided *slotCount
	for i := range t.order {
		c := t.order[(t.nextIndex+i)%len(t.order)]
		switch free := c.free(now); {
		case free == 0:
		case c.id == avoid:
			avoided = c
		case best == nil || free > best.free(now):
			best = c
		}
	}
	t.nextIndex++
	if best == nil {
		return avoided
	}
	return best
}

// Release ends a grant. It reports false if the grant is unknown or has ended.
func (t *SlotTable) Release(id PermitID) (Grant, bool) {
	g, ok := t.grants[id]
	if !ok {
		return Grant{}, false
	}
	delete(t.grants, id)
	if c, owned := t.servers[g.Server]; owned {
		c.held--
	}
	return g, true
}

// Expire ends and returns the grants whose lease has expired or whose holder is
// dead.
func (t *SlotTable) Expire(now time.Time, holderDead func(model.VMID) bool) []Grant {
	var ended []Grant
	for id, g := range t.grants {
		if now.Before(g.LeaseEnd) && !holderDead(g.Holder) {
			continue
		}
		t.Release(id)
		ended = append(ended, g)
	}
	return ended
}

// Overdue returns the grants made before the given time, each grant once.
func (t *SlotTable) Overdue(before time.Time) []Grant {
	var overdue []Grant
	for id, g := range t.grants {
		if g.overdue || !g.GrantedAt.Before(before) {
			continue
		}
		g.overdue = true
		t.grants[id] = g
		overdue = append(overdue, g)
	}
	return overdue
}

// Withhold counts one more slot of the server as in use until the given time, for
// example because the server refused a request. It extends the validity of the
// current external use to that time.
func (t *SlotTable) Withhold(now time.Time, id ServerID, until time.Time) {
	c, ok := t.servers[id]
	if !ok {
		return
	}
	if !now.Before(c.externalUseEnd) {
		c.externalUse, c.externalUseEnd = 0, until
	}
	c.externalUse++
	if until.After(c.externalUseEnd) {
		c.externalUseEnd = until
	}
}

// Held returns the number of grants on the server, whether it is still owned or
// not.
func (t *SlotTable) Held(id ServerID) int {
	if c, ok := t.servers[id]; ok {
		return c.held
	}
	held := 0
	for _, g := range t.grants {
		if g.Server == id {
			held++
		}
	}
	return held
}

// Granted returns the number of grants on all servers.
func (t *SlotTable) Granted() int { return len(t.grants) }

// Free returns the number of slots that can be granted now.
func (t *SlotTable) Free(now time.Time) int {
	free := 0
	for _, c := range t.order {
		free += c.free(now)
	}
	return free
}

// Slots returns the sum of the limits of the owned servers.
func (t *SlotTable) Slots() int {
	slots := 0
	for _, c := range t.order {
		slots += c.limit
	}
	return slots
}
