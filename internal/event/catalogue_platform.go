package event

// Events of the process's own log.
var (
	// EventsSummedUp is recorded at most once a second for each event.
	EventsSummedUp = Define(Definition{
		ID: 8010, Name: "events-summed-up", Level: Warn,
		Summary: "An event recurred too often to record each of its entries; this is the number of those left out, with the first and the last of them.",
		Action:  "Look for the cause of the repetition; the entries recorded before show how it began.",
		Keys:    []string{"number", "summed_up", "count", "interval", "first", "last"},
	})
	LogLinesDropped = Define(Definition{
		ID: 8000, Name: "log-lines-dropped", Level: Warn,
		Summary: "The logger was too slow: events were recorded in the timeline but not written to the log.",
		Action:  "Check what reads the process's output.",
		Keys:    []string{"count"},
	})
)
