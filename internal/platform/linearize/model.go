package linearize

import (
	"math"

	"github.com/anishathalye/porcupine"

	"filbertcross/internal/platform"
)

// unknownRevision stands for the revision of a write whose response was lost, until another
// response contains the revision.
const unknownRevision platform.Revision = -1

// state is a possible state of a key.
type state struct {
	value        string
	revision     platform.Revision // 0: absent; unknownRevision: present, above highestKnown
	highestKnown platform.Revision // the highest revision that the key certainly had
}

// mayHaveRevision reports whether the key may have the revision.
func (s state) mayHaveRevision(r platform.Revision) bool {
	if s.revision == unknownRevision {
		return r > s.highestKnown
	}
	return s.revision == r
}

// withEntry returns the state with the value and the revision, and raises highestKnown.
func (s state) withEntry(value string, r platform.Revision) state {
	return state{value: value, revision: r, highestKnown: max(s.highestKnown, s.revision, r)}
}

// Check reports whether the recorded calls are linearizable. It considers only calls that
// have returned; a call whose response was lost may take effect at any time after its
// start.
func (h *History) Check() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	var history []porcupine.Operation
	for _, op := range h.operations {
		out := op.Output.(response)
		if out.outcome == outcomeUncertain {
			op.Return = math.MaxInt64
		}
		history = append(history, op)
	}
	model := porcupine.NondeterministicModel{
		Partition: partitionByKey,
		Init:      func() []any { return []any{state{}} },
		Step: func(from, in, out any) []any {
			return nextStates(from.(state), in.(call), out.(response))
		},
	}
	return porcupine.CheckOperations(model.ToModel(), history)
}

// partitionByKey splits the history by key, because keys are independent of each other.
func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	index := make(map[string]int)
	var parts [][]porcupine.Operation
	for _, op := range history {
		key := op.Input.(call).key
		i, ok := index[key]
		if !ok {
			i = len(parts)
			index[key] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], op)
	}
	return parts
}

// nextStates returns the possible states after the call, given its response. It returns none
// if the response is impossible.
func nextStates(from state, in call, out response) []any {
	switch {
	case out.outcome == outcomeUnavailable:
		return []any{from}
	case in.method == methodGet:
		return statesAfterGet(from, out)
	case in.method == methodCompareAndSwap:
		return statesAfterWrite(from, in, out, from.withEntry(in.value, out.revision), from.withEntry(in.value, unknownRevision))
	default:
		deleted := from.withEntry("", 0)
		if from.revision == 0 && out.outcome == outcomeNotFound {
			return []any{from}
		}
		if from.revision == 0 && out.outcome != outcomeUncertain {
			return nil
		}
		return statesAfterWrite(from, in, out, deleted, deleted)
	}
}

func statesAfterGet(from state, out response) []any {
	switch out.outcome {
	case outcomeUncertain:
		return []any{from}
	case outcomeNotFound:
		if from.revision == 0 {
			return []any{from}
		}
	case outcomeOK:
		if from.revision != 0 && from.value == out.value && from.mayHaveRevision(out.revision) {
			return []any{from.withEntry(out.value, out.revision)}
		}
	}
	return nil
}

// statesAfterWrite returns the possible states after a write. acknowledged is the state if the
// response has the write's revision, unacknowledged the state if the response was lost but the
// write took effect.
func statesAfterWrite(from state, in call, out response, acknowledged, unacknowledged state) []any {
	switch out.outcome {
	case outcomeOK:
		increased := in.method == methodDelete || out.revision > max(from.highestKnown, from.revision)
		if from.mayHaveRevision(in.expected) && increased {
			return []any{acknowledged}
		}
	case outcomeConflict:
		if from.revision == unknownRevision || !from.mayHaveRevision(in.expected) {
			return []any{from}
		}
	case outcomeUncertain:
		if from.mayHaveRevision(in.expected) {
			return []any{from, unacknowledged}
		}
		return []any{from}
	}
	return nil
}
