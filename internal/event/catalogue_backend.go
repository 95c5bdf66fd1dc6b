package event

// Events of the backend servers.
var (
	// ServerLeaving is recorded by package backend.
	ServerLeaving = Define(Def{
		ID: 5001, Name: "server-leaving", Level: Info,
		Text: "A backend server is leaving and gets no new request.",
		Does: "Nothing; source says whether the platform's list or a peer showed it first.",
		Keys: []string{"server", "source"},
	})
	// ServerEjected is recorded by package backend.
	ServerEjected = Define(Def{
		ID: 5002, Name: "server-ejected", Level: Warn,
		Text: "A backend server failed several requests in a row and gets no request until it is probed.",
		Does: "Look at the backend server. When many are out, look at what they share.",
		Keys: []string{"server", "service", "out"},
	})
	// ServerRestored is recorded by package backend.
	ServerRestored = Define(Def{
		ID: 5003, Name: "server-restored", Level: Info,
		Text: "An ejected backend server answered its probe and is used again.",
		Does: "Nothing.",
		Keys: []string{"server", "service"},
	})
	// PermitExpired is recorded by package backend.
	PermitExpired = Define(Def{
		ID: 5004, Name: "permit-expired", Level: Warn,
		Text: "A slot was taken back because its permit's lease ended or its holder died.",
		Does: "Look at the holder's VM and the links to it.",
		Keys: []string{"server", "permit", "holder"},
	})
	// SlotsHandedOver is recorded by package backend.
	SlotsHandedOver = Define(Def{
		ID: 5005, Name: "slots-handed-over", Level: Info,
		Text: "The new owner of a backend server was told how many slots this VM's permits still use.",
		Does: "Nothing.",
		Keys: []string{"server", "owner", "held"},
	})
)
