package leastshare_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/leastshare"
)

// entry plays requests that arrive at one entry. Requests that are not assured are
// served with a share of their operation, each second to the same number.
type entry struct {
	ledger *leastshare.Tracker
	now    time.Time
	// arrived and assured count since the last reset.
	arrived map[string]int
	served  map[string]int
	assured map[string]int
}

func newEntry() *entry {
	e := &entry{ledger: leastshare.New(), now: time.Unix(1000, 0)}
	e.reset()
	return e
}

func (e *entry) reset() {
	e.arrived, e.served, e.assured = map[string]int{}, map[string]int{}, map[string]int{}
}

// load is what arrives of an operation.
type load struct {
	operation string
	least     float64
	// serves tells whether the i-th request is served in the order of classes.
	serves func(i int) bool
	// assuredEnd is what becomes of assured requests.
	assuredEnd leastshare.Result
}

func all(int) bool  { return true }
func none(int) bool { return false }

// play lets the loads arrive one after the other, each 20 times a second.
func (e *entry) play(length time.Duration, loads ...load) {
	const each = 50 * time.Millisecond
	for end := e.now.Add(length); e.now.Before(end); e.now = e.now.Add(each) {
		for _, l := range loads {
			e.request(l)
		}
	}
}

func (e *entry) request(l load) {
	assured := e.ledger.RecordArrival(e.now, l.operation, l.least)
	e.arrived[l.operation]++
	result := leastshare.Refused
	switch {
	case assured:
		e.assured[l.operation]++
		result = l.assuredEnd
	case l.serves(e.arrived[l.operation]):
		result = leastshare.Served
	}
	if result == leastshare.Served {
		e.served[l.operation]++
	}
	e.ledger.RecordResult(e.now, l.operation, assured, result)
}

func (e *entry) share(operation string) float64 {
	return float64(e.served[operation]) / float64(e.arrived[operation])
}

const (
	orders = "orders"
	checks = "stock checks"
)

// Guards against a class that ends at nothing while higher ones take all room.
func TestOperationThatIsNotServedGetsItsLeastShare(t *testing.T) {
	e := newEntry()
	important := load{orders, 0.2, all, leastshare.Served}
	shed := load{checks, 0.2, none, leastshare.Served}
	e.play(10*time.Second, important, shed)
	require.InDelta(t, 0.2, e.share(checks), 0.02)
	require.Zero(t, e.assured[orders], "nothing is owed to what is served anyway")
}

// Guards against room that is taken from important requests during a short burst,
// and against a class that waits for its share for long.
func TestShortBurstDoesNotPay(t *testing.T) {
	e := newEntry()
	important := load{orders, 0.1, all, leastshare.Served}
	e.play(10*time.Second, important, load{checks, 0.1, all, leastshare.Served})
	require.Empty(t, e.assured)
	e.reset()
	e.play(3*time.Second, important, load{checks, 0.1, none, leastshare.Served})
	require.Zero(t, e.assured[checks])
	e.play(4*time.Second, important, load{checks, 0.1, none, leastshare.Served})
	require.NotZero(t, e.assured[checks])
}

// Guards against an operation that gets more than its share because its requests
// fail for a reason that no admission mends.
func TestFailuresAreNotMadeUpFor(t *testing.T) {
	e := newEntry()
	important := load{orders, 0.2, all, leastshare.Served}
	e.play(20*time.Second, important, load{checks, 0.2, none, leastshare.Failed})
	require.LessOrEqual(t, float64(e.assured[checks])/float64(e.arrived[checks]), 0.21)
}

// Guards against debt that piles up while nothing can be served, and is paid at once
// afterwards at the cost of important requests.
func TestDebtIsBounded(t *testing.T) {
	e := newEntry()
	e.play(time.Minute, load{orders, 0.1, none, leastshare.Refused}, load{checks, 0.1, none, leastshare.Refused})
	e.reset()
	e.play(5*time.Second, load{orders, 0.1, all, leastshare.Served}, load{checks, 0.1, none, leastshare.Served})
	require.LessOrEqual(t, e.assured[checks], 2+10+1, "what was owed, a tenth of 100 requests, and rounding")
}

