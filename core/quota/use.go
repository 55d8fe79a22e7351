package quota

import (
	"cmp"
	"slices"
	"time"
)

// A Use is the use of one quota at this entry.
type Use struct {
	Account string
	// Rate is the configured rate of the quota.
	Rate float64
	// Used is the number of requests admitted per second here, and Held the number of
	// tokens held.
	Used float64
	Held uint32
	// Load is the load of the account at all entries; 0 if it is not known.
	Load float64
	// Age is the time since an owner last responded; negative if none has.
	Age time.Duration
}

// Snapshot returns the use of the quotas that had requests lately, by account.
func (e *Entry) Snapshot(now time.Time) []Use {
	e.mu.RLock()
	defer e.mu.RUnlock()
	uses := make([]Use, 0, len(e.accounts))
	for _, a := range e.accounts {
		uses = append(uses, a.use(now, e.view.limits[a.name].Configured))
	}
	slices.SortFunc(uses, func(a, b Use) int { return cmp.Compare(a.Account, b.Account) })
	return uses
}

func (a *entryAccount) use(now time.Time, rate float64) Use {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := Use{Account: a.name, Rate: rate, Used: max(a.used.rate(now), 0), Held: a.tokens(now), Age: a.age(now)}
	if now.Sub(a.loadAt) < loadExpiry {
		u.Load = a.load
	}
	return u
}
