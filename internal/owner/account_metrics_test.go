package owner

import (
	"fmt"
	"testing"

	"filbertcross/internal/dispatch"
)

// Guards against metrics whose number grows with the number of accounts.
func TestAccountMetricsAreBounded(t *testing.T) {
	var statuses []dispatch.AccountStatus
	for i := range 260 {
		statuses = append(statuses, dispatch.AccountStatus{Name: fmt.Sprint("a", i), Waiting: 1})
	}
	bounded := boundAccounts(statuses)
	last := bounded[len(bounded)-1]
	if len(bounded) != maxAccountMetrics+1 || last.Name != otherAccounts || last.Waiting != 260-maxAccountMetrics {
		t.Fatalf("%d accounts, the last is %+v", len(bounded), last)
	}
}
