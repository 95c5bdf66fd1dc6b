package proof

import (
	"fmt"

	"filbertcross/internal/model"
)

// Rule is a condition that each Decider must satisfy. Its value is printed in reports.
type Rule string

// The rules that Oracle checks.
const (
	RuleCapacity    Rule = "capacity"     // the sum granted on a worker is within its capacity
	RuleWorker      Rule = "worker"       // tasks are placed only on listed, reachable workers that are not leaving
	RuleOnePlace    Rule = "one place"    // a task that holds capacity is not placed again
	RuleEnded       Rule = "ended"        // a finished, canceled or unknown task is not placed
	RuleRunOnce     Rule = "run once"     // a task that is not restartable is neither placed again nor preempted
	RuleGang        Rule = "gang"         // a gang's unfinished tasks are placed together in one group
	RuleQuota       Rule = "quota"        // the sum granted to a branch is within its quota
	RuleBeneficiary Rule = "beneficiary"  // a preemption names an existing branch that gets the capacity
	RuleHeld        Rule = "held"         // only a task that holds capacity is stopped, moved, preempted or throttled
	RuleStop        Rule = "stop"         // only a canceled, failed or oversized job or an incomplete gang is stopped
	RuleLimit       Rule = "limit"        // Decide returns no more than its limit
	RuleExplain     Rule = "explain"      // Explain counts each task once
	RuleLost        Rule = "lost"         // each task that can run or was canceled ends eventually
	RuleRemovedHeld Rule = "removed held" // the caller removes only workers on which no task holds capacity
)

// Violation is an error that describes a broken rule. Task and Worker are empty where the
// violation concerns none.
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
