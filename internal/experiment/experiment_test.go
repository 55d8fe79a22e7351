package experiment

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// The goals of section 1.2 of the design.
const (
	minGoodput         = 0.90
	minCriticalGoodput = 0.99
	maxRecoverySeconds = 5.0
	// fullyServed is the share of served requests from which the demand of a class
	// counts as within the capacity.
	fullyServed = 0.999
)

// shortTrigger cuts triggers so that the tests take less than a minute.
const shortTrigger = 8 * time.Second

// requireTargets checks one row against the stated goals.
func requireTargets(t *testing.T, row Row) {
	t.Helper()
	require.GreaterOrEqual(t, row.Goodput, minGoodput, "goodput")
	// If the capacity allows all critical requests, but not together with the least
	// shares, the goodput is relative to the best plan that maintains the least shares.
	if row.CriticalAlone >= fullyServed {
		require.GreaterOrEqual(t, row.ByClass[outcome.Critical.String()], minCriticalGoodput, "critical goodput")
	}
	require.GreaterOrEqual(t, row.RecoverySeconds, 0.0, "recovery")
	require.LessOrEqual(t, row.RecoverySeconds, maxRecoverySeconds, "recovery")
	require.LessOrEqual(t, row.MaxAttempts, 1+allowance, "attempts")
}

// requireCriticalInStrictOrder checks critical requests against those that the capacity
// allows in strict order of classes: triggers of this duration are too short for least
// shares to displace critical requests.
func requireCriticalInStrictOrder(t *testing.T, row Row) {
	t.Helper()
	if row.CriticalAlone >= fullyServed {
		require.GreaterOrEqual(t, row.ServedShare[outcome.Critical.String()], minCriticalGoodput*row.CriticalAlone, "critical share")
	}
}

// runCase replays one case with all parts of the overload control, for both users if
// none is given.
func runCase(t *testing.T, name string, users ...string) {
	t.Helper()
	t.Parallel()
	if len(users) == 0 {
		users = []string{"rota", "wholesaler"}
	}
	o := Options{Seed: 1, Users: users, Cases: []string{name}, Policies: []string{"full"}, Shortest: shortTrigger}
	report, err := Run(o)
	require.NoError(t, err)
	for _, row := range report.Rows {
		t.Run(row.User, func(t *testing.T) {
			requireTargets(t, row)
			requireCriticalInStrictOrder(t, row)
		})
	}
}

// Each of these tests guards the goals for goodput, critical requests, recovery and the
// retry bound in one case.
func TestDeepSlow(t *testing.T)     { runCase(t, "deep-slow") }
func TestSurge(t *testing.T)        { runCase(t, "surge") }
func TestSurgeAndSlow(t *testing.T) { runCase(t, "surge-and-slow") }
func TestHardRetries(t *testing.T)  { runCase(t, "hard-retries") }
func TestTwoLevelsUp(t *testing.T)  { runCase(t, "two-levels-up") }
func TestReportsIdle(t *testing.T)  { runCase(t, "reports-idle") }
func TestColdZone(t *testing.T)     { runCase(t, "cold-zone") }

// These tests guard the same goals for each user while the processors of the deepest
// service are throttled.
func TestThrottledRota(t *testing.T)       { runCase(t, "throttled", "rota") }
func TestThrottledWholesaler(t *testing.T) { runCase(t, "throttled", "wholesaler") }

// Guards against replays that differ although they have the same seed.
func TestReplayIsDeterministic(t *testing.T) {
	t.Parallel()
	o := Options{Seed: 3, Users: []string{"rota"}, Cases: []string{"deep-slow"}, Policies: []string{"full"}, Shortest: time.Second}
	first, err := Run(o)
	require.NoError(t, err)
	second, err := Run(o)
	require.NoError(t, err)
	require.Equal(t, first, second)
}

