package event

import "fmt"

// Definition is one entry of the catalogue. Numbers are never reused. They are
// grouped in ranges of 1000: 1000 server, 2000 scheduling, 3000 partitions and
// leases, 4000 requests, 5000 backend servers, 6000 membership and peers, 7000
// configuration, 8000 platform, 9000 ledger.
type Definition struct {
	ID      int
	Name    string   // kebab-case, stable
	Level   Level    // severity in the log
	Summary string   // what happened
	Action  string   // what an operator should do
	Keys    []string // keys of the attributes, in the order of the values given to Record
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

// Recorder records events. The values are in the order of the definition's Keys.
// Implementations are safe for concurrent use, and Record never blocks.
type Recorder interface {
	Record(def *Definition, values ...any)
}

// Discard is a Recorder for tests that drops all events.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(*Definition, ...any) {}

var definitions []*Definition

// Define adds an entry to the catalogue and returns it. It panics if the number or
// the name is already in use. It may be called only while package variables are
// initialized: it does not lock the catalogue.
func Define(d Definition) *Definition {
	for _, other := range definitions {
		if other.ID == d.ID || other.Name == d.Name {
			panic(fmt.Sprintf("event: %d %s is already defined as %d %s", d.ID, d.Name, other.ID, other.Name))
		}
	}
	definitions = append(definitions, &d)
	return &d
}
