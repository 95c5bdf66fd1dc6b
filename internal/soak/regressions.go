package soak

// RegressionSeeds are seeds that found a fault once, with its cause. The draw of faults changes
// when a kind of fault is added, so a seed repeats its history only roughly; each cause has a
// test of its own too.
var RegressionSeeds = map[uint64]string{
	2:   "two soaks side by side took the same port (the harness)",
	3:   "a follower took a remembered refusal for a proof that a living owner was dead",
	6:   "the same",
	19:  "overlapping crashes of a worker forgot runs at the second restart (the stand-in)",
	28:  "as seed 2; with 10 s, a crashed worker answered a hold and then took a start with the deadline of its earlier clock (the stand-in)",
	104: "an acknowledgement of the earlier incarnation was carried out late by the next",
}
