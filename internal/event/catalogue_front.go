package event

// Events of callers' requests.
var (
	// CallerGone is recorded by package front.
	CallerDisconnected = Define(Definition{
		ID: 4001, Name: "caller-gone", Level: Debug,
		Summary: "The caller went away before it had its answer.",
		Action:  "Nothing, unless it is frequent: then look for a time limit at the caller or the balancer.",
		Keys:    []string{"request", "cause"},
	})
	// AttemptFailed is recorded by package front.
	AttemptFailed = Define(Definition{
		ID: 4002, Name: "attempt-failed", Level: Info,
		Summary: "A request got no whole answer from a backend server.",
		Action:  "Look at the backend server if it is named often; the verdict says whether the request may have run.",
		Keys:    []string{"request", "branch", "server", "attempt", "verdict", "cause"},
	})
	// KeyNotLogged is recorded by package front.
	KeyNotLogged = Define(Definition{
		ID: 4003, Name: "key-not-logged", Level: Warn,
		Summary: "A request was refused as not run because its idempotency key could not be logged.",
		Action:  "Check the platform's store; callers come back by themselves.",
		Keys:    []string{"request", "branch", "cause"},
	})
	// AnswerNotRecorded is recorded by package front.
	AnswerNotRecorded = Define(Definition{
		ID: 4004, Name: "answer-not-recorded", Level: Warn,
		Summary: "A request ran and its caller has the answer, but a repeat will be told that it may have run.",
		Action:  "Check the platform's store.",
		Keys:    []string{"request", "branch", "cause"},
	})
)
