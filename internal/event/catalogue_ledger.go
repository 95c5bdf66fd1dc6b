package event

// Events of the idempotency ledger.
var (
	LedgerOutcomeUnknown = Define(Definition{ID: 9001, Name: "ledger-uncertain", Level: Warn,
		Summary: "A request with an idempotency key may have run and its answer is not known; it is never sent again.",
		Action:  "Tell the branch to check the effect of the request.",
		Keys:    []string{"partition", "branch", "key"}})
	LedgerRequestRejected = Define(Definition{ID: 9002, Name: "ledger-refused", Level: Warn,
		Summary: "A request with an idempotency key was refused before it was sent, since its key could not be logged.",
		Action:  "Check the store.",
		Keys:    []string{"partition", "branch", "key", "error"}})
	LedgerEvicted = Define(Definition{ID: 9003, Name: "ledger-evicted", Level: Info,
		Summary: "Recorded answers were dropped early to keep the ledger within its size; repeats of their keys get no answer.",
		Action:  "Raise the retained bytes if repeats come later than that.",
		Keys:    []string{"partition", "keys"}})
)
