package quota

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	scheduleSeed  = flag.Uint64("quota.seed", 1, "seed of the first schedule")
	scheduleCount = flag.Uint64("quota.schedules", 100, "number of schedules")
)

const (
	scheduleLength = 20 * time.Second
	// maxViewLag is how much later than others a node may learn of a change.
	maxViewLag = 2 * time.Second
	// maxScaleOut is the number of nodes of the largest fleet that grows fast.
	maxScaleOut = 8
	// refundShare is the share of admitted requests that do not run.
	refundShare = 0.03
)

// schedule is one random run: nodes, accounts, requests and faults.
type schedule struct {
	*world
	// load is the demand of the accounts as a multiple of their rate.
	load float64
	// limits holds the bound of each account by the time from which it is in force.
	limits map[string][]timedBound
	// kinds are the faults of this schedule, and faultRate is their number per second.
	kinds     []faultKind
	faultRate float64
	faults    []string
}

type faultKind struct {
	name  string
	start func(*fakeNode)
}

type timedBound struct {
	from  time.Time
	bound float64
}

func newSchedule(seed uint64, breakOwner func(*Owner)) *schedule {
	sizes := []int{3, 5, 8, 12, 24, 40}
	s := &schedule{limits: map[string][]timedBound{}}
	w := newWorld(seed, 0, accountOf("large", 723, 723), accountOf("middle", 100, 100), accountOf("uneven", 60, 10), accountOf("tiny", 4, 4))
	for range sizes[w.rng.IntN(len(sizes))] {
		w.add().breakOwner = breakOwner
	}
	for _, n := range w.nodes {
		n.members = w.vms()
		w.start(n, true)
	}
	s.world = w
	for _, a := range w.accounts {
		s.limits[a.Name] = []timedBound{{w.now, testRules.Bound(a.RatePerSecond, a.Burst)}}
	}
	s.loss = []float64{0, 0, 0.02, 0.2}[w.rng.IntN(4)]
	s.faultRate = []float64{0.2, 0.5, 1, 2}[w.rng.IntN(4)]
	kinds := []faultKind{
		{"kill", s.kill}, {"kill half", func(*fakeNode) { s.killShare(2) }}, {"kill all", func(*fakeNode) { s.killShare(1) }}, {"freeze", s.freeze},
		{"partition", func(*fakeNode) { s.partition() }}, {"cut off", s.cutOff}, {"join", func(*fakeNode) { s.join() }}, {"stop", s.stop},
		{"lower", func(*fakeNode) { s.lower() }}, {"isolate", func(n *fakeNode) { s.isolate(n) }}, {"store down", func(*fakeNode) { s.downStore() }},
	}
	w.rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	// Some schedules have few kinds, so that one fault does not hide another.
	s.kinds = kinds[:1+w.rng.IntN(len(kinds))]
	if len(w.nodes) <= maxScaleOut && w.rng.IntN(2) == 0 {
		// A small fleet grows under load, so that owners change often.
		s.kinds, s.faultRate, s.load = []faultKind{{"join", func(*fakeNode) { s.join() }}}, 2, 8
		if w.rng.IntN(2) == 0 {
			s.kinds = append(s.kinds, faultKind{"isolate", func(n *fakeNode) { s.isolate(n) }})
			s.faultRate = 0.5
		}
	}
	return s
}

// run plays the schedule and returns the largest excess over the bound of any account.
func (s *schedule) run() float64 {
	for end := s.now.Add(scheduleLength); s.now.Before(end); {
		if s.arrivals(s.faultRate) > 0 {
			s.fault()
		}
		if s.rng.IntN(600) == 0 {
			s.load = []float64{0, 0.6, 2, 8}[s.rng.IntN(4)]
		}
		s.step()
		s.ask()
	}
	worst := -1e9
	for name := range s.limits {
		worst = max(worst, excess(s.ran[name], func(end time.Time) float64 { return s.bound(name, end) }))
	}
	return worst
}

