package ingress

import "time"

// evictOldest closes the connection whose request or idle period began first, if its request is not in
// progress.
func (g *Guard) evictOldest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var victim *conn
	for c := range g.conns {
		if c.evictable() && (victim == nil || c.since.Before(victim.since)) {
			victim = c
		}
	}
	if victim != nil {
		g.refused.add(reasonConnections)
		victim.evicted = true
		_ = victim.closeLocked() // it is gone for the client either way
	}
}

// evictLargest lets requests other than that of c give way that hold n bytes together: those whose
// memory times age is largest. So a small request that is soon complete does not give way to large ones.
func (g *Guard) evictLargest(c *conn, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for n > 0 {
		var victim *conn
		most := 0.0
		for other := range g.conns {
			age := now.Sub(other.since)
			if other == c || !other.evictable() || age < minEvictionAge {
				continue
			}
			if cost := float64(other.arriving) * float64(age); cost > most {
				victim, most = other, cost
			}
		}
		if victim == nil {
			return
		}
		n -= victim.arriving
		g.refused.add(reasonMemory)
		victim.evictLocked()
	}
}

// evictable reports whether the connection may be closed for others. The caller holds mu.
func (c *conn) evictable() bool { return c.phase != handling && !c.evicted && !c.closed }

// evictLocked ends the current request of a connection. A handler that reads the body is interrupted,
// so that it can respond. The caller holds mu.
func (c *conn) evictLocked() {
	c.evicted = true
	if c.phase == readingBody {
		_ = c.Conn.SetReadDeadline(interrupted) // fails only on a closed connection
		return
	}
	_ = c.closeLocked() // it is gone for the client either way
}

// interrupted is a deadline in the past.
var interrupted = time.Unix(1, 0)
