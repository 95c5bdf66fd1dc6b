package event

// Events of callers' requests, recorded by package front.
var (
	CallerDisconnected = Define(Definition{
		ID: 4001, Name: "caller-gone", Level: Debug,
		Summary: "The caller disconnected before it received its response.",
		Action:  "Nothing, unless it is frequent: then look for a timeout at the caller or the load balancer.",
		Keys:    []string{"request", "cause"},
	})
	AttemptFailed = Define(Definition{
		ID: 4002, Name: "attempt-failed", Level: Info,
		Summary: "A request got no complete response from a backend server.",
		Action:  "If one backend server repeats it, check that server; the verdict tells whether the request may have run.",
		Keys:    []string{"request", "branch", "server", "attempt", "verdict", "cause"},
	})
	KeyNotLogged = Define(Definition{
		ID: 4003, Name: "key-not-logged", Level: Warn,
		Summary: "A request was rejected as not run because its idempotency key could not be logged.",
		Action:  "Check the platform's store; callers retry by themselves.",
		Keys:    []string{"request", "branch", "cause"},
	})
	ResponseNotRecorded = Define(Definition{
		ID: 4004, Name: "answer-not-recorded", Level: Warn,
		Summary: "A request ran and its caller received the response, but the response was not recorded: a retry is answered with may-have-run.",
		Action:  "Check the platform's store.",
		Keys:    []string{"request", "branch", "cause"},
	})
)