// bound returns the highest bound of an account that was in force in the window that ends
// at a time. A lowered limit binds one window after it has taken effect everywhere.
func (s *schedule) bound(name string, end time.Time) float64 {
	limits := s.limits[name]
	from := end.Add(-testRules.Window - maxViewLag)
	highest := limits[len(limits)-1].bound
	for i := len(limits) - 2; i >= 0 && limits[i+1].from.After(from); i-- {
		highest = max(highest, limits[i].bound)
	}
	return highest
}

// ask sends requests to random nodes, and now and then a burst: as many as the rate of an
// account, or as its credit covers if that is less than the number of nodes.
func (s *schedule) ask() {
	for _, a := range s.accounts {
		count := s.arrivals(a.RatePerSecond * s.load)
		if s.rng.IntN(400) == 0 {
			burst := a.RatePerSecond
			if credit := LimitsOf(testRules, a, len(s.nodes)).Credit; credit < float64(len(s.nodes)) {
				burst = min(burst, credit)
			}
			count += int(burst)
		}
		for range count {
			n := s.nodes[s.rng.IntN(len(s.nodes))]
			if !n.runs(s.now) {
				continue
			}
			if s.request(n, a.Name).Verdict == Admitted && s.rng.Float64() < refundShare {
				n.entry.Refund(s.now, a.Name)
				s.ran[a.Name] = s.ran[a.Name][:len(s.ran[a.Name])-1]
			}
		}
	}
}

// pick returns a random node of the first candidates, where faults matter most, or of all.
func (s *schedule) pick() *fakeNode {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if s.rng.IntN(2) == 0 && n.entry != nil {
		candidates := NewView(n.vm, n.members, nil, testRules).Candidates()
		return s.node(candidates[s.rng.IntN(len(candidates))])
	}
	return n
}

