package event

// Events of membership and of the peer link.
var (
	PeerConnected = Define(Def{
		ID: 6000, Name: "peer-connected", Level: Debug,
		Text: "A connection to a peer was opened.",
		Does: "Nothing.",
		Keys: []string{"address", "round_trip"},
	})
	PeerUnreachable = Define(Def{
		ID: 6001, Name: "peer-unreachable", Level: Info,
		Text: "A connection to a peer could not be opened; it is tried again after growing pauses, without further events.",
		Does: "Look for the VM's stop or a cut link at the same time.",
		Keys: []string{"address", "backoff", "error"},
	})
	PeerStalled = Define(Def{
		ID: 6002, Name: "peer-stalled", Level: Info,
		Text: "A connection on which calls timed out and nothing arrived was closed.",
		Does: "Look for a frozen VM or a cut link if it repeats.",
		Keys: []string{"address", "silent_for"},
	})
	PeerCallRefused = Define(Def{
		ID: 6003, Name: "peer-call-refused", Level: Debug,
		Text: "A call from a peer was refused before its handler ran.",
		Does: "If the code is busy, this VM has too few entry VMs beside it.",
		Keys: []string{"method", "code"},
	})
	PeerClockAhead = Define(Def{
		ID: 6004, Name: "peer-clock-ahead", Level: Warn,
		Text: "A peer's clock is more than a minute ahead of this VM's; its stamps are not merged.",
		Does: "Correct the wall clock of one of the two VMs; the time line may be out of order until then.",
		Keys: []string{"peer", "stamp"},
	})
	PeerDrained = Define(Def{
		ID: 6005, Name: "peer-drained", Level: Info,
		Text: "The peer server stopped and the handlers that were running have finished.",
		Does: "Nothing.",
		Keys: []string{"took"},
	})

	MemberAlive = Define(Def{
		ID: 6100, Name: "member-alive", Level: Info,
		Text: "An entry VM joined or its heartbeats are timely again.",
		Does: "Nothing.",
		Keys: []string{"member", "address", "was", "reason"},
	})
	MemberSuspect = Define(Def{
		ID: 6101, Name: "member-suspect", Level: Info,
		Text: "An entry VM's heartbeats are late or slow; it gets no new work and keeps what it owns.",
		Does: "Look at its processor time and at the link between the two VMs if it lasts.",
		Keys: []string{"member", "address", "was", "reason"},
	})
	MemberDead = Define(Def{
		ID: 6102, Name: "member-dead", Level: Warn,
		Text: "An entry VM is taken for dead; others take over what it owned.",
		Does: "If the VM runs, look for a cut between failure domains at the same time.",
		Keys: []string{"member", "address", "was", "reason"},
	})
	MemberLeaving = Define(Def{
		ID: 6103, Name: "member-leaving", Level: Info,
		Text: "An entry VM is stopping and gets no new work.",
		Does: "Nothing.",
		Keys: []string{"member", "address", "was", "reason"},
	})
)