// Guards against recorded arrivals that are not replayed, and against selected names
// that do not exist and are ignored.
func TestRecordedArrivalsAndUnknownNames(t *testing.T) {
	o := Options{Users: []string{"wholesaler"}, Cases: []string{"surge"}, Policies: []string{"full"}, Shortest: time.Second}
	o.Arrivals = []Arrival{{At: time.Second, Operation: "order"}, {At: 9 * time.Second / 2, Operation: "stock check", Class: "normal"}}
	report, err := Run(o)
	require.NoError(t, err)
	require.Equal(t, 2, report.Rows[0].Roots)
	var table strings.Builder
	require.NoError(t, report.WriteTable(&table))
	require.Contains(t, table.String(), "wholesaler")
	o.Arrivals[0].Operation = "gift"
	_, err = Run(o)
	require.ErrorContains(t, err, "gift")
	_, err = Run(Options{Cases: []string{"flood"}})
	var typed *outcome.Error
	require.ErrorAs(t, err, &typed)
	require.Equal(t, outcome.BadRequest, typed.Reason)
}

// replayRow returns the result of one case for one user under one policy.
func replayRow(t *testing.T, user, name, policy string) Row {
	t.Helper()
	report, err := Run(Options{Seed: 1, Users: []string{user}, Cases: []string{name}, Policies: []string{policy}, Shortest: shortTrigger})
	require.NoError(t, err)
	return report.Rows[0]
}

// Guards against gates that each shed different requests: if one call in ten is shed,
// the whole request fails after work was spent on it. The deepest service is offered
// 1.8 times its capacity, in call graphs with many deep calls per request. The policy
// is that of the relay: a fixed limit, and calls that inherit the level of their
// request.
func TestManyDeepCallsUnderOverload(t *testing.T) {
	for _, user := range []string{"rota-mesh", "wholesaler-mesh"} {
		for _, name := range []string{"surge", "hard-retries"} {
			t.Run(user+"/"+name, func(t *testing.T) {
				t.Parallel()
				row := replayRow(t, user, name, "fixed-limit")
				requireTargets(t, row)
				other := replayRow(t, user, name, "no-cohorts")
				require.Greater(t, row.Goodput, other.Goodput)
				require.Less(t, row.WastedWork, other.WastedWork)
			})
		}
	}
}

// minRelativeShare is the served share of a class relative to the served share of all
// requests, below which users consider the class starved.
const minRelativeShare = 0.25

// Guards against a class that is not served at all while the deepest service lacks
// capacity even for more important requests.
func TestNoClassIsStarvedWhileDeepestServiceLacksTargets(t *testing.T) {
	for _, user := range []string{"rota-mesh", "wholesaler-mesh"} {
		t.Run(user, func(t *testing.T) {
			t.Parallel()
			row := replayRow(t, user, "deep-lost", "fixed-limit")
			for class, share := range row.ServedShare {
				require.GreaterOrEqual(t, share, minRelativeShare*row.ServedOfAll, class)
			}
		})
	}
}

// Guards against work of the deepest service on requests of which a later call is
// refused: this work is lost to the class that is served last.
func TestEachClassReachesGoodputTargetUnderManyDeepCalls(t *testing.T) {
	for _, name := range []string{"surge", "hard-retries"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			row := replayRow(t, "wholesaler-mesh", name, "fixed-limit")
			for class, share := range row.ByClass {
				require.GreaterOrEqual(t, share, minGoodput, class)
			}
		})
	}
}

// Guards against a slow deepest service that works mainly on requests whose later calls
// it refuses.
func TestSlowDeepestServiceCompletesStartedRequests(t *testing.T) {
	t.Parallel()
	require.GreaterOrEqual(t, replayRow(t, "wholesaler-mesh", "deep-slow", "fixed-limit").Goodput, minGoodput)
}

// Guards against least shares that are maintained only for a moment, and against
// critical requests that lose more capacity than the least shares require. The deepest
// service lacks targets for 20 s.
func TestLeastSharesHoldWhileDeepestServiceLacksTargets(t *testing.T) {
	const longTrigger = 20 * time.Second
	for _, user := range []string{"rota-mesh", "wholesaler-mesh"} {
		t.Run(user, func(t *testing.T) {
			t.Parallel()
			report, err := Run(Options{Seed: 1, Users: []string{user}, Cases: []string{"deep-lost"}, Policies: []string{"fixed-limit"}, Shortest: longTrigger})
			require.NoError(t, err)
			row := report.Rows[0]
			for class, share := range row.ServedShare {
				require.GreaterOrEqual(t, share, minRelativeShare*row.ServedOfAll, class)
				require.GreaterOrEqual(t, row.ByClass[class], minGoodput, class)
			}
			require.GreaterOrEqual(t, row.ByClass[outcome.Critical.String()], minCriticalGoodput)
		})
	}
}
