package faults

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/internal/fleet"
)

var (
	scheduleSeed = flag.Uint64("faults.seed", 0, "run only the schedule with this seed")
	scheduleRuns = flag.Uint64("faults.runs", 24, "number of schedules")
)

const (
	callerCount = 6
	// parallelFleets bounds the number of fleets that run at once, to limit the load
	// on the machine.
	parallelFleets = 4
	// quietTime is the time without faults before the first event of a schedule and
	// after the last one.
	quietTime = 300 * time.Millisecond
	// maxPause bounds the random pause after an event.
	maxPause = 300 * time.Millisecond
	// restartDelay is the time until a crashed target is restarted.
	restartDelay = 150 * time.Millisecond
	// drainTime bounds the drain and shutdown of one instance.
	drainTime = 10 * time.Second
	// maxResolveAttempts and resolveInterval limit the attempts to resolve an unknown
	// outcome after the faults.
	maxResolveAttempts = 25
	resolveInterval    = 100 * time.Millisecond
	// workTime is the mean duration of a booking at a target.
	workTime = 10 * time.Millisecond
	// minDefiniteShare is the required share of definite outcomes among the bookings
	// whose executor did not crash.
	minDefiniteShare = 0.99
	// scheduleTimeout bounds one schedule.
	scheduleTimeout = time.Minute
)

// schedule is one run of a fleet under faults.
type schedule struct {
	seed     uint64
	injected defect
	random   *rand.Rand
	fleet    *fleet.Fleet
	service  fleet.Service
	relays   *relays
	history  *history

	mutex sync.Mutex
	// crashedEntries holds the VMs whose node crashed, unhealthy the incarnations of
	// executors whose node or target crashed, and seen the number of events by name.
	crashedEntries map[string]bool
	unhealthy      map[uint64]bool
	seen           map[string]int
}

func newSchedule(seed uint64, injected defect) *schedule {
	s := &schedule{
		seed:           seed,
		injected:       injected,
		random:         rand.New(rand.NewPCG(seed, 1)),
		service:        orders(workTime, fillerBytes, "a", "b", "c"),
		crashedEntries: make(map[string]bool),
		unhealthy:      make(map[uint64]bool),
		seen:           make(map[string]int),
	}
	s.relays = &relays{seed: seed * 1000}
	return s
}

func (s *schedule) start(ctx context.Context) error {
	s.history = newHistory()
	running, err := fleet.Start(ctx, fleet.Config{
		Services:  []fleet.Service{s.service, entries("a", "b")},
		Seed:      s.seed,
		Logger:    zap.NewNop(),
		Advertise: s.relays.advertise,
	})
	s.fleet = running
	return err
}

// run injects the faults while callers book, then resolves unknown outcomes and stops
// the fleet.
func (s *schedule) run(ctx context.Context) error {
	defer s.relays.close()
	if err := s.start(ctx); err != nil {
		return err
	}
	defer s.fleet.Close()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for n := range callerCount {
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.newCaller(n).run(stop)
		}()
	}
	err := s.injectFaults(ctx)
	close(stop)
	wait.Wait()
	s.resolveUnknown()
	for which, n := range s.relays.played() {
		s.seen[fmt.Sprintf("relay fault %d", which)] += n
	}
	return err
}

// injectFaults injects random faults one after the other.
func (s *schedule) injectFaults(ctx context.Context) error {
	time.Sleep(quietTime)
	s.relays.setShare([]float64{0, 0.01, 0.05}[s.random.IntN(3)])
	events := []func(context.Context) error{s.crashTarget, s.crashNode, s.drain, s.drain}
	for range 1 + s.random.IntN(2) {
		if err := events[s.random.IntN(len(events))](ctx); err != nil {
			return err
		}
		time.Sleep(time.Duration(s.random.Int64N(int64(maxPause))))
	}
	s.relays.setShare(0)
	time.Sleep(quietTime)
	return nil
}

// pick returns a random running instance of the service orders.
func (s *schedule) pick() *fleet.Instance {
	running := s.fleet.InstancesOf(serviceName)
	return running[s.random.IntN(len(running))]
}

