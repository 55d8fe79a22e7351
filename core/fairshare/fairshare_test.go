package fairshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	simLength = 60 * time.Second
	surge     = 8
	// leastShareOfMean is the part of the share of all requests that each account gets at
	// least.
	leastShareOfMean = 0.25
	// minOffered is the number of requests above which the share of an account is not
	// mainly chance.
	minOffered = 100
)

// requireLeastShares requires that no account is served less than a quarter as often as
// all requests.
func requireLeastShares(t *testing.T, clients []*client) {
	t.Helper()
	for _, c := range clients {
		if c.offered() >= minOffered {
			require.GreaterOrEqual(t, c.share(), leastShareOfMean*total(clients), c.name)
		}
	}
}

// Guards against an account that displaces others by sending eight times its load, in a
// deployment whose accounts have quotas of 1.6 times their load, and whose targets have
// lost a tenth or half of their capacity.
func TestSurgeOfAccountWithQuotaDisplacesNoOther(t *testing.T) {
	for _, capacity := range []float64{900, 500} {
		for _, largest := range []int{0, 3} {
			calm, surging := zipf(75, 1000, true), zipf(75, 1000, true)
			surging[largest].perSecond *= surge
			newSim(1, capacity, calm...).run(simLength)
			newSim(1, capacity, surging...).run(simLength)
			others := append(append([]*client(nil), surging[:largest]...), surging[largest+1:]...)
			before := append(append([]*client(nil), calm[:largest]...), calm[largest+1:]...)
			t.Logf("capacity %v, account %d: others %.3f, before %.3f; surging %.3f, before %.3f, all %.3f", capacity, largest,
				total(others), total(before), surging[largest].share(), calm[largest].share(), total(surging))
			require.GreaterOrEqual(t, total(others), 0.9*total(before))
			require.Less(t, surging[largest].share(), total(others))
			requireLeastShares(t, surging)
			requireLeastShares(t, calm)
		}
	}
}

// Guards against an account without a quota that displaces others by sending eight times
// its load, at entries that only know their own requests.
func TestSurgeOfAccountWithoutQuotaDisplacesNoOther(t *testing.T) {
	for _, n := range []int{5, 20, 75} {
		clients := equal(n, 1000/float64(n))
		clients[0].perSecond *= surge
		newSim(2, 1000, clients...).run(simLength)
		t.Logf("%d accounts: others %.3f, surging %.3f, all %.3f", n, total(clients[1:]), clients[0].share(), total(clients))
		require.GreaterOrEqual(t, total(clients[1:]), 0.9)
		require.Less(t, clients[0].share(), 0.8*total(clients[1:]))
		requireLeastShares(t, clients)
	}
}

// Guards against an account that gets more by sending each shed request again at once,
// while all others wait. Without a quota, this holds up to maxCounted times an equal part.
func TestRepeatingAtOnceGainsNothing(t *testing.T) {
	limited := func() []*client { return zipf(30, 1000, true) }
	unlimited := func() []*client { return equal(30, 1000.0/30) }
	for _, c := range []struct {
		name    string
		clients func() []*client
		repeats int
	}{{"quota, 3 repeats", limited, 3}, {"quota, 10 repeats", limited, 10}, {"no quota, 3 repeats", unlimited, 3}} {
		const gain = 1.1
		patient, repeating := c.clients(), c.clients()
		repeating[2].repeats = c.repeats
		newSim(1, 500, patient...).run(simLength)
		newSim(1, 500, repeating...).run(simLength)
		t.Logf("%s: repeating %.0f, waiting %.0f of %.0f", c.name, repeating[2].served, patient[2].served, patient[2].offered())
		require.LessOrEqual(t, repeating[2].served, gain*patient[2].served, c.name)
		requireLeastShares(t, repeating)
	}
}

// Guards against an account that is served less than a quarter as often as all requests,
// for any distribution of the loads and any shortage, with and without known loads.
func TestNoAccountIsServedLessThanAQuarterOfTheMean(t *testing.T) {
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 2))
		clients := equal(10+random.IntN(40), 20)
		for _, c := range clients {
			c.perSecond *= 0.1 + 10*random.Float64()*random.Float64()*random.Float64()
			if seed%3 == 1 || seed%3 == 2 && random.IntN(2) == 0 {
				c.quota = c.perSecond * (0.5 + 8*random.Float64())
			}
		}
		demand := 0.0
		for _, c := range clients {
			demand += c.perSecond
		}
		capacity := demand * (0.05 + 0.8*random.Float64())
		newSim(seed, capacity, clients...).run(simLength)
		t.Run(fmt.Sprintf("seed %d, capacity %.2f", seed, capacity/demand), func(t *testing.T) { requireLeastShares(t, clients) })
	}
}

