package event

// Events of the backend servers.
var (
	// ServerLeaving is recorded by package backend.
	ServerLeaving = Define(Definition{
		ID: 5001, Name: "server-leaving", Level: Info,
		Summary: "A backend server is leaving and gets no new request.",
		Action:  "Nothing; source says whether the platform's list or a peer showed it first.",
		Keys:    []string{"server", "source"},
	})
	// ServerEjected is recorded by package backend.
	ServerEjected = Define(Definition{
		ID: 5002, Name: "server-ejected", Level: Warn,
		Summary: "A backend server failed several requests in a row and gets no request until it is probed.",
		Action:  "Look at the backend server. When many are out, look at what they share.",
		Keys:    []string{"server", "service", "out"},
	})
	// ServerRestored is recorded by package backend.
	ServerRestored = Define(Definition{
		ID: 5003, Name: "server-restored", Level: Info,
		Summary: "An ejected backend server answered its probe and is used again.",
		Action:  "Nothing.",
		Keys:    []string{"server", "service"},
	})
	// PermitExpired is recorded by package backend.
	PermitExpired = Define(Definition{
		ID: 5004, Name: "permit-expired", Level: Warn,
		Summary: "A slot was taken back because its permit's lease ended or its holder died.",
		Action:  "Look at the holder's VM and the links to it.",
		Keys:    []string{"server", "permit", "holder"},
	})
	// SlotsHandedOver is recorded by package backend.
	SlotsHandedOver = Define(Definition{
		ID: 5005, Name: "slots-handed-over", Level: Info,
		Summary: "The new owner of a backend server was told how many slots this VM's permits still use.",
		Action:  "Nothing.",
		Keys:    []string{"server", "owner", "held"},
	})
)
