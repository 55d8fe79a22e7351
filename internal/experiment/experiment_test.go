package experiment

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Targets of section 1.2 of the design.
const (
	minGoodput         = 0.90
	minCriticalGoodput = 0.99
	maxRecoverySeconds = 5.0 // seconds
	// fits tells that the demand of a class fits the capacity.
	fullyServed = 0.999
)

// short cuts triggers so that the tests stay under a minute.
const shortTrigger = 8 * time.Second

// requireTargets checks one row against the stated targets.
func requireTargets(t *testing.T, row Row) {
	t.Helper()
	require.GreaterOrEqual(t, row.Goodput, minGoodput, "goodput")
	// Where critical requests fit alone, but not beside the least shares, the best plan
	// that keeps these is the measure.
	if row.CriticalAlone >= fullyServed {
		require.GreaterOrEqual(t, row.ByClass[outcome.Critical.String()], minCriticalGoodput, "critical goodput")
	}
	require.GreaterOrEqual(t, row.RecoverySeconds, 0.0, "recovery")
	require.LessOrEqual(t, row.RecoverySeconds, maxRecoverySeconds, "recovery")
	require.LessOrEqual(t, row.MaxAttempts, 1+allowance, "attempts")
}

// requireCriticalInOrder checks critical requests against all that would fit in strict
// order of classes: bursts of these lengths need not pay for least shares.
func requireCriticalInStrictOrder(t *testing.T, row Row) {
	t.Helper()
	if row.CriticalAlone >= fullyServed {
		require.GreaterOrEqual(t, row.ServedShare[outcome.Critical.String()], minCriticalGoodput*row.CriticalAlone, "critical share")
	}
}

// runCase replays one case under full control, for both users if none is named.
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

// Each of these guards the goals for goodput, important classes, recovery and
// the retry bound in one case.
func TestDeepSlow(t *testing.T)     { runCase(t, "deep-slow") }
func TestSurge(t *testing.T)        { runCase(t, "surge") }
func TestSurgeAndSlow(t *testing.T) { runCase(t, "surge-and-slow") }
func TestHardRetries(t *testing.T)  { runCase(t, "hard-retries") }
func TestTwoLevelsUp(t *testing.T)  { runCase(t, "two-levels-up") }
func TestReportsIdle(t *testing.T)  { runCase(t, "reports-idle") }
func TestColdZone(t *testing.T)     { runCase(t, "cold-zone") }

// Guard against the same where a processor is throttled, for each user.
func TestThrottledRota(t *testing.T)       { runCase(t, "throttled", "rota") }
func TestThrottledWholesaler(t *testing.T) { runCase(t, "throttled", "wholesaler") }

// Guards against a replay that differs between runs with the same seed.
func TestReplayIsDeterministic(t *testing.T) {
	t.Parallel()
	o := Options{Seed: 3, Users: []string{"rota"}, Cases: []string{"deep-slow"}, Policies: []string{"full"}, Shortest: time.Second}
	first, err := Run(o)
	require.NoError(t, err)
	second, err := Run(o)
	require.NoError(t, err)
	require.Equal(t, first, second)
}

// Guards recorded arrivals and the errors for names that do not exist.
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

// meshRow replays a case of a graph with many deep calls per request.
func replayRow(t *testing.T, user, name, policy string) Row {
	t.Helper()
	report, err := Run(Options{Seed: 1, Users: []string{user}, Cases: []string{name}, Policies: []string{policy}, Shortest: shortTrigger})
	require.NoError(t, err)
	return report.Rows[0]
}

// Plays 1.8 times the load that the deepest service takes, in the call graphs of
// the users' platform, under the policy of the relay: fixed limits, and levels
// that calls inherit from their request. Guards against gates that each shed
// other requests: one shed call in ten fails the whole request after its work
// was done.
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

// leastServed is the least share of a class, relative to that of all requests,
// below which the users call it starved.
const minRelativeShare = 0.25

// Guards against a class of which nothing is served while the deepest service is
// short of room even for more important requests.
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

// Guards against work of the deepest service that goes to requests which lose a
// later call: what is wasted is missing to the class that is served last.
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

// Guards against a slow deepest service that works mostly for requests whose later
// calls it refuses.
func TestSlowDeepestServiceCompletesStartedRequests(t *testing.T) {
	t.Parallel()
	require.GreaterOrEqual(t, replayRow(t, "wholesaler-mesh", "deep-slow", "fixed-limit").Goodput, minGoodput)
}

// Plays a deepest service that has lost targets for 20 s. Guards against least shares
// that are given for a moment only, and against important requests that pay more than
// these ask for.
func TestLeastSharesHoldWhileDeepestServiceLacksTargets(t *testing.T) {
	const long = 20 * time.Second
	for _, user := range []string{"rota-mesh", "wholesaler-mesh"} {
		t.Run(user, func(t *testing.T) {
			t.Parallel()
			report, err := Run(Options{Seed: 1, Users: []string{user}, Cases: []string{"deep-lost"}, Policies: []string{"fixed-limit"}, Shortest: long})
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
