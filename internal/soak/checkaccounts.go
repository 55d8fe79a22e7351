package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of the quotas of client accounts, as the settings of the nodes give them by
// default: in each quotaWindow, an account runs at most what its rate and burst allow, by
// the part quotaOverage and quotaSlack requests more.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

const (
	// minOwedServed is the part of what an account may run that must not be refused
	// after the recovery, and refusedSlack the number of refusals that do not count.
	minOwedServed = 0.9
	refusedSlack  = 10
)

// checkAccounts checks the rules about client accounts and their keys.
func (c *checker) checkAccounts() {
	for _, a := range c.Attempts {
		c.checkUnauthorized(a)
		if strings.Contains(a.ResponseBody, keyPrefix) {
			c.find("LEAK", a.ID, "a response with status %d contains a key", a.Status)
		}
	}
	for _, a := range c.Arrivals {
		if a.KeyIn != "" {
			c.find("LEAK", a.ID, "reached %s with a key in the %s", a.TargetID, a.KeyIn)
		}
		c.checkAccountOf(a)
	}
	for _, leak := range c.LogLeaks {
		c.find("LEAK", "", "the log of a node contains a key: %s", leak)
	}
	c.checkQuotas()
	c.checkQuotaRefusals()
}

// nameOf returns the name of the account that holds the key, and whether there is one.
func (c *Change) nameOf(key string) (string, bool) {
	for _, a := range c.Accounts {
		if slices.Contains(a.Keys, key) {
			return a.Name, true
		}
	}
	return "", false
}

// rootOf returns the id of the root request of a request. The id of a call is that of its
// parent, a dot and a suffix; the ids of clients contain no dot.
func rootOf(id string) string {
	root, _, _ := strings.Cut(id, ".")
	return root
}

// applicable returns the generations that the node may have used for a request that it
// received and decided on between two times: the newest one that the store acknowledged
// configApply before, and those written since. If the VM was disturbed, each generation
// that was written so far may be in use.
func (c *checker) applicable(vm int, from, to time.Time) []*Change {
	bound := from.Add(-configApply)
	inForce := 0
	if c.vmHealthy(vm, bound, to) {
		for _, change := range c.Changes {
			if change.Acked.Before(bound) {
				inForce = max(inForce, change.Generation)
			}
		}
	}
	var list []*Change
	for i, change := range c.Changes {
		if change.Generation >= inForce && !change.Sent.After(to) {
			list = append(list, &c.Changes[i])
		}
	}
	return list
}

// checkUnauthorized finds requests with status 401 although every generation that the
// node may have used accepts them.
func (c *checker) checkUnauthorized(a *Attempt) {
	if a.Status != http.StatusUnauthorized {
		return
	}
	for _, change := range c.applicable(a.VM, a.Sent, a.Ended) {
		if _, held := change.nameOf(a.Key); len(change.Accounts) > 0 && !held && a.needsKey() {
			return
		}
	}
	c.find("DENIED", a.ID, "got status 401 from VM %d although its key %q was valid, or it needs none", a.VM+1, a.Key)
}

// needsKey reports whether the request is one of a client on a route that is not public.
func (a *Attempt) needsKey() bool { return a.Route != RouteGeneration && rootOf(a.ID) == a.ID }

// checkAccountOf checks that a request that reached a target was allowed to, and carries
// the account of its root request. Both are decided by a generation that the entry node
// of the root request may have used.
func (c *checker) checkAccountOf(a Arrival) {
	root := c.attempts[rootOf(a.ID)]
	if root == nil || len(c.Changes) == 0 {
		// If nobody sent it, checkArrival reports it.
		return
	}
	allowed, accounts := false, []string(nil)
	for _, change := range c.applicable(root.VM, root.Sent, c.decidedBy(root, a)) {
		name, held := change.nameOf(root.Key)
		if held || len(change.Accounts) == 0 || !root.needsKey() {
			allowed = true
			accounts = append(accounts, name)
		}
	}
	switch {
	case !allowed:
		c.find("KEY", a.ID, "reached %s, but no account held the key %q of its root request %s", a.TargetID, root.Key, root.ID)
	case !slices.Contains(accounts, a.Account):
		c.find("TENANT", a.ID, "reached %s with the account %q instead of one of %q", a.TargetID, a.Account, accounts)
	}
}