// markFaulty records that an executor may have lost outcomes. nodeToo states that the
// node crashes with its target, so that it may leave requests without a response.
func (s *schedule) markFaulty(instance *fleet.Instance, event string, nodeToo bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seen[event]++
	s.unhealthy[instance.Node.Status().Incarnation] = true
	if nodeToo {
		s.crashedEntries[instance.VM] = true
	}
}

// crashed reports whether the node of the instance has crashed.
func (s *schedule) crashed(instance *fleet.Instance) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crashedEntries[instance.VM]
}

// crashTarget crashes a target and restarts it beside the same node.
func (s *schedule) crashTarget(context.Context) error {
	instance := s.pick()
	s.markFaulty(instance, "target crash", false)
	instance.Target.Crash()
	time.Sleep(restartDelay)
	return s.fleet.StartTarget(instance)
}

// crashNode crashes a node with its target and replaces both by a new instance.
func (s *schedule) crashNode(context.Context) error {
	instance := s.pick()
	s.markFaulty(instance, "node crash", true)
	s.fleet.Crash(instance)
	_, err := s.fleet.Add(&s.service, instance.Zone)
	return err
}

// drain drains and stops an instance and replaces it by a new one.
func (s *schedule) drain(ctx context.Context) error {
	instance := s.pick()
	s.mutex.Lock()
	s.seen["drain"]++
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, drainTime)
	defer cancel()
	if err := s.fleet.Retire(ctx, instance); err != nil {
		return err
	}
	_, err := s.fleet.Add(&s.service, instance.Zone)
	return err
}

// resolveUnknown retries requests with an unknown outcome after the faults have ended,
// unless the executor of the key has crashed.
func (s *schedule) resolveUnknown() {
	var wait sync.WaitGroup
	for n, b := range s.history.bookings {
		if len(b.keys) == 0 {
			continue
		}
		last := b.keys[len(b.keys)-1]
		if last.final != outcome.Unknown || s.isUnhealthy(last.key) {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.resolveKey(s.newCaller(callerCount+n), last)
		}()
	}
	wait.Wait()
}

// resolveKey repeats the request of a key until its outcome is definite, at most
// maxResolveAttempts times.
func (s *schedule) resolveKey(c *caller, use *keyUse) {
	for range maxResolveAttempts {
		if use.final = c.send(c.entry(), use, use.key); use.final != outcome.Unknown {
			return
		}
		time.Sleep(resolveInterval)
	}
}

