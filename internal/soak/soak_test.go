package soak

import (
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "primrosemount")
	output, err := exec.Command("go", "build", "-o", binary, "github.com/primrosemount/primrosemount/cmd/primrosemount").CombinedOutput()
	require.NoError(t, err, string(output))
	return binary
}

// Runs a short schedule with real processes, and guards against any violation of the
// guarantees in it. For longer schedules and other seeds, use cmd/soak.
func TestSoak(t *testing.T) {
	report, err := Run(Options{
		Binary: build(t), Folder: t.TempDir(), Seed: 7, VMs: 4, Clients: 2,
		Faults: 8 * time.Second, Calm: time.Second,
	})
	require.NoError(t, err)
	require.Empty(t, report.Findings, "seed %d", report.Seed)
	require.NotEmpty(t, report.Steps)
	require.NotZero(t, report.Served)
}

// Runs a short schedule in which the store returns from copies, and guards against any
// violation of the guarantees in it.
func TestSoakWithReturnsFromCopies(t *testing.T) {
	report, err := Run(Options{
		Binary: build(t), Folder: t.TempDir(), Seed: 44, VMs: 4, Clients: 2,
		Faults: 8 * time.Second, Calm: time.Second, Returns: true,
	})
	require.NoError(t, err)
	require.True(t, slices.ContainsFunc(report.Steps, func(s Step) bool { return s.Kind == StoreReturns }))
	require.Empty(t, report.Findings, "seed %d", report.Seed)
	require.NotZero(t, report.Served)
}

// Runs a short schedule in which targets leave before their announcements arrive, and all
// nodes are killed after a Leave while the store is down, and guards against any violation
// of the guarantees in it.
func TestSoakWithDrains(t *testing.T) {
	report, err := Run(Options{
		Binary: build(t), Folder: t.TempDir(), Seed: 65, VMs: 4, Clients: 2,
		Faults: 8 * time.Second, Calm: time.Second, Drains: true,
	})
	require.NoError(t, err)
	for _, kind := range []Kind{TargetLeavesEarly, NodesKilled} {
		require.True(t, slices.ContainsFunc(report.Steps, func(s Step) bool { return s.Kind == kind }), kind.String())
	}
	require.Empty(t, report.Findings, "seed %d", report.Seed)
	require.NotZero(t, report.Served)
}

// Guards against drains that change the schedules of earlier seeds, and against seeds
// without any.
func TestDrainsAreAddedToSchedules(t *testing.T) {
	killed := 0
	for seed := range uint64(50) {
		steps := Plan(seed, 6, 20*time.Second)
		added := PlanDrains(slices.Clone(steps), seed, 6, 20*time.Second)
		require.Equal(t, added, PlanDrains(slices.Clone(steps), seed, 6, 20*time.Second))
		require.True(t, slices.IsSortedFunc(added, func(a, b Step) int { return int(a.At - b.At) }))
		require.True(t, slices.ContainsFunc(added, func(s Step) bool { return s.Kind == TargetLeavesEarly }))
		require.Equal(t, len(steps), len(added)-countDrains(added))
		if slices.ContainsFunc(added, func(s Step) bool { return s.Kind == NodesKilled }) {
			killed++
		}
	}
	require.Greater(t, killed, 10)
}

// countDrains returns the number of steps that PlanDrains has added.
func countDrains(steps []Step) int {
	count := 0
	for _, s := range steps {
		switch s.Kind {
		case TargetLeavesEarly:
			count++
		case NodesKilled:
			// The outage of the store and the drain before it.
			count += 3
		}
	}
	return count
}

// Runs a short schedule with client accounts, and guards against any violation of the
// guarantees in it.
func TestSoakWithAccounts(t *testing.T) {
	report, err := Run(Options{
		Binary: build(t), Folder: t.TempDir(), Seed: 45, VMs: 4, Clients: 2,
		Faults: 8 * time.Second, Calm: time.Second, Accounts: true,
	})
	require.NoError(t, err)
	require.Empty(t, report.Findings, "seed %d", report.Seed)
	require.NotZero(t, report.Served)
	require.NotZero(t, report.Unauthorized)
	require.NotZero(t, report.OverQuota)
}

