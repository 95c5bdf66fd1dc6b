package event

// Events of the configuration's roll-out.
var (
	ConfigurationAccepted = Define(Definition{
		ID: 7000, Name: "configuration-accepted", Level: Info,
		Summary: "A sheet applied through this VM was accepted.",
		Action:  "Nothing.",
		Keys:    []string{"revision", "changes", "parts_written"},
	})
	ConfigurationConflict = Define(Definition{
		ID: 7001, Name: "configuration-conflict", Level: Info,
		Summary: "A sheet was refused because another operator's change came first.",
		Action:  "Merge the other change into the sheet and apply it from the new revision.",
		Keys:    []string{"base", "in_store"},
	})
	ConfigurationWriteUncertain = Define(Definition{
		ID: 7002, Name: "configuration-uncertain", Level: Warn,
		Summary: "The store's answer to a sheet's write stayed lost: it may be accepted now or later.",
		Action:  "Look at sheet status; applying the same sheet again is safe.",
		Keys:    []string{"revision", "stamp"},
	})
	ConfigurationActivated = Define(Definition{
		ID: 7010, Name: "configuration-in-force", Level: Info,
		Summary: "A configuration is in force on this VM.",
		Action:  "Nothing.",
		Keys:    []string{"revision", "was", "from"},
	})
	OlderConfigurationIgnored = Define(Definition{
		ID: 7011, Name: "configuration-older-ignored", Level: Debug,
		Summary: "An older configuration than the one in force was read and ignored.",
		Action:  "Nothing; the store or a peer lags.",
		Keys:    []string{"revision", "in_force", "from"},
	})
	ConfigurationDiverged = Define(Definition{
		ID: 7012, Name: "configuration-diverged", Level: Error,
		Summary: "Two different configurations carry the same revision; the one in force is kept.",
		Action:  "The store has lost accepted writes: apply the sheet again from a VM that has the wanted one.",
		Keys:    []string{"revision", "from"},
	})
	ConfigurationFetchFailed = Define(Definition{
		ID: 7013, Name: "configuration-fetch-failed", Level: Info,
		Summary: "A newer configuration is known but its parts could not be read; it is tried again.",
		Action:  "Look at the store and the links between VMs if it repeats.",
		Keys:    []string{"revision", "from", "error"},
	})
)
