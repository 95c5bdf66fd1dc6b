package event

// Events of the platform's services and of the process's own log.
var (
	LogLinesDropped = Define(Def{
		ID: 8000, Name: "log-lines-dropped", Level: Warn,
		Text: "The log's reader was slow: events were kept for the time line but not written to the log.",
		Does: "Look at what reads the process's output.",
		Keys: []string{"count"},
	})
)