// Guards against accounts that displace others by requests of another class, and against
// positions that weaken the order of classes or the least share of a lower class.
func TestClassesAndLeastSharesStay(t *testing.T) {
	var clients []*client
	classes := map[string]outcome.Class{"order": outcome.Critical, "view": outcome.Sheddable}
	for route, class := range classes {
		list := zipf(20, 500, true)
		for _, c := range list {
			c.name, c.route, c.class = route+"-"+c.name, route, class
		}
		list[1].perSecond *= surge
		clients = append(clients, list...)
	}
	byRoute := func(route string) []*client {
		var list []*client
		for _, c := range clients {
			if c.route == route {
				list = append(list, c)
			}
		}
		return list
	}
	newSim(4, 500, clients...).run(simLength)
	orders, views := byRoute("order"), byRoute("view")
	t.Logf("orders %.3f, views %.3f, all %.3f", total(orders), total(views), total(clients))
	require.Greater(t, total(orders), 2*total(views))
	require.GreaterOrEqual(t, total(views), 0.9*leastShareOfMean*total(clients), "the least share of the route")
	requireLeastShares(t, orders)
	requireLeastShares(t, views)
}

// Guards against cohorts that differ from those that gates and other components assume
// for a given load.
func TestCohortsFollowTheLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	highest := func(load float64) uint32 {
		return New().Cohort(now, "a", Load{Relative: load, Known: true}, 0.999999)
	}
	require.Equal(t, uint32(63), highest(0.5))
	require.Equal(t, uint32(127), highest(1))
	require.Equal(t, uint32(127), highest(8))
	require.Equal(t, uint32(42), highest(0), "the lowest maximum")
	require.Equal(t, uint32(127), New().Cohort(now, "a", Load{}, 0.999999), "the only account has an equal part")
	require.Zero(t, New().Cohort(now, "a", Load{}, 0))
	for position := 0.05; position < 2*maxCounted; position += 0.05 {
		for draw := 0.0; draw < 1; draw += 0.01 {
			cohort := cohortAt(position, draw)
			require.Less(t, cohort, uint32(outcome.Cohorts))
			if draw*position < 1 {
				require.Equal(t, uint32(draw*position*outcome.Cohorts), cohort)
			} else {
				require.GreaterOrEqual(t, cohort, uint32(outcome.Cohorts-excessCohorts))
			}
		}
	}
}

// Guards against an account that is not bounded by its own requests while its load is
// unknown, and against one that has an advantage by that over accounts with known loads.
func TestUnknownLoadIsReplacedByCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New()
	position := func(name string, load Load) float64 { return tracker.record(now, name, load) }
	for range 20 {
		position("other", Load{})
	}
	require.InDelta(t, 0.5, position("a", Load{Relative: 0.5, Known: true}), 0)
	require.InDelta(t, 2.0/22*2, position("a", Load{}), 0.001, "2 of 22 requests, for two accounts")
	require.InDelta(t, 1, position("other", Load{}), 0, "the maximum beside known loads")
	now = now.Add(knownPeriod)
	require.Greater(t, position("other", Load{}), 1.5)
}

// Guards against counts of the distant past, and against windows that are lost at their
// boundary.
func TestCountsCoverRecentWindows(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New()
	position := func(name string) float64 { return tracker.record(now, name, Load{}) }
	for range 30 {
		position("a")
	}
	position("b")
	require.InDelta(t, 31.0/32*2, position("a"), 0.001)
	now = now.Add(countWindow + countWindow/2)
	require.InDelta(t, (1+31.0/2)/(1+32.0/2)*2, position("a"), 0.001, "half of the window before counts")
	now = now.Add(2 * countWindow)
	require.InDelta(t, 1, position("b"), 0.001, "nothing before counts")
	now = now.Add(-time.Hour)
	require.LessOrEqual(t, position("b"), float64(maxCounted), "a clock that is set back")
}

// Guards against memory that grows with the number of names.
func TestAccountsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New()
	for i := range 3 * maxAccounts {
		require.Less(t, tracker.Cohort(now, fmt.Sprint(i), Load{}, 0.5), uint32(outcome.Cohorts))
	}
	require.Len(t, tracker.present.accounts, maxAccounts)
	now = now.Add(countWindow)
	for i := range 3 * maxAccounts {
		tracker.Cohort(now, fmt.Sprint("other", i), Load{}, 0.5)
	}
	require.Len(t, tracker.present.accounts, maxAccounts)
	require.Len(t, tracker.before.accounts, maxAccounts)
}

// BenchmarkCohort measures one draw with 10,000 accounts.
func BenchmarkCohort(b *testing.B) {
	names := make([]string, maxAccounts)
	for i := range names {
		names[i] = fmt.Sprintf("account-%d", i)
	}
	tracker, now := New(), time.Unix(1000, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tracker.Cohort(now.Add(time.Duration(i)*time.Microsecond), names[i%len(names)], Load{Relative: 0.5, Known: i%2 == 0}, 0.5)
	}
}
