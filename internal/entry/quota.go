package entry

import (
	"github.com/cockroachdb/errors"

	"filbertcross/internal/fairshare"
	"filbertcross/internal/fleet"
)

// checkQuota returns an error that names the first step that can never run within the account's
// quota: one of its tasks, or all members of its gang, exceed it.
func checkQuota(sub *fleet.Submission, account fleet.Account) error {
	for i, s := range sub.Steps {
		together := 1
		if s.Gang {
			together = s.Tasks
		}
		demand := fairshare.Multiply(s.Demand, together)
		if !fairshare.WithinQuota(demand, account.Quota) {
			return errors.Newf("steps[%d]: needs %s at once, but the account may use %s in all", i, demand, account.Quota)
		}
	}
	return nil
}
