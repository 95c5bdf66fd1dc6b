package event

// Events of the platform's services and of the process's own log.
var (
	LogLinesDropped = Define(Definition{
		ID: 8000, Name: "log-lines-dropped", Level: Warn,
		Summary: "The log's reader was slow: events were kept for the time line but not written to the log.",
		Action:  "Look at what reads the process's output.",
		Keys:    []string{"count"},
	})
)
