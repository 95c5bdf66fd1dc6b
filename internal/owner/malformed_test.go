package owner

import (
	"testing"
	"time"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// Guards against a malformed stored entry that ends every owner that loads it, one after the other.
func TestMalformedStoredEntriesAreSkipped(t *testing.T) {
	step := fleet.Step{Tasks: 1, Estimate: time.Second}
	encode := func(v any) []byte {
		data, err := encoding.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	cyclic, none := step, step
	cyclic.After, none.Tasks = []int{5}, 0
	o := &Owner{opts: Options{Events: event.Discard{}}, dispatcher: dispatch.New(time.Hour, dispatch.Options{Fence: 1}, event.Discard{})}
	progress := map[fleet.JobID]*dispatch.Progress{"ok": {Tasks: []dispatch.TaskProgress{
		{Occurrence: -1, Step: 0, Index: 0, Done: true}, {Occurrence: 0, Step: -1, Index: 0, Done: true}, {Occurrence: 0, Step: 0, Index: -7, Done: true},
	}}}
	items := []fleet.Item{
		{Key: JobKey("bytes"), Value: []byte{0xff, 0x00}},
		{Key: JobKey("empty"), Value: encode(&fleet.Submission{ID: "empty"})},
		{Key: JobKey("cyclic"), Value: encode(&fleet.Submission{ID: "cyclic", Steps: []fleet.Step{cyclic}})},
		{Key: JobKey("none"), Value: encode(&fleet.Submission{ID: "none", Steps: []fleet.Step{none}})},
		{Key: JobKey("moved"), Value: encode(&fleet.Submission{ID: "elsewhere", Steps: []fleet.Step{step}})},
		{Key: JobKey("ok"), Value: encode(&fleet.Submission{ID: "ok", Steps: []fleet.Step{step}})},
		{Key: CancelKey("bytes", "a/b"), Value: []byte{0xff}},
	}
	for i := range items {
		items[i].CreateRevision = int64(i + 2)
	}
	o.applyIntake(time.Hour, items, progress)
	o.dispatcher.Decide(time.Hour+time.Second, time.Now(), true)
	for _, item := range items[:5] {
		if state := o.dispatcher.Status(fleet.JobID(item.Key[len(jobPrefix):])).State; state != fleet.StateUnknown {
			t.Errorf("the malformed entry %s is %v", item.Key, state)
		}
	}
	if state := o.dispatcher.Status("ok").State; state != fleet.StatePending {
		t.Errorf("the valid submission is %v", state)
	}
}
