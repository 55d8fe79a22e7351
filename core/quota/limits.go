// Package quota limits what a client account has running across all nodes.
//
// A token allows one root request to run. Each account has a few owners among the
// members, and each owner fills a bucket of tokens for its part of the quota. Entry nodes
// hold leases on tokens, so that a request does not wait for the network. An owner counts
// the tokens on lease as part of its bucket until they are reported as spent or the lease
// has expired. What the bucket and the leases hold together therefore never exceeds the
// capacity, and all entries together spend in a window of length W at most the capacity
// plus what is filled in W, regardless of failures, partitions and lost messages.
//
// An account with fewer tokens than there are entries cannot have one at each of them. An
// entry without a token therefore lets one request run on credit and reports it at once;
// the owner's bucket pays for it. See Limits for what bounds the credit.
//
// The package has no clock, I/O or goroutine: times are passed in.
package quota

import (
	"time"

	"github.com/primrosemount/primrosemount/core/account"
)

// Defaults of Rules.
const (
	DefaultWindow  = 5 * time.Second
	DefaultOverage = 0.1
	DefaultSlack   = 20
)

// Rules are the bound on the root requests of an account that run in any window:
// (rate x Window + burst) x (1 + Overage) + Slack.
type Rules struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Owed returns the requests that an account may make in a window without being refused.
func (r Rules) Owed(rate, burst float64) float64 { return rate*r.Window.Seconds() + burst }

// Bound returns the maximum number of requests that may run in any window.
func (r Rules) Bound(rate, burst float64) float64 {
	return r.Owed(rate, burst)*(1+r.Overage) + r.Slack
}

const (
	// maxOwners is the maximum number of owners of an account without extra owners. Each
	// failed owner costs its part of the quota.
	maxOwners = 4
	// extraOwnerRate is the rate for each further owner, beyond what maxOwners cover.
	// All entries exchange with the owners of a large account in each period, so their
	// number limits the messages that one owner receives.
	extraOwnerRate = 250
	// minOwners is the number of owners of a small account: one of them may fail.
	minOwners = 2
	// minOwnerCapacity is the capacity in tokens that is worth an owner of its own.
	// Requests of a small account that arrive close together at entries of the same
	// owner exhaust a smaller bucket although the other owners have tokens.
	minOwnerCapacity = 6
	// capacitySeconds is the ratio of capacity and rate that leaves tokens for the
	// leases of all entries between two exchanges.
	capacitySeconds = 0.45
	// rateShare is the part of the overage that the rate of a small account may use. The
	// rest makes its buckets larger, which helps more against requests that arrive close
	// together.
	rateShare = 0.75
	// creditShare is the maximum part of the margin that is reserved for credit.
	creditShare = 0.3
)

// Limits are the quota of an account as its owners apply it.
//
// A window admits at most Capacity + Rate x window from buckets, plus Credit: the
// requests that run on credit while the owners have no token and the entries do not know
// it yet. Each entry runs at most one of these, so Credit covers all of them if it is the
// number of members. Credit of a small account is less, and covers as many entries without
// a token that receive a request of the account within one exchange period.
type Limits struct {
	// Rate is the number of tokens per second, and Capacity the number of tokens that
	// buckets and leases hold together.
	Rate     float64
	Capacity float64
	// Credit is the part of the margin that is reserved for requests on credit.
	Credit float64
	// Owners is the number of owners; each has an equal part.
	Owners int
	// Configured is the configured rate, to which loads refer.
	Configured float64
}

// LimitsOf returns the limits of an account in a fleet with a number of members.
//
// The rate exceeds the configured one, because rate x window + burst is owed in each
// window: a bucket that fills at the configured rate would refuse a sustained demand above
// it after the first window.
func LimitsOf(rules Rules, a *account.Account, members int) Limits {
	owed := rules.Owed(a.RatePerSecond, a.Burst)
	margin := rules.Bound(a.RatePerSecond, a.Burst) - owed
	credit := min(float64(members), creditShare*margin)
	total := owed + margin - credit
	window := rules.Window.Seconds()
	rate := min(total/(window+capacitySeconds), owed*(1+rules.Overage*rateShare)/window)
	capacity := total - rate*window
	return Limits{
		Rate: rate, Capacity: capacity, Credit: credit, Configured: a.RatePerSecond,
		Owners: max(min(max(int(capacity/minOwnerCapacity), minOwners), maxOwners), int(rate/extraOwnerRate)),
	}
}
