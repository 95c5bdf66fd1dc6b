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
		Summary: "A connection to a peer could not be opened; it is retried with increasing backoff, without further events.",
		Action:  "Check whether the VM stopped or a network link failed at that time.",
		Keys:    []string{"address", "backoff", "error"},
	})
	PeerStalled = Define(Definition{
		ID: 6002, Name: "peer-stalled", Level: Info,
		Summary: "A connection was closed because calls on it timed out and no data arrived.",
		Action:  "If it repeats, look for a frozen VM or a failed network link.",
		Keys:    []string{"address", "silent_for"},
	})
	PeerCallRejected = Define(Definition{
		ID: 6003, Name: "peer-call-refused", Level: Debug,
		Summary: "A call from a peer was rejected before its handler ran.",
		Action:  "If the code is busy, there are too few entry VMs to share this VM's load.",
		Keys:    []string{"method", "code"},
	})
	PeerClockAhead = Define(Definition{
		ID: 6004, Name: "peer-clock-ahead", Level: Warn,
		Summary: "A peer's clock is more than a minute ahead of this VM's clock; its stamps are not merged.",
		Action:  "Correct the wall clock of one of the two VMs; until then the timeline may be out of order.",
		Keys:    []string{"peer", "stamp"},
	})
	PeerDrained = Define(Definition{
		ID: 6005, Name: "peer-drained", Level: Info,
		Summary: "The peer server stopped after the running handlers finished.",
		Action:  "Nothing.",
		Keys:    []string{"took"},
	})

	MemberAlive = Define(Definition{
		ID: 6100, Name: "member-alive", Level: Info,
		Summary: "An entry VM joined, or its heartbeats arrive in time again.",
		Action:  "Nothing.",
		Keys:    []string{"member", "address", "was", "reason"},
	})
	MemberSuspect = Define(Definition{
		ID: 6101, Name: "member-suspect", Level: Info,
		Summary: "An entry VM's heartbeats are late or slow; it gets no new work and keeps what it owns.",
		Action:  "If it lasts, check the VM's CPU time and the network link between the two VMs.",
		Keys:    []string{"member", "address", "was", "reason"},
	})
	MemberDead = Define(Definition{
		ID: 6102, Name: "member-dead", Level: Warn,
		Summary: "An entry VM is considered dead; other VMs take over what it owned.",
		Action:  "If the VM is running, look for a network partition between failure domains at that time.",
		Keys:    []string{"member", "address", "was", "reason"},
	})
	MemberLeaving = Define(Definition{
		ID: 6103, Name: "member-leaving", Level: Info,
		Summary: "An entry VM is stopping and gets no new work.",
		Action:  "Nothing.",
		Keys:    []string{"member", "address", "was", "reason"},
	})
)
