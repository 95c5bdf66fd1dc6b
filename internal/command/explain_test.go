package command

import (
	"strings"
	"testing"
)

func TestExplainSelectsSubmissionEventsFromAllVMs(t *testing.T) {
	log := `  1.20 vm-2 {"time":"t3","name":"run-placed","vm":"b","stamp":3,"worker":"w1","task":"aa.0.0.1","run":"5"}
  1.10 vm-1 {"time":"t1","name":"submission-accepted","vm":"a","stamp":1,"submission":"aa"}
not a log line
  1.15 vm-2 {"time":"t2","name":"worker-silent","vm":"b","stamp":2,"worker":"w1"}
  1.30 vm-2 {"time":"t4","name":"worker-lapsed","vm":"b","stamp":4,"worker":"w1"}
  1.31 vm-2 {"time":"t5","name":"run-placed","vm":"b","stamp":5,"worker":"w2","task":"ab.0.0.1"}
  1.40 vm-2 {"time":"t6","name":"submission-ended","vm":"b","stamp":6,"submission":"aa","state":"completed"}
`
	records, err := readLog(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := writeHistory(&out, submissionHistory(records, "aa")); err != nil {
		t.Fatal(err)
	}
	want := `t1  a  submission-accepted  submission=aa
t3  b  run-placed  run=5  task=aa.0.0.1  worker=w1
t4  b  worker-lapsed  worker=w1
t6  b  submission-ended  state=completed  submission=aa
`
	if out.String() != want {
		t.Fatalf("got\n%s\nwant\n%s", out.String(), want)
	}
}