// decidedBy returns the time by which the entry node has decided about the key of a root
// request, given an arrival of it or of one of its calls: before it first reached a
// target.
func (c *checker) decidedBy(root *Attempt, a Arrival) time.Time {
	if list := c.arrivals[root.ID]; len(list) > 0 && list[0].At.Before(a.At) {
		return list[0].At
	}
	return a.At
}

// checkQuotas finds windows in which the targets ran more root requests of an account
// than its quota allows. A request that ran several times counts once.
func (c *checker) checkQuotas() {
	ran := c.runsByAccount()
	bound := c.bindings()
	for _, name := range accountNames {
		times := ran[name]
		for i, end := range times {
			count := i + 1 - indexFrom(times, end.Add(-quotaWindow))
			limit, limited := c.quotaLimit(name, end, bound)
			if limited && float64(count) > limit {
				c.find("QUOTA", "", "%d requests of %s ran in the 5 s until %s; its quota allows %.0f", count, name, formatTime(end), limit)
				break
			}
		}
	}
}

// runsByAccount returns the times at which the root requests of each account first ran,
// in order. The account is the one that held the key of the request in any generation:
// keys never move between accounts.
func (c *checker) runsByAccount() map[string][]time.Time {
	ran := make(map[string][]time.Time)
	seen := make(map[string]bool)
	for _, a := range c.Arrivals {
		sent := c.attempts[a.ID]
		if sent == nil || !a.Ran || seen[a.ID] || rootOf(a.ID) != a.ID {
			continue
		}
		seen[a.ID] = true
		if name := c.holder(sent.Key); name != "" {
			ran[name] = append(ran[name], a.At)
		}
	}
	return ran
}

// holder returns the account that held a key in any generation, or an empty string.
func (c *checker) holder(key string) string {
	for i := range c.Changes {
		if name, held := c.Changes[i].nameOf(key); held {
			return name
		}
	}
	return ""
}

// storeReturn is a return of the store from a copy, which may bring earlier generations
// back from a time until the newest one binds all nodes again.
type storeReturn struct{ from, again time.Time }

// bindings states when the changes bound all nodes.
type bindings struct {
	// from holds the time for each change. It is zero if there is no such time.
	from    []time.Time
	returns []storeReturn
}

// bindings returns when the changes bound all nodes.
func (c *checker) bindings() bindings {
	vms := c.vmCount()
	b := bindings{from: make([]time.Time, len(c.Changes))}
	for i, change := range c.Changes {
		b.from[i] = c.inForceEverywhere(vms, change.Acked.Add(configApply))
	}
	for _, d := range c.Disturbances {
		if d.Kind == StoreReturns {
			b.returns = append(b.returns, storeReturn{from: d.From, again: c.inForceEverywhere(vms, d.To)})
		}
	}
	return b
}

// inForceEverywhere returns the first time from which on each VM has once been
// undisturbed for configApply. It is zero if there is no such time.
func (c *checker) inForceEverywhere(vms int, at time.Time) time.Time {
	everywhere := at
	for vm := range vms {
		healthy, found := c.nextHealthy(vm, at)
		if !found {
			return time.Time{}
		}
		if healthy.After(everywhere) {
			everywhere = healthy
		}
	}
	return everywhere
}

// vmCount returns the number of VMs to which requests were sent.
func (c *checker) vmCount() int {
	count := 0
	for _, a := range c.Attempts {
		count = max(count, a.VM+1)
	}
	return count
}

// nextHealthy returns the first time, not before at, by which a VM has been undisturbed
// for configApply. It is false if a disturbance has no end.
func (c *checker) nextHealthy(vm int, at time.Time) (time.Time, bool) {
	for !c.vmHealthy(vm, at.Add(-configApply), at) {
		latest := at
		for _, d := range c.Disturbances {
			if d.Kind.harmless() || d.VM != vm && d.VM != allVMs || !d.From.Before(at) {
				continue
			}
			if d.To.IsZero() {
				return time.Time{}, false
			}
			if to := d.To.Add(settleTime + configApply + time.Millisecond); to.After(latest) {
				latest = to
			}
		}
		at = latest
	}
	return at, true
}

