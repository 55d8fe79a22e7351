package leastshare_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/leastshare"
)

// entry simulates the requests that arrive at one entry node. Each load determines
// which of its requests are served in the order of classes if they are not assured.
type entry struct {
	tracker *leastshare.Tracker
	now     time.Time
	// arrived, served and assured count the requests since the last reset.
	arrived map[string]int
	served  map[string]int
	assured map[string]int
}

func newEntry() *entry {
	e := &entry{tracker: leastshare.New(), now: time.Unix(1000, 0)}
	e.reset()
	return e
}

func (e *entry) reset() {
	e.arrived, e.served, e.assured = map[string]int{}, map[string]int{}, map[string]int{}
}

// load describes the requests of one operation.
type load struct {
	operation  string
	leastShare float64
	// serves reports whether the i-th request is served in the order of classes.
	serves func(i int) bool
	// assuredResult is the result of assured requests.
	assuredResult leastshare.Result
}

func always(int) bool { return true }
func never(int) bool  { return false }

// run simulates the loads for a period. Each load has 20 requests per second.
func (e *entry) run(length time.Duration, loads ...load) {
	const interval = 50 * time.Millisecond
	for end := e.now.Add(length); e.now.Before(end); e.now = e.now.Add(interval) {
		for _, l := range loads {
			e.request(l)
		}
	}
}

func (e *entry) request(l load) {
	assured := e.tracker.RecordArrival(e.now, l.operation, l.leastShare)
	e.arrived[l.operation]++
	result := leastshare.Refused
	switch {
	case assured:
		e.assured[l.operation]++
		result = l.assuredResult
	case l.serves(e.arrived[l.operation]):
		result = leastshare.Served
	}
	if result == leastshare.Served {
		e.served[l.operation]++
	}
	e.tracker.RecordResult(e.now, l.operation, assured, result)
}

func (e *entry) share(operation string) float64 {
	return float64(e.served[operation]) / float64(e.arrived[operation])
}

const (
	orders = "orders"
	checks = "stock checks"
)

// Guards against an operation that gets nothing while more important ones use the whole
// capacity.
func TestUnservedOperationGetsLeastShare(t *testing.T) {
	e := newEntry()
	important := load{orders, 0.2, always, leastshare.Served}
	shed := load{checks, 0.2, never, leastshare.Served}
	e.run(10*time.Second, important, shed)
	require.InDelta(t, 0.2, e.share(checks), 0.02)
	require.Zero(t, e.assured[orders], "an operation that is served has no deficit")
}

// Guards against taking capacity from important requests during a short shortage, and
// against an operation that waits too long for its least share in a longer one.
func TestCreditDelaysLeastShare(t *testing.T) {
	e := newEntry()
	important := load{orders, 0.1, always, leastshare.Served}
	e.run(10*time.Second, important, load{checks, 0.1, always, leastshare.Served})
	require.Empty(t, e.assured)
	e.reset()
	e.run(3*time.Second, important, load{checks, 0.1, never, leastshare.Served})
	require.Zero(t, e.assured[checks])
	e.run(4*time.Second, important, load{checks, 0.1, never, leastshare.Served})
	require.NotZero(t, e.assured[checks])
}

// Guards against an operation that gets more than its least share because its assured
// requests fail for a reason that admission cannot change.
func TestFailedAssuredRequestsAreNotCompensated(t *testing.T) {
	e := newEntry()
	important := load{orders, 0.2, always, leastshare.Served}
	e.run(20*time.Second, important, load{checks, 0.2, never, leastshare.Failed})
	require.LessOrEqual(t, float64(e.assured[checks])/float64(e.arrived[checks]), 0.21)
}

// Guards against an unbounded deficit that accumulates while no request can be served
// and is then compensated at the cost of important requests.
func TestDeficitIsBounded(t *testing.T) {
	e := newEntry()
	e.run(time.Minute, load{orders, 0.1, never, leastshare.Refused}, load{checks, 0.1, never, leastshare.Refused})
	e.reset()
	e.run(5*time.Second, load{orders, 0.1, always, leastshare.Served}, load{checks, 0.1, never, leastshare.Served})
	require.LessOrEqual(t, e.assured[checks], 2+10+1, "maximum deficit, a tenth of 100 requests, and rounding")
}

