package relay

import (
	"sync"
	"sync/atomic"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/telemetry"
)

// maxCountedAccounts limits the number of client accounts whose requests are counted
// separately. The requests of further ones are counted under telemetry.OtherAccount.
const maxCountedAccounts = 10_000

// accountCounts counts the root requests of one client account by result.
type accountCounts struct {
	// completed counts complete responses of targets, overQuota and refused the requests
	// that have not run, and unknown those that may have run.
	completed, overQuota, refused, unknown atomic.Uint64
}

// add counts a request.
func (c *accountCounts) add(o outcome.Outcome, reason outcome.Reason) {
	switch {
	case o == outcome.Completed:
		c.completed.Add(1)
	case o != outcome.NotRun:
		c.unknown.Add(1)
	case reason == outcome.QuotaExceeded:
		c.overQuota.Add(1)
	default:
		c.refused.Add(1)
	}
}

// accountUse counts the root requests of all client accounts at this node. It is safe for
// concurrent use.
type accountUse struct {
	mu     sync.RWMutex
	byName map[string]*accountCounts
}

func newAccountUse() *accountUse { return &accountUse{byName: make(map[string]*accountCounts)} }

// add counts a request of an account. An empty name stands for none.
func (u *accountUse) add(name string, o outcome.Outcome, reason outcome.Reason) {
	if name != "" {
		u.get(name).add(o, reason)
	}
}

// get returns the counts of an account, which it creates on first use.
func (u *accountUse) get(name string) *accountCounts {
	if found := u.find(name); found != nil {
		return found
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.byName) >= maxCountedAccounts && u.byName[name] == nil {
		name = telemetry.OtherAccount
	}
	if u.byName[name] == nil {
		u.byName[name] = &accountCounts{}
	}
	return u.byName[name]
}

// find returns the counts of an account, or nil if it has none.
func (u *accountUse) find(name string) *accountCounts {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return u.byName[name]
}

// names returns the names of the accounts that have counts.
func (u *accountUse) names() []string {
	u.mu.RLock()
	defer u.mu.RUnlock()
	names := make([]string, 0, len(u.byName))
	for name := range u.byName {
		names = append(names, name)
	}
	return names
}

// sample returns the values of the metrics.
func (u *accountUse) sample() []telemetry.AccountSample {
	var samples []telemetry.AccountSample
	for _, name := range u.names() {
		c := u.find(name)
		samples = append(samples,
			telemetry.AccountSample{Account: name, Result: "completed", Count: c.completed.Load()},
			telemetry.AccountSample{Account: name, Result: "over_quota", Count: c.overQuota.Load()},
			telemetry.AccountSample{Account: name, Result: "refused", Count: c.refused.Load()},
			telemetry.AccountSample{Account: name, Result: "unknown", Count: c.unknown.Load()})
	}
	return samples
}
