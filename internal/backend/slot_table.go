package backend

import (
	"time"

	"filbertcross/internal/model"
)

// PermitID names one grant of a slot. The VM that asks chooses it, so that a
// release is idempotent and may overtake the grant's answer.
type PermitID string

// Grant is a slot in use.
type Grant struct {
	ID        PermitID
	Server    ServerID
	Holder    model.VMID // the VM that sends the request
	GrantedAt time.Time
	LeaseEnd  time.Time // end of the lease

	overdue bool // reported by Overdue
}

// SlotTable counts the slots of the servers that this VM owns. A server's
// grants and the slots that its former owner still uses never exceed its limit
// at the moment of a grant. Not safe for concurrent use.
type SlotTable struct {
	servers   map[ServerID]*slotCount
	order     []*slotCount // for the rotating choice among equals
	grants    map[PermitID]Grant
	nextIndex int // where the next choice starts in order
}

type slotCount struct {
	id             ServerID
	limit          int       // slots that may be in use at once; 0 closes the server
	held           int       // grants of this table
	grantableFrom  time.Time // no grant before
	externalUse    int       // in use by the former owner's permits, as far as known
	externalUseEnd time.Time // end of the former owner's word
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

// Add takes ownership of a server whose slots may be granted from opens on.
// Adding a known server changes nothing.
func (t *SlotTable) Add(id ServerID, limit int, opens time.Time) {
	if _, known := t.servers[id]; known {
		return
	}
	c := &slotCount{id: id, limit: limit, grantableFrom: opens, held: t.Held(id)}
	t.servers[id] = c
	t.order = append(t.order, c)
}

// SetLimit changes how many slots of the server may be in use at once.
func (t *SlotTable) SetLimit(id ServerID, limit int) {
	if c, ok := t.servers[id]; ok {
		c.limit = limit
	}
}

// SetExternalUse opens the server at once, less the slots that the former owner's
// permits use according to its word, which holds until the given moment.
func (t *SlotTable) SetExternalUse(id ServerID, foreign int, until time.Time) {
	if c, ok := t.servers[id]; ok {
		c.externalUse = foreign
		c.externalUseEnd = until
		c.grantableFrom = time.Time{}
	}
}

// Owns reports whether the server is in the table.
func (t *SlotTable) Owns(id ServerID) bool {
	_, ok := t.servers[id]
	return ok
}

// Remove forgets a server. Its grants stay releasable.
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

// Grant gives a slot of the server with the most free slots, other than avoid
// if there is a choice. A permit that is already granted is refused.
func (t *SlotTable) Grant(now time.Time, g Grant, avoid ServerID) (Grant, bool) {
	if _, twice := t.grants[g.ID]; twice {
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

// Release ends a grant; it reports false for one that is not known (any more).
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

// Expire ends the grants whose lease is over or whose holder is gone.
func (t *SlotTable) Expire(now time.Time, gone func(model.VMID) bool) []Grant {
	var ended []Grant
	for id, g := range t.grants {
		if now.Before(g.LeaseEnd) && !gone(g.Holder) {
			continue
		}
		t.Release(id)
		ended = append(ended, g)
	}
	return ended
}

// Overdue returns, once each, the grants in use since before the given moment.
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

// Withhold counts one more slot of the server as in use until the given moment,
// as after the server itself has refused a request.
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

// Held returns the number of grants on the server, owned or not.
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

// Granted returns the number of grants.
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
