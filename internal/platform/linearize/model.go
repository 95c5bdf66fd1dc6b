package linearize

import (
	"math"

	"github.com/anishathalye/porcupine"

	"filbertcross/internal/platform"
)

// unseen stands for the revision of a write whose answer was lost, until an answer names it.
const unknownRevision platform.Revision = -1

// state is what the store may hold at a key.
type state struct {
	value        string
	revision     platform.Revision // 0: absent; unseen: present, above floor
	highestKnown platform.Revision // the highest revision that the key is known to have had
}

// matches reports whether the key may have the revision.
func (s state) mayHaveRevision(r platform.Revision) bool {
	if s.revision == unknownRevision {
		return r > s.highestKnown
	}
	return s.revision == r
}

// with returns the state after a write that was given the revision.
func (s state) afterWrite(value string, r platform.Revision) state {
	return state{value: value, revision: r, highestKnown: max(s.highestKnown, s.revision, r)}
}

// Check reports whether the recorded calls are linearizable. Only calls that have ended
// are looked at; one with a lost answer may take effect at any time after its start.
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

// byKey splits the history: keys are independent of each other.
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

// step returns the states that the answer allows after the call; none: it is wrong.
func nextStates(from state, in call, out response) []any {
	switch {
	case out.outcome == outcomeUnavailable:
		return []any{from}
	case in.method == methodGet:
		return statesAfterGet(from, out)
	case in.method == methodCompareAndSwap:
		return statesAfterWrite(from, in, out, from.afterWrite(in.value, out.revision), from.afterWrite(in.value, unknownRevision))
	default:
		deleted := from.afterWrite("", 0)
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
			return []any{from.afterWrite(out.value, out.revision)}
		}
	}
	return nil
}

// stepWrite judges a write: done is the state after it with the answer's revision, lost that
// after it without an answer.
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
