package proof

import (
	"fmt"

	"filbertcross/internal/model"
)

// Rule names what a Decider must hold.
type Rule string

// The rules that Oracle checks.
const (
	RuleCapacity    Rule = "capacity"     // the sum granted on a worker is within its capacity
	RuleWorker      Rule = "worker"       // tasks are placed on known, reachable workers that stay
	RuleOnePlace    Rule = "one place"    // a task that holds capacity is not placed again
	RuleEnded       Rule = "ended"        // a finished, cancelled or unknown task is not placed
	RuleRunOnce     Rule = "run once"     // a task that may not run again is neither placed again nor preempted
	RuleGang        Rule = "gang"         // a gang's unfinished tasks are placed together in one group
	RuleQuota       Rule = "quota"        // the sum granted to a branch is within its quota
	RuleBeneficiary Rule = "beneficiary"  // a preemption names a branch that gains
	RuleHeld        Rule = "held"         // only a task that holds capacity is stopped, moved, preempted or throttled
	RuleStop        Rule = "stop"         // only a cancelled, failing, oversized or broken job is stopped
	RuleLimit       Rule = "limit"        // Decide returns no more than its limit
	RuleExplain     Rule = "explain"      // Explain counts each task once
	RuleLost        Rule = "lost"         // a task that can run ends, and so does one that was cancelled
	RuleRemovedHeld Rule = "removed held" // the host removes only empty workers
)

// Violation is a broken rule. It is an error.
type Violation struct {
	Rule   Rule
	Task   model.TaskID
	Worker model.WorkerID
	Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("rule %q broken by task %q on worker %q: %s", v.Rule, v.Task, v.Worker, v.Detail)
}