// quotaLimit returns the number of requests that an account may run in the window that
// ends at a time, and whether there is a limit. Each quota counts that may have been in
// force in the window or, as a lowered quota binds one window after it is in force
// everywhere, in the window before.
func (c *checker) quotaLimit(name string, end time.Time, bound bindings) (float64, bool) {
	limit := 0.0
	for i, change := range c.Changes {
		if change.Sent.After(end) || c.replaced(i, end.Add(-quotaWindow), bound) {
			continue
		}
		for _, a := range change.Accounts {
			if a.Name != name {
				continue
			}
			if a.Rate == 0 {
				return 0, false
			}
			limit = max(limit, (a.Rate*quotaWindow.Seconds()+a.Burst)*(1+quotaOverage)+quotaSlack)
		}
	}
	return limit, limit > 0
}

// replaced reports whether a later change bound all nodes before a time and, if a return
// of the store from a copy has begun by the end of the window, again after it.
func (c *checker) replaced(change int, at time.Time, b bindings) bool {
	for _, r := range b.returns {
		if r.from.Before(at.Add(quotaWindow)) && (r.again.IsZero() || !r.again.Before(at)) {
			return false
		}
	}
	for later, from := range b.from {
		if c.Changes[later].Generation > c.Changes[change].Generation && !from.IsZero() && from.Before(at) {
			return true
		}
	}
	return false
}

// quotaRefused reports whether the request got the status for an account over its quota
// and carries the key of an account that has one.
func (c *checker) quotaRefused(a *Attempt) bool {
	if a.Status != http.StatusTooManyRequests {
		return false
	}
	for i := range c.Changes {
		for _, account := range c.Changes[i].Accounts {
			if account.Rate > 0 && slices.Contains(account.Keys, a.Key) {
				return true
			}
		}
	}
	return false
}

// callOfAbandoned reports whether the request is a call that was refused with status 503
// after the client of its root request had closed the connection. The node has then ended
// the root request, so it does not know the account of a call that the target still makes.
func (c *checker) callOfAbandoned(a *Attempt) bool {
	root := c.attempts[rootOf(a.ID)]
	return a.Status == http.StatusServiceUnavailable && root != nil && root != a &&
		root.GaveUp && root.Ended.Before(a.Ended) && c.holder(root.Key) != ""
}

// checkQuotaRefusals finds accounts that, after the recovery, were refused much of what
// their lowest quota allows.
func (c *checker) checkQuotaRefusals() {
	if c.FaultsEnded.IsZero() {
		return
	}
	recovered := c.FaultsEnded.Add(RecoveryBound)
	asked, refused := make(map[string]int), make(map[string]int)
	var span time.Duration
	for _, a := range c.Attempts {
		if a.Sent.Before(recovered) || c.stalled(a.Sent, a.Ended) || rootOf(a.ID) != a.ID {
			continue
		}
		name := c.holder(a.Key)
		span = a.Sent.Sub(recovered)
		asked[name]++
		if c.quotaRefused(a) {
			refused[name]++
		}
	}
	for _, name := range accountNames {
		owed := min(float64(asked[name]), c.lowestRate(name)*span.Seconds())
		if float64(refused[name]) > float64(asked[name])-minOwedServed*owed+refusedSlack {
			c.find("RECOVER", "", "%d of %d requests of %s were refused by its quota after the last fault; it may run %.0f", refused[name], asked[name], name, owed)
		}
	}
}

// lowestRate returns the lowest rate of an account's quota in any generation.
func (c *checker) lowestRate(name string) float64 {
	lowest := -1.0
	for _, change := range c.Changes {
		for _, a := range change.Accounts {
			if a.Name == name && a.Rate > 0 && (lowest < 0 || a.Rate < lowest) {
				lowest = a.Rate
			}
		}
	}
	return max(lowest, 0)
}
