package event

// Events of membership and of the peer link.
var (
	PeerConnected = Define(Definition{
		ID: 6000, Name: "peer-connected", Level: Debug,
		Summary: "A connection to a peer was opened.",
		Action:  "Nothing.",
		Keys:    []string{"address", "round_trip"},
	})
	PeerUnreachable = Define(Definition{
		ID: 6001, Name: "peer-unreachable", Level: Info,
		Summary: "A connection to a peer could not be opened; it is tried again after growing pauses, without further events.",
		Action:  "Look for the VM's stop or a cut link at the same time.",
		Keys:    []string{"address", "backoff", "error"},
	})
	PeerStalled = Define(Definition{
		ID: 6002, Name: "peer-stalled", Level: Info,
		Summary: "A connection on which calls timed out and nothing arrived was closed.",
		Action:  "Look for a frozen VM or a cut link if it repeats.",
		Keys:    []string{"address", "silent_for"},
	})
	PeerCallRejected = Define(Definition{
		ID: 6003, Name: "peer-call-refused", Level: Debug,
		Summary: "A call from a peer was refused before its handler ran.",
		Action:  "If the code is busy, this VM has too few entry VMs beside it.",
		Keys:    []string{"method", "code"},
	})
	PeerClockAhead = Define(Definition{
		ID: 6004, Name: "peer-clock-ahead", Level: Warn,
		Summary: "A peer's clock is more than a minute ahead of this VM's; its stamps are not merged.",
		Action:  "Correct the wall clock of one of the two VMs; the time line may be out of order until then.",
		Keys:    []string{"peer", "stamp"},
	})
	PeerDrained = Define(Definition{
		ID: 6005, Name: "peer-drained", Level: Info,
		Summary: "The peer server stopped and the handlers that were running have finished.",
		Action:  "Nothing.",
		Keys:    []string{"took"},
	})

	MemberAlive = Define(Definition{
		ID: 6100, Name: "member-alive", Level: Info,
		Summary: "An entry VM joined or its heartbeats are timely again.",
		Action:  "Nothing.",
		Keys:    []string{"member", "address", "was", "reason"},
	})
	MemberSuspect = Define(Definition{
		ID: 6101, Name: "member-suspect", Level: Info,
		Summary: "An entry VM's heartbeats are late or slow; it gets no new work and keeps what it owns.",
		Action:  "Look at its processor time and at the link between the two VMs if it lasts.",
		Keys:    []string{"member", "address", "was", "reason"},
	})
	MemberDead = Define(Definition{
		ID: 6102, Name: "member-dead", Level: Warn,
		Summary: "An entry VM is taken for dead; others take over what it owned.",
		Action:  "If the VM runs, look for a cut between failure domains at the same time.",
		Keys:    []string{"member", "address", "was", "reason"},
	})
	MemberLeaving = Define(Definition{
		ID: 6103, Name: "member-leaving", Level: Info,
		Summary: "An entry VM is stopping and gets no new work.",
		Action:  "Nothing.",
		Keys:    []string{"member", "address", "was", "reason"},
	})
)
