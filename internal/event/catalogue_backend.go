package event

// Events of the backend servers, recorded by package backend.
var (
	ServerLeaving = Define(Definition{
		ID: 5001, Name: "server-leaving", Level: Info,
		Summary: "A backend server is leaving and receives no new requests.",
		Action:  "Nothing. The source attribute tells whether the platform's VM list or a peer reported it first.",
		Keys:    []string{"server", "source"},
	})
	ServerEjected = Define(Definition{
		ID: 5002, Name: "server-ejected", Level: Warn,
		Summary: "A backend server failed several requests in a row and receives no requests until a probe succeeds.",
		Action:  "Check the backend server. If many servers are ejected, check what they have in common.",
		Keys:    []string{"server", "service", "out"},
	})
	ServerRestored = Define(Definition{
		ID: 5003, Name: "server-restored", Level: Info,
		Summary: "An ejected backend server answered its probe and receives requests again.",
		Action:  "Nothing.",
		Keys:    []string{"server", "service"},
	})
	PermitExpired = Define(Definition{
		ID: 5004, Name: "permit-expired", Level: Warn,
		Summary: "A slot was reclaimed because the lease of its permit expired or the permit's holder died.",
		Action:  "Check the holder's VM and the network links to it.",
		Keys:    []string{"server", "permit", "holder"},
	})
	SlotsHandedOver = Define(Definition{
		ID: 5005, Name: "slots-handed-over", Level: Info,
		Summary: "This VM reported to the new owner of a backend server how many slots its permits still use.",
		Action:  "Nothing.",
		Keys:    []string{"server", "owner", "held"},
	})
)
