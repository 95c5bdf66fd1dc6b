package owner

import (
	"testing"
	"time"

	"filbertcross/internal/admission"
	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// Guards against a new owner that takes other submissions than the earlier one for those beyond their
// account's rate: the store lists them by id, not in order of arrival.
func TestRatesOfRestoredSubmissionsFollowTheOrderOfArrival(t *testing.T) {
	o := &Owner{
		opts: Options{
			Events: event.Discard{}, Clock: func() time.Duration { return time.Hour },
			Dispatch: dispatch.Options{RateBurst: admission.Burst{Window: time.Second}},
		},
		ownership: &Ownership{Fence: 10},
	}
	state := storedState{configuration: &fleet.Configuration{Version: 1, Accounts: fleet.NewAccounts()}}
	state.configuration.Accounts.Add(fleet.Account{Name: "a", Weight: 2})
	received := time.Now()
	for i, id := range []fleet.JobID{"c", "b", "a"} { // in order of arrival; two are within the rate
		value, err := encoding.Marshal(&fleet.Submission{ID: id, Account: "a", Received: received, Steps: []fleet.Step{{Tasks: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		item := fleet.Item{Key: JobKey(id), Value: value, CreateRevision: int64(2 + i)}
		state.intake = append([]fleet.Item{item}, state.intake...)
	}
	o.restore(state, "test")
	statuses := o.dispatcher.AccountStatuses()
	if len(statuses) != 1 || statuses[0].Waiting != 3 || statuses[0].BeyondRate != 1 {
		t.Fatalf("%+v, want three that wait, one of them beyond the rate", statuses)
	}
	if o.dispatcher.BeyondRate("c") || o.dispatcher.BeyondRate("b") || !o.dispatcher.BeyondRate("a") {
		t.Fatal("the last one to arrive is not the one beyond the rate")
	}
}