func (s *schedule) within(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// fault starts a random fault.
func (s *schedule) fault() {
	n := s.pick()
	kind := s.kinds[s.rng.IntN(len(s.kinds))]
	s.faults = append(s.faults, fmt.Sprintf("%v %s %s", s.now.Sub(time.Unix(1_700_000_000, 0)), kind.name, n.vm))
	kind.start(n)
}

// kill ends a process, which starts again with empty state. The node is then still a
// member of the others' views.
func (s *schedule) kill(n *fakeNode) {
	if n.entry == nil {
		return
	}
	n.entry, n.owner = nil, nil
	s.restart(n)
}

// restart starts a process again after a while. An isolated node does not learn the members.
func (s *schedule) restart(n *fakeNode) {
	s.after(s.within(2*time.Second), func() {
		switch {
		case n.entry != nil || !slices.Contains(n.members, n.vm):
		case n.isolated:
			s.restart(n)
		default:
			s.start(n, true)
		}
	})
}

func (s *schedule) killShare(divisor int) {
	for _, n := range s.nodes {
		if s.rng.IntN(divisor) == 0 {
			s.kill(n)
		}
	}
}

func (s *schedule) freeze(n *fakeNode) { n.frozenUntil = s.now.Add(s.within(3 * time.Second)) }

func (s *schedule) partition() {
	side := make([]bool, 4*len(s.nodes)+100)
	for i := range side {
		side[i] = s.rng.IntN(2) == 0
	}
	s.cutFor(func(from, to int) bool { return side[from] != side[to] })
}

func (s *schedule) cutOff(n *fakeNode) {
	s.cutFor(func(from, to int) bool { return from == n.index || to == n.index })
}

// isolate cuts a node and perhaps some others off from all others and from the store, for
// longer than a holder may use its part without contact.
func (s *schedule) isolate(n *fakeNode) {
	side := map[int]bool{n.index: true}
	for range s.rng.IntN(3) {
		side[s.rng.IntN(len(s.nodes))] = true
	}
	for index := range side {
		s.nodes[index].isolated = true
	}
	s.cut = func(from, to int) bool { return side[from] != side[to] }
	s.after(3*time.Second+s.within(9*time.Second), func() {
		s.cut = func(int, int) bool { return false }
		for index := range side {
			s.nodes[index].isolated = false
		}
	})
}

// downStore makes the store unavailable to all.
func (s *schedule) downStore() {
	s.storeDown = true
	s.after(s.within(9*time.Second), func() { s.storeDown = false })
}

func (s *schedule) cutFor(cut func(from, to int) bool) {
	s.cut = cut
	s.after(s.within(6*time.Second), func() { s.cut = func(int, int) bool { return false } })
}

// join adds a node, of which the others learn within maxViewLag.
func (s *schedule) join() {
	n := s.add()
	n.breakOwner = s.nodes[0].breakOwner
	n.members = append(slices.Clone(s.current()), n.vm)
	s.start(n, false)
	s.tell(func(members []string) []string {
		if slices.Contains(members, n.vm) {
			return members
		}
		return append(slices.Clone(members), n.vm)
	})
}

// stop makes a node announce its stop and end.
func (s *schedule) stop(n *fakeNode) {
	if n.entry == nil || n.isolated || len(s.current()) <= 2 {
		return
	}
	n.members = nil
	n.entry, n.owner = nil, nil
	s.tell(func(members []string) []string {
		return slices.DeleteFunc(slices.Clone(members), func(vm string) bool { return vm == n.vm })
	})
}

// current returns the newest members.
func (s *schedule) current() []string {
	var vms []string
	for _, n := range s.nodes {
		if slices.Contains(n.members, n.vm) {
			vms = append(vms, n.vm)
		}
	}
	return vms
}

// tell makes each member apply a change of the members within maxViewLag. A node that does
// not run learns of it when it starts.
func (s *schedule) tell(change func([]string) []string) {
	for _, n := range s.nodes {
		s.tellNode(n, change)
	}
}

// tellNode tells one node. An isolated one learns of the change when it is in reach again.
func (s *schedule) tellNode(n *fakeNode, change func(members []string) []string) {
	s.after(s.within(maxViewLag), func() {
		switch {
		case n.isolated:
			s.tellNode(n, change)
		case slices.Contains(n.members, n.vm):
			s.view(n, change(n.members))
		}
	})
}

// lower lowers the limits of a random account. Nodes apply it within maxViewLag.
func (s *schedule) lower() {
	index := s.rng.IntN(len(s.accounts))
	lowered := *s.accounts[index]
	if lowered.RatePerSecond <= 4 {
		return
	}
	lowered.RatePerSecond, lowered.Burst = lowered.RatePerSecond/2, lowered.Burst/2
	s.accounts = slices.Clone(s.accounts)
	s.accounts[index] = &lowered
	s.limits[lowered.Name] = append(s.limits[lowered.Name], timedBound{s.now, testRules.Bound(lowered.RatePerSecond, lowered.Burst)})
	s.tell(func(members []string) []string { return members })
}

// Guards against more running requests of an account than its quota permits in any
// sliding window, whatever fails.
func TestQuotaBoundHoldsInSchedules(t *testing.T) {
	worst := -1e9
	for seed := *scheduleSeed; seed < *scheduleSeed+*scheduleCount; seed++ {
		s := newSchedule(seed, nil)
		over := s.run()
		worst = max(worst, over)
		require.LessOrEqual(t, over, 0.0, "seed %d, %d nodes, faults %q", seed, len(s.nodes), s.faults)
	}
	t.Logf("largest excess over the bound: %.1f", worst)
}

// Guards against a check that finds nothing: an owner that fills its bucket at once after a
// change of the members, and needs no contact, must break the bound.
func TestScheduleCheckFindsBrokenOwner(t *testing.T) {
	found := 0
	for seed := *scheduleSeed; seed < *scheduleSeed+*scheduleCount && found == 0; seed++ {
		broken := func(o *Owner) {
			o.viewDelay, o.changedAt, o.epochs = 0, o.start, nil
			o.right.quorumAt = o.start.Add(time.Hour)
		}
		if newSchedule(seed, broken).run() > 0 {
			found++
		}
	}
	require.Positive(t, found)
}
