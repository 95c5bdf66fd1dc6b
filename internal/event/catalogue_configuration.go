package event

// Events of the rollout of the configuration.
var (
	ConfigurationAccepted = Define(Definition{
		ID: 7000, Name: "configuration-accepted", Level: Info,
		Summary: "A sheet that was applied through this VM was accepted.",
		Action:  "Nothing.",
		Keys:    []string{"revision", "changes", "parts_written"},
	})
	ConfigurationConflict = Define(Definition{
		ID: 7001, Name: "configuration-conflict", Level: Info,
		Summary: "A sheet was rejected because another operator's change was accepted first.",
		Action:  "Merge the other change into the sheet and apply it on top of the new revision.",
		Keys:    []string{"base", "in_store"},
	})
	ConfigurationWriteUncertain = Define(Definition{
		ID: 7002, Name: "configuration-uncertain", Level: Warn,
		Summary: "The store's response to a sheet's write was lost; the sheet may have been accepted or may still be accepted later.",
		Action:  "Check the sheet's status; applying the same sheet again is safe.",
		Keys:    []string{"revision", "stamp"},
	})
	ConfigurationActivated = Define(Definition{
		ID: 7010, Name: "configuration-in-force", Level: Info,
		Summary: "A configuration became active on this VM.",
		Action:  "Nothing.",
		Keys:    []string{"revision", "was", "from"},
	})
	OlderConfigurationIgnored = Define(Definition{
		ID: 7011, Name: "configuration-older-ignored", Level: Debug,
		Summary: "A configuration older than the active one was read and ignored.",
		Action:  "Nothing; the store or a peer lags behind.",
		Keys:    []string{"revision", "in_force", "from"},
	})
	ConfigurationDiverged = Define(Definition{
		ID: 7012, Name: "configuration-diverged", Level: Error,
		Summary: "Two different configurations have the same revision; the active one stays active.",
		Action:  "The store lost accepted writes: apply the sheet again from a VM that has the wanted configuration.",
		Keys:    []string{"revision", "from"},
	})
	ConfigurationFetchFailed = Define(Definition{
		ID: 7013, Name: "configuration-fetch-failed", Level: Info,
		Summary: "A newer configuration exists but its parts could not be read; the read is retried.",
		Action:  "If it repeats, check the store and the network links between the VMs.",
		Keys:    []string{"revision", "from", "error"},
	})
)
