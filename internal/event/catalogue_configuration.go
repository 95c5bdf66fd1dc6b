package event

// Events of the configuration's roll-out.
var (
	ConfigurationAccepted = Define(Def{
		ID: 7000, Name: "configuration-accepted", Level: Info,
		Text: "A sheet applied through this VM was accepted.",
		Does: "Nothing.",
		Keys: []string{"revision", "changes", "parts_written"},
	})
	ConfigurationConflict = Define(Def{
		ID: 7001, Name: "configuration-conflict", Level: Info,
		Text: "A sheet was refused because another operator's change came first.",
		Does: "Merge the other change into the sheet and apply it from the new revision.",
		Keys: []string{"base", "in_store"},
	})
	ConfigurationUncertain = Define(Def{
		ID: 7002, Name: "configuration-uncertain", Level: Warn,
		Text: "The store's answer to a sheet's write stayed lost: it may be accepted now or later.",
		Does: "Look at sheet status; applying the same sheet again is safe.",
		Keys: []string{"revision", "stamp"},
	})
	ConfigurationInForce = Define(Def{
		ID: 7010, Name: "configuration-in-force", Level: Info,
		Text: "A configuration is in force on this VM.",
		Does: "Nothing.",
		Keys: []string{"revision", "was", "from"},
	})
	ConfigurationOlder = Define(Def{
		ID: 7011, Name: "configuration-older-ignored", Level: Debug,
		Text: "An older configuration than the one in force was read and ignored.",
		Does: "Nothing; the store or a peer lags.",
		Keys: []string{"revision", "in_force", "from"},
	})
	ConfigurationDiverged = Define(Def{
		ID: 7012, Name: "configuration-diverged", Level: Error,
		Text: "Two different configurations carry the same revision; the one in force is kept.",
		Does: "The store has lost accepted writes: apply the sheet again from a VM that has the wanted one.",
		Keys: []string{"revision", "from"},
	})
	ConfigurationFetchFailed = Define(Def{
		ID: 7013, Name: "configuration-fetch-failed", Level: Info,
		Text: "A newer configuration is known but its parts could not be read; it is tried again.",
		Does: "Look at the store and the links between VMs if it repeats.",
		Keys: []string{"revision", "from", "error"},
	})
)
