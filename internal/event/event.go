package event

import "fmt"

// Def is one entry of the catalogue. Numbers are never used again. Each range of
// a thousand has a file of its own: 1000 server, 2000 scheduling, 3000 partitions
// and leases, 4000 requests, 5000 backend servers, 6000 membership and peers,
// 7000 configuration, 8000 platform, 9000 ledger.
type Definition struct {
	ID      int
	Name    string   // kebab-case, stable
	Level   Level    // how it is logged
	Summary string   // what happened, one sentence
	Action  string   // what an operator does about it
	Keys    []string // the attributes it carries, in order
}

// Level is the severity of an event.
type Level int

// The levels.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

// Recorder takes events. The values follow the definition's Keys in order.
// Safe for concurrent use and never blocks.
type Recorder interface {
	Record(def *Definition, values ...any)
}

// Discard is a Recorder that drops all events, for tests.
type Discard struct{}

// Record drops the event.
func (Discard) Record(*Definition, ...any) {}

var definitions []*Definition

// Define adds an entry to the catalogue. It is called from package variables and
// panics when the number or the name is taken.
func Define(d Definition) *Definition {
	for _, other := range definitions {
		if other.ID == d.ID || other.Name == d.Name {
			panic(fmt.Sprintf("event: %d %s is already defined as %d %s", d.ID, d.Name, other.ID, other.Name))
		}
	}
	definitions = append(definitions, &d)
	return &d
}
