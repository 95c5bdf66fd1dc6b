package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"filbertcross/platform/standin"
)

// Accounts of the soak.
const (
	accountCount  = 2
	accountWeight = 9                     // submissions a second; the load is below it but for floods
	highQuota     = 80000                 // millicores
	lowQuota      = 50000                 // about what the load of an account needs
	floodInterval = 15 * time.Millisecond // between the submissions of a flood, several times the rate of an account
	keyBound      = 4 * time.Second       // config-apply-ms of the stand-in's settings, and the time to become current again after the last fault
)

// accounts are the accounts of a soak. Each has two keys; the older one is withdrawn when a new one is
// added. Safe for concurrent use.
type accounts struct {
	mu         sync.Mutex
	generation int // of the newest keys
	floodUntil time.Time
}

func accountName(i int) string { return fmt.Sprint("account-", i) }

func keyOf(account, generation int) string { return fmt.Sprintf("key-%d-%d", account, generation) }

// currentKey returns the newest key of an account.
func (a *accounts) currentKey(account int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return keyOf(account, a.generation)
}

func (a *accounts) flooding() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.floodUntil)
}

func (a *accounts) flood(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.floodUntil = time.Now().Add(d)
}

// changeAccounts adds a key to each account, withdraws the oldest, and changes the quotas. The next
// configuration has them.
func (r *soakRun) changeAccounts() {
	r.accounts.mu.Lock()
	defer r.accounts.mu.Unlock()
	r.accounts.generation++
	g := r.accounts.generation
	quota := int64(highQuota)
	if g%2 == 0 {
		quota = lowQuota
	}
	var list []standin.Account
	for i := range accountCount {
		list = append(list, standin.Account{Name: accountName(i), Keys: []string{keyOf(i, g), keyOf(i, g-1)}, Weight: accountWeight, QuotaCPU: quota})
	}
	r.platform.SetAccounts(list...)
}

// checkKeys checks that every VM accepts the newest keys and refuses the one withdrawn last. It is
// called long after the last change.
func (r *soakRun) checkKeys(ctx context.Context) {
	r.accounts.mu.Lock()
	g := r.accounts.generation
	r.accounts.mu.Unlock()
	for _, v := range r.vms {
		var newest, withdrawn int
		for deadline := time.Now().Add(keyBound); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			newest, withdrawn = r.keyStatus(ctx, v, keyOf(0, g)), r.keyStatus(ctx, v, keyOf(0, g-2))
			if newest == http.StatusOK && withdrawn == http.StatusUnauthorized {
				break
			}
		}
		if newest != http.StatusOK || withdrawn != http.StatusUnauthorized {
			r.platform.Checker.AddViolation("CONFIG: %s responds with %d to the newest key and with %d to a withdrawn one", v.name, newest, withdrawn)
		}
	}
}

// keyStatus returns the status of the response of a VM to a query with the key.
func (r *soakRun) keyStatus(ctx context.Context, v *vm, key string) int {
	return r.statusOf(ctx, v, key, standin.QueuePrefix)
}

// statusOf returns the status of the response of a VM to a GET; 0: none.
func (r *soakRun) statusOf(ctx context.Context, v *vm, key, path string) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := standin.Client{HTTP: r.client, Key: key}
	status, _, err := client.Do(ctx, http.MethodGet, v.callerAddress, path, "")
	if err != nil {
		return 0
	}
	return status
}
