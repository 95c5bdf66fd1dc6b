package event

// Events of the idempotency ledger.
var (
	LedgerOutcomeUnknown = Define(Definition{ID: 9001, Name: "ledger-uncertain", Level: Warn,
		Summary: "The outcome of a request with an idempotency key is unknown: it may have run. It is never sent again.",
		Action:  "Ask the branch to check the effect of the request.",
		Keys:    []string{"partition", "branch", "key"}})
	LedgerRequestRejected = Define(Definition{ID: 9002, Name: "ledger-refused", Level: Warn,
		Summary: "A request with an idempotency key was rejected before it was sent because its key could not be logged.",
		Action:  "Check the platform's store.",
		Keys:    []string{"partition", "branch", "key", "error"}})
	LedgerEvicted = Define(Definition{ID: 9003, Name: "ledger-evicted", Level: Info,
		Summary: "Recorded responses were evicted early to keep the ledger within its size; retries with their keys get no recorded response.",
		Action:  "Increase the retained bytes if retries arrive later than that.",
		Keys:    []string{"partition", "keys"}})
)
