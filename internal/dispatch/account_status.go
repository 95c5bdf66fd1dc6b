package dispatch

import (
	"cmp"
	"slices"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// AccountStatus is the state of an account for operators.
type AccountStatus struct {
	Name       string
	Waiting    int             // submissions of which no task has started
	BeyondRate int             // of them, those that arrived beyond the account's rate
	Usage      model.Resources // demand of its runs
	Quota      model.Resources // 0: no limit
	Share      float64         // fraction of the cluster to which it is entitled beside the other active accounts
}

// AccountStatuses returns the state of all accounts with submissions, those that use the most CPU first.
func (d *Dispatcher) AccountStatuses() []AccountStatus {
	waiting, beyondRate := map[*account]int{}, map[*account]int{}
	for _, j := range d.activeJobs {
		if j.account == nil || j.started {
			continue
		}
		waiting[j.account]++
		if j.beyondRate {
			beyondRate[j.account]++
		}
	}
	list := make([]AccountStatus, 0, len(d.accounts))
	for name, a := range d.accounts {
		list = append(list, AccountStatus{
			Name: name, Waiting: waiting[a], BeyondRate: beyondRate[a], Usage: a.usage, Quota: a.Quota, Share: a.share,
		})
	}
	slices.SortFunc(list, func(a, b AccountStatus) int {
		return cmp.Or(cmp.Compare(b.Usage.MilliCPU, a.Usage.MilliCPU), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// BeyondRate reports whether a submission arrived beyond its account's rate.
func (d *Dispatcher) BeyondRate(id fleet.JobID) bool {
	j := d.jobs[id]
	return j != nil && j.beyondRate
}