// Guards against schedules that differ between two runs with the same seed, against
// kinds of faults that no schedule uses, and against too few schedules with planned
// work only, without which the rules about planned work would never apply.
func TestPlanIsDeterministic(t *testing.T) {
	require.Equal(t, Plan(3, 6, 20*time.Second), Plan(3, 6, 20*time.Second))
	played := make(map[Kind]bool)
	plannedOnly := 0
	for seed := range uint64(50) {
		last, planned := time.Duration(0), true
		for _, step := range Plan(seed, 6, 20*time.Second) {
			require.GreaterOrEqual(t, step.At, max(last, initialDelay))
			require.LessOrEqual(t, step.At+step.For, 20*time.Second)
			require.Less(t, step.VM, 6)
			played[step.Kind], last = true, step.At
			planned = planned && (step.Kind.Planned() || step.Kind.affectsStore())
		}
		if planned {
			plannedOnly++
		}
	}
	require.Greater(t, plannedOnly, 5)
	require.Len(t, played, int(kindCount))
}

// Guards against returns of the store that change the schedules of earlier seeds, and
// against seeds without any.
func TestReturnsAreAddedToSchedules(t *testing.T) {
	with := 0
	for seed := range uint64(50) {
		steps := Plan(seed, 6, 20*time.Second)
		added := PlanReturns(slices.Clone(steps), seed, 20*time.Second)
		require.True(t, slices.IsSortedFunc(added, func(a, b Step) int { return int(a.At - b.At) }))
		others := slices.DeleteFunc(added, func(s Step) bool { return s.Kind == StoreReturns })
		require.Equal(t, steps, others)
		if len(added) > len(steps) {
			with++
		}
	}
	require.Greater(t, with, 10)
}

// Guards against steps of accounts that change the schedules of earlier seeds, and
// against kinds that no schedule uses.
func TestAccountStepsAreAddedToSchedules(t *testing.T) {
	played := make(map[Kind]bool)
	for seed := range uint64(50) {
		steps := Plan(seed, 6, 20*time.Second)
		added := PlanAccounts(slices.Clone(steps), seed, 20*time.Second)
		require.Equal(t, added, PlanAccounts(slices.Clone(steps), seed, 20*time.Second))
		require.True(t, slices.IsSortedFunc(added, func(a, b Step) int { return int(a.At - b.At) }))
		for _, step := range added {
			require.LessOrEqual(t, step.At+step.For, 20*time.Second)
			played[step.Kind] = true
		}
		require.Equal(t, steps, slices.DeleteFunc(added, func(s Step) bool { return s.Kind.ofAccounts() }))
	}
	for kind := AccountSurge; kind <= QuotaRestored; kind++ {
		require.True(t, played[kind], kind)
	}
}

// Guards against entries of seeds.txt that cannot be run again or that name no cause.
func TestParseRegressions(t *testing.T) {
	_, err := Regressions()
	require.NoError(t, err)
	list, err := parseRegressions("# note\n\n12 6 20s the node forgot a drain\n")
	require.NoError(t, err)
	require.Equal(t, []Schedule{{Seed: 12, VMs: 6, Faults: 20 * time.Second, Cause: "the node forgot a drain"}}, list)
	list, err = parseRegressions("12 6 20s accounts QUOTA: the owner kept its bucket")
	require.NoError(t, err)
	require.Equal(t, []Schedule{{Seed: 12, VMs: 6, Faults: 20 * time.Second, Accounts: true, Cause: "QUOTA: the owner kept its bucket"}}, list)
	for _, line := range []string{"12", "12 6 20s", "12 6 20s accounts", "12 6 twenty cause", "x 6 20s cause"} {
		_, err := parseRegressions(line)
		require.Error(t, err, line)
	}
}
