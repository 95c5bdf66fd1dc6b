package event

// Events of the process's own log.
var (
	LogLinesDropped = Define(Definition{
		ID: 8000, Name: "log-lines-dropped", Level: Warn,
		Summary: "The logger was too slow: events were recorded in the timeline but not written to the log.",
		Action:  "Check what reads the process's output.",
		Keys:    []string{"count"},
	})
)