// Guards against a large operation of a low class that takes all of the little room
// that is left, and against one that is starved although nearly all others are served.
func TestLeastShareIsBoundedByWhatAllGet(t *testing.T) {
	e := newEntry()
	twentieth := load{orders, 0.5, func(i int) bool { return i%20 == 0 }, leastshare.Refused}
	e.play(10*time.Second, twentieth, load{checks, 0.5, none, leastshare.Served})
	require.Less(t, e.share(checks), 0.1, "half of what all get, not half of its requests")

	e = newEntry()
	many := []load{{"a", 0.01, all, leastshare.Served}, {"b", 0.01, all, leastshare.Served}, {"c", 0.01, all, leastshare.Served}}
	e.play(20*time.Second, append(many, load{checks, 0.01, none, leastshare.Served})...)
	require.Greater(t, e.share(checks), 0.18, "a quarter of what all get")
}

// Guards against an operation without a share because no other one arrives at its
// entry, and against a share where operators want none.
func TestOperationAloneAndOperationWithoutShare(t *testing.T) {
	e := newEntry()
	e.play(10*time.Second, load{checks, 0.1, none, leastshare.Served})
	require.InDelta(t, 0.1, e.share(checks), 0.02)
	e = newEntry()
	e.play(10*time.Second, load{orders, 0.1, all, leastshare.Served}, load{checks, 0, none, leastshare.Served})
	require.Zero(t, e.share(checks))
}

// Guards against a share that a node of a large fleet never gives, because it sees
// few requests of an operation.
func TestFewRequestsGetTheirShareToo(t *testing.T) {
	e := newEntry()
	for range 200 {
		e.request(load{orders, 0.1, all, leastshare.Served})
		e.request(load{checks, 0.1, none, leastshare.Served})
		e.now = e.now.Add(2 * time.Second)
	}
	require.InDelta(t, 0.1, e.share(checks), 0.03)
}

// Guards against a share whose use the logs do not show.
func TestReportCountsWhatBecameOfRequests(t *testing.T) {
	e := newEntry()
	require.Empty(t, e.ledger.Report(e.now))
	e.play(900*time.Millisecond, load{orders, 0.5, all, leastshare.Served}, load{checks, 0.5, none, leastshare.Served})
	require.Empty(t, e.ledger.Report(e.now), "before the period is over")
	e.now = e.now.Add(100 * time.Millisecond)
	report := e.ledger.Report(e.now)
	require.Len(t, report, 1, "nothing was refused or assured of the other operation")
	counts := report[0]
	require.Equal(t, checks, counts.Operation)
	require.Equal(t, e.arrived[checks], counts.Arrived)
	require.Equal(t, e.assured[checks], counts.Assured)
	require.Equal(t, counts.Arrived, counts.Served+counts.Refused)
	require.NotZero(t, counts.LeastShare)
	e.now = e.now.Add(time.Second)
	require.Empty(t, e.ledger.Report(e.now))
}

// Guards against accounts of operations that a change of the configuration removed,
// which would keep new operations from having one in a process that lives for long.
func TestAccountsOfOperationsThatNoLongerComeAreDropped(t *testing.T) {
	e := newEntry()
	for i := range 20000 {
		name := fmt.Sprintf("operation %d", i)
		e.ledger.RecordArrival(e.now, name, 0.2)
		e.ledger.RecordResult(e.now, name, false, leastshare.Refused)
		e.now = e.now.Add(100 * time.Millisecond)
	}
	e.play(10*time.Second, load{orders, 0.2, all, leastshare.Served}, load{checks, 0.2, none, leastshare.Served})
	require.InDelta(t, 0.2, e.share(checks), 0.03)
}
