package owner

import (
	"context"
	"time"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/pause"
)

const (
	accountMetricsInterval = time.Second
	// maxAccountMetrics bounds the number of accounts with metrics of their own; the others are summed up.
	maxAccountMetrics = 64
	otherAccounts     = "other"
)

// publishAccounts sets the metrics of the client accounts until ctx is done.
func (o *Owner) publishAccounts(ctx context.Context) {
	for pause.For(ctx, accountMetricsInterval) {
		statuses, err := queryLoop(ctx, o, func(time.Duration) []dispatch.AccountStatus { return o.dispatcher.AccountStatuses() })
		if err != nil {
			return
		}
		for _, s := range boundAccounts(statuses) {
			scope := o.opts.Scope.Tagged(map[string]string{"account": s.Name})
			scope.Gauge("account_waiting").Update(float64(s.Waiting))
			scope.Gauge("account_waiting_beyond_rate").Update(float64(s.BeyondRate))
			scope.Gauge("account_cpu_cores").Update(float64(s.Usage.MilliCPU) / 1000)
			scope.Gauge("account_quota_cpu_cores").Update(float64(s.Quota.MilliCPU) / 1000)
			scope.Gauge("account_share").Update(s.Share)
		}
	}
}

// boundAccounts sums up the accounts after the first maxAccountMetrics.
func boundAccounts(statuses []dispatch.AccountStatus) []dispatch.AccountStatus {
	if len(statuses) <= maxAccountMetrics {
		return statuses
	}
	other := dispatch.AccountStatus{Name: otherAccounts}
	for _, s := range statuses[maxAccountMetrics:] {
		other.Waiting += s.Waiting
		other.BeyondRate += s.BeyondRate
		other.Usage = other.Usage.Add(s.Usage)
		other.Share += s.Share
	}
	return append(statuses[:maxAccountMetrics:maxAccountMetrics], other)
}