// isUnhealthy reports whether the node or target of the executor of a key has crashed,
// or whether the key is invalid.
func (s *schedule) isUnhealthy(key string) bool {
	parsed, err := once.ParseKey(key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return err != nil || s.unhealthy[parsed.Executor]
}

// definite considers the bookings whose executor did not crash. It returns how many
// of them have a definite outcome, how many there are, and the keys with an unknown
// outcome.
func (s *schedule) definite() (definite, healthy int, unknown []string) {
	for _, b := range s.history.bookings {
		if len(b.keys) == 0 {
			continue
		}
		last := b.keys[len(b.keys)-1]
		if s.isUnhealthy(last.key) {
			continue
		}
		healthy++
		if last.final == outcome.Unknown {
			unknown = append(unknown, last.key)
			continue
		}
		definite++
	}
	return definite, healthy, unknown
}

// totals aggregates the results of all schedules. It is safe for concurrent use.
type totals struct {
	mutex                         sync.Mutex
	schedules, bookings, attempts int
	definite, healthy             int
	taken                         time.Duration
	seen                          map[string]int
	// lines describe the schedules. Each element of failures and cuts starts with
	// the command that runs its schedule again.
	lines, failures, cuts []string
}

func (t *totals) add(s *schedule, err error) {
	if s.fleet == nil {
		t.fail(s, err)
		return
	}
	definite, healthy, unknown := s.definite()
	problem := s.history.problem(s.fleet.Ledger)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.schedules++
	t.bookings += len(s.history.bookings)
	t.attempts += s.history.attempts
	t.definite += definite
	t.healthy += healthy
	for what, n := range s.seen {
		t.seen[what] += n
	}
	t.lines = append(t.lines, fmt.Sprintf("seed %d: %d of %d definite, events %v, unknown %v", s.seed, definite, healthy, s.seen, unknown))
	if err != nil {
		t.failures = append(t.failures, s.reproduceCommand()+": "+err.Error())
	}
	if problem != "" {
		t.failures = append(t.failures, s.reproduceCommand()+": "+problem)
	}
	for _, cut := range s.history.cuts {
		t.cuts = append(t.cuts, s.reproduceCommand()+": "+cut)
	}
}

func (t *totals) fail(s *schedule, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failures = append(t.failures, s.reproduceCommand()+": "+err.Error())
}

// reproduceCommand returns the command that runs the schedule again.
func (s *schedule) reproduceCommand() string {
	return fmt.Sprintf("go test ./internal/faults -run 'TestSchedules|TestPlannedStops' -faults.seed=%d", s.seed)
}

func seeds() []uint64 {
	if *scheduleSeed != 0 {
		return []uint64{*scheduleSeed}
	}
	var all []uint64
	for seed := uint64(1); seed <= *scheduleRuns; seed++ {
		all = append(all, seed)
	}
	return all
}

// allSchedules runs every schedule once and shares the results between tests.
var allSchedules = sync.OnceValue(func() *totals {
	startTime := time.Now()
	sum := &totals{seen: make(map[string]int)}
	slots := make(chan struct{}, parallelFleets)
	var wait sync.WaitGroup
	for _, seed := range seeds() {
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			s := newSchedule(seed, noDefect)
			err := s.runWithin(scheduleTimeout)
			sum.add(s, err)
		}()
	}
	wait.Wait()
	sum.taken = time.Since(startTime)
	return sum
})

func (s *schedule) runWithin(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.run(ctx)
}

// Guards against the following under faults on real sockets: duplicate executions, a
// request reported as not run that ran, incomplete or foreign responses, executions
// aborted by planned stops, and outcomes lost although the executor did not crash.
func TestSchedules(t *testing.T) {
	sum := allSchedules()
	for _, line := range sum.lines {
		t.Log(line)
	}
	share := float64(sum.definite) / float64(max(sum.healthy, 1))
	t.Logf("%d schedules in %s: %d bookings, %d attempts, %d of %d with a healthy executor definite (%.4f), %d requests without a response from entry nodes",
		sum.schedules, sum.taken.Round(time.Millisecond), sum.bookings, sum.attempts, sum.definite, sum.healthy, share, len(sum.cuts))
	t.Logf("events: %v", sum.seen)
	require.Empty(t, sum.failures)
	require.GreaterOrEqual(t, share, minDefiniteShare)
	if *scheduleSeed == 0 {
		requireCoverage(t, sum.seen)
	}
}

// Guards against an entry node that accepts a connection of a caller during its
// planned stop and closes it without a response.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	require.Empty(t, allSchedules().cuts)
}

// requireCoverage guards against schedules that no longer contain every kind of
// fault.
func requireCoverage(t *testing.T, seen map[string]int) {
	t.Helper()
	for _, event := range []string{"target crash", "node crash", "drain"} {
		require.NotZero(t, seen[event], event)
	}
	for _, which := range append(requestFaults, responseFaults...) {
		require.NotZero(t, seen[fmt.Sprintf("relay fault %d", which)], which)
	}
}

// Guards against checks that cannot fail: each deliberate defect of the callers must be
// detected by at least one schedule.
func TestDefectsAreDetected(t *testing.T) {
	defects := map[string]defect{
		"new key on duplicate": newKeyOnDuplicate,
		"unknown as not run":   unknownAsNotRun,
		"foreign response":     foreignResponse,
	}
	for name, which := range defects {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= *scheduleRuns; seed++ {
				s := newSchedule(seed, which)
				require.NoError(t, s.runWithin(scheduleTimeout))
				if problem := s.history.problem(s.fleet.Ledger); problem != "" {
					t.Logf("detected at seed %d: %s", seed, problem)
					return
				}
			}
			t.Fatal("the defect was not detected")
		})
	}
}
