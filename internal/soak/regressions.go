package soak

// RegressionSeeds are seeds that have found a bug, with its cause. The sequence of faults of a
// seed changes when a kind of fault is added, so a seed repeats its earlier run only
// approximately; each cause also has a test of its own.
var RegressionSeeds = map[uint64]string{
	2:    "two soaks running in parallel used the same port (bug in the harness)",
	3:    "a follower took a cached connection refusal as proof that a live owner was dead",
	6:    "as seed 3",
	19:   "after overlapping crashes of a worker its runs were lost at the second restart (bug in the stand-in)",
	28:   "as seed 2; with a duration of 10 s, a crashed worker responded to a lease renewal and then accepted a start whose deadline was on its previous clock (bug in the stand-in)",
	241:  "a configuration of 1 MB never became active, as reading it took longer than the deadline of one call",
	243:  "two listeners of a VM had the same port (bug in the harness)",
	104:  "a delayed acknowledgement of one incarnation was executed by the next",
	5042: "a suspected task was done, its owner and its worker were lost, and the next owner failed its submission for the crash",
	6013: "a gang was given up after three crashes that tasks beside it had caused",
	902:  "an account at its quota was flooded, and its submissions had no final state 40 s after the last fault: nothing was refused",
}
