package event

// Events of the idempotency ledger.
var (
	LedgerUncertain = Define(Def{ID: 9001, Name: "ledger-uncertain", Level: Warn,
		Text: "A request with an idempotency key may have run and its answer is not known; it is never sent again.",
		Does: "Tell the branch to check the effect of the request.",
		Keys: []string{"partition", "branch", "key"}})
	LedgerRefused = Define(Def{ID: 9002, Name: "ledger-refused", Level: Warn,
		Text: "A request with an idempotency key was refused before it was sent, since its key could not be logged.",
		Does: "Check the store.",
		Keys: []string{"partition", "branch", "key", "error"}})
	LedgerEvicted = Define(Def{ID: 9003, Name: "ledger-evicted", Level: Info,
		Text: "Recorded answers were dropped early to keep the ledger within its size; repeats of their keys get no answer.",
		Does: "Raise the retained bytes if repeats come later than that.",
		Keys: []string{"partition", "keys"}})
)