// Guards against a large operation of a low class that uses the little capacity left,
// and against an operation that gets almost nothing although nearly all others are
// served.
func TestLeastShareIsBoundedByServedShare(t *testing.T) {
	e := newEntry()
	overloaded := load{orders, 0.5, func(i int) bool { return i%20 == 0 }, leastshare.Refused}
	e.run(10*time.Second, overloaded, load{checks, 0.5, never, leastshare.Served})
	require.Less(t, e.share(checks), 0.1, "half of the share of all served requests, not half of its own requests")

	e = newEntry()
	many := []load{{"a", 0.01, always, leastshare.Served}, {"b", 0.01, always, leastshare.Served}, {"c", 0.01, always, leastshare.Served}}
	e.run(20*time.Second, append(many, load{checks, 0.01, never, leastshare.Served})...)
	require.Greater(t, e.share(checks), 0.18, "a quarter of the share of all served requests")
}

// Guards against an operation without a least share because it is the only one at its
// entry node, and against assured requests where operators set the least share to 0.
func TestSoleOperationAndZeroLeastShare(t *testing.T) {
	e := newEntry()
	e.run(10*time.Second, load{checks, 0.1, never, leastshare.Served})
	require.InDelta(t, 0.1, e.share(checks), 0.02)
	e = newEntry()
	e.run(10*time.Second, load{orders, 0.1, always, leastshare.Served}, load{checks, 0, never, leastshare.Served})
	require.Zero(t, e.share(checks))
}

// Guards against a node in a large fleet that never assures a request because it
// receives few requests of an operation.
func TestLeastShareAtLowRequestRate(t *testing.T) {
	e := newEntry()
	for range 200 {
		e.request(load{orders, 0.1, always, leastshare.Served})
		e.request(load{checks, 0.1, never, leastshare.Served})
		e.now = e.now.Add(2 * time.Second)
	}
	require.InDelta(t, 0.1, e.share(checks), 0.03)
}

// Guards against reports that omit requests that were assured or rejected.
func TestReportCountsResults(t *testing.T) {
	e := newEntry()
	require.Empty(t, e.tracker.Report(e.now))
	e.run(900*time.Millisecond, load{orders, 0.5, always, leastshare.Served}, load{checks, 0.5, never, leastshare.Served})
	require.Empty(t, e.tracker.Report(e.now), "the report period is not over")
	e.now = e.now.Add(100 * time.Millisecond)
	report := e.tracker.Report(e.now)
	require.Len(t, report, 1, "no request of the other operation was rejected or assured")
	counts := report[0]
	require.Equal(t, checks, counts.Operation)
	require.Equal(t, e.arrived[checks], counts.Arrived)
	require.Equal(t, e.assured[checks], counts.Assured)
	require.Equal(t, counts.Arrived, counts.Served+counts.Refused)
	require.NotZero(t, counts.LeastShare)
	e.now = e.now.Add(time.Second)
	require.Empty(t, e.tracker.Report(e.now))
}

// Guards against accounts of operations that were removed from the configuration. In a
// long-running process they would use up the accounts that new operations need.
func TestIdleAccountsAreRemoved(t *testing.T) {
	e := newEntry()
	for i := range 20000 {
		name := fmt.Sprintf("operation %d", i)
		e.tracker.RecordArrival(e.now, name, 0.2)
		e.tracker.RecordResult(e.now, name, false, leastshare.Refused)
		e.now = e.now.Add(100 * time.Millisecond)
	}
	e.run(10*time.Second, load{orders, 0.2, always, leastshare.Served}, load{checks, 0.2, never, leastshare.Served})
	require.InDelta(t, 0.2, e.share(checks), 0.03)
}
