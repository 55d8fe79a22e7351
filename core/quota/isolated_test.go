package quota

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	isolationTime = 9 * time.Second
	isolatedLoad  = 80
)

// isolation is one play: some holders are cut off from the store and all others, a member
// that takes the place of one of them joins, and an account asks for several times its quota
// everywhere.
type isolation struct {
	// isolated is the number of holders that are cut off, together or each alone.
	isolated int
	together bool
	// stopped is set if the member that joins had been a holder before, and had stopped.
	stopped bool
	// storeDown is set if the store responds to nobody after the member has joined.
	storeDown bool
	// broken is applied to each owner.
	broken func(*Owner)
}

// candidate returns a holder in the view of a node, which is not the given one.
func (w *world) candidate(n *fakeNode, index int) *fakeNode {
	return w.node(NewView(n.vm, n.members, nil, testRules).Candidates()[index])
}

// play returns the world after the play.
func (p isolation) play(seed uint64) *world {
	const nodes = 6
	w := newWorld(seed, 0, accountOf("a", 100, 100))
	for range nodes {
		w.add().breakOwner = p.broken
	}
	for _, n := range w.nodes {
		n.members = w.vms()
		w.start(n, true)
	}
	var returning *fakeNode
	if p.stopped {
		returning = w.candidate(w.nodes[0], 0)
		w.stopAndTell(returning)
	}
	w.run(6*time.Second, 10)
	var cut []*fakeNode
	first := w.running()[0]
	for i := range p.isolated {
		n := w.candidate(first, maxOwners-1-i)
		n.isolated = true
		cut = append(cut, n)
	}
	w.cut = func(from, to int) bool {
		a, b := w.nodes[from], w.nodes[to]
		return a != b && (a.isolated || b.isolated) && !(p.together && a.isolated && b.isolated)
	}
	w.run(500*time.Millisecond, 10)
	joining := w.startJoining(returning, p.broken)
	w.storeDown = p.storeDown
	w.run(400*time.Millisecond, 10)
	w.run(isolationTime, isolatedLoad)
	w.cut = func(int, int) bool { return false }
	w.storeDown = false
	for _, n := range cut {
		n.isolated = false
		w.after(time.Second, func() { w.view(n, joining) })
	}
	w.run(4*time.Second, isolatedLoad)
	return w
}

// stopAndTell stops a node, of which all others learn.
func (w *world) stopAndTell(n *fakeNode) {
	n.entry, n.owner, n.members = nil, nil, nil
	var members []string
	for _, other := range w.running() {
		members = append(members, other.vm)
	}
	for _, other := range w.running() {
		w.view(other, members)
	}
}

// startJoining starts a member that ranks among the first, the returning one or a new one.
// The nodes that are not cut off learn of it within a second. It returns the members.
func (w *world) startJoining(returning *fakeNode, broken func(*Owner)) []string {
	members := []string{}
	for _, n := range w.running() {
		members = append(members, n.vm)
	}
	if returning == nil {
		returning = w.add()
		returning.breakOwner = broken
		before := NewView("", members, nil, testRules).Candidates()
		for i := 0; ; i++ {
			// The holders that are cut off are the last candidates.
			returning.vm = "joining-" + strconv.Itoa(i)
			candidates := NewView("", append(slices.Clone(members), returning.vm), nil, testRules).Candidates()
			if slices.Contains(candidates, returning.vm) && !slices.Contains(candidates, before[maxOwners-1]) {
				break
			}
		}
	}
	members = append(members, returning.vm)
	returning.members = members
	w.start(returning, false)
	for _, n := range w.running() {
		if n != returning && !n.isolated {
			w.after(time.Duration(w.rng.Int64N(int64(time.Second))), func() { w.view(n, members) })
		}
	}
	return members
}

// running returns the nodes that run.
func (w *world) running() []*fakeNode {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *fakeNode) bool { return n.entry == nil })
}

// run sends a number of requests a second to each node for a time.
func (w *world) run(length time.Duration, perSecond float64) {
	for end := w.now.Add(length); w.now.Before(end); {
		w.step()
		for _, n := range w.running() {
			for range w.arrivals(perSecond) {
				w.request(n, "a")
			}
		}
	}
}

func excessOf(w *world) float64 {
	return excess(w.ran["a"], func(time.Time) float64 { return testRules.Bound(100, 100) })
}

var isolations = map[string]isolation{
	"one":                          {isolated: 1},
	"two, each alone":              {isolated: 2},
	"two together":                 {isolated: 2, together: true},
	"three together":               {isolated: 3, together: true},
	"one, beside a return":         {isolated: 1, stopped: true},
	"one, store down for the rest": {isolated: 1, storeDown: true},
	"three together, store down":   {isolated: 3, together: true, storeDown: true},
}

// Guards against a part of a quota that two members use: a holder that is cut off and does
// not learn that it was replaced, and the member that took its place.
func TestIsolatedHolderLosesItsPart(t *testing.T) {
	for name, p := range isolations {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := p.play(seed)
				require.LessOrEqual(t, excessOf(w), 0.0, "seed %d", seed)
			}
		})
	}
}

// Guards against a check that finds nothing: holders whose right does not end, beside a
// member that joins and waits for nobody, must break the bound.
func TestIsolationCheckFindsHolderWithoutEnd(t *testing.T) {
	for name, p := range isolations {
		p.broken = func(o *Owner) { o.right.quorumAt, o.joining.told = o.start.Add(time.Hour), o.start }
		t.Run(name, func(t *testing.T) {
			w := p.play(1)
			require.Positive(t, excessOf(w))
		})
	}
}

// Guards against refusals because the store is down for all, while all nodes reach each
// other: exactly the requests run that run beside a store that responds.
func TestQuotaIsServedWithoutStore(t *testing.T) {
	ran := map[bool]int{}
	for _, down := range []bool{false, true} {
		w := newWorld(1, 6, accountOf("a", 100, 100))
		w.run(6*time.Second, 10)
		w.storeDown = down
		w.run(20*time.Second, 100/6.0)
		ran[down] = len(w.ran["a"])
	}
	require.Equal(t, ran[false], ran[true])
}

// Guards against a machine that refuses at once when it is cut off, and against one that
// tells its clients that the quota is used up although it has lost its right to it.
func TestIsolatedHolderServesUntilItsRightEnds(t *testing.T) {
	w := newWorld(1, 6, accountOf("a", 100, 100))
	w.run(6*time.Second, 10)
	holder := w.candidate(w.nodes[0], 0)
	holder.isolated = true
	w.cut = func(from, to int) bool { return from != to && (from == holder.index || to == holder.index) }
	cutAt := w.now
	verdicts := map[time.Duration]map[Verdict]int{}
	for w.now.Sub(cutAt) < 8*time.Second {
		w.step()
		if w.arrivals(5) > 0 {
			second := w.now.Sub(cutAt).Truncate(time.Second)
			if verdicts[second] == nil {
				verdicts[second] = map[Verdict]int{}
			}
			verdicts[second][w.request(holder, "a").Verdict]++
		}
	}
	for second, count := range verdicts {
		switch {
		case second < ContactTTL-time.Second:
			require.Zero(t, count[Exceeded]+count[Unknown], "second %v", second)
		case second > ContactTTL+time.Second:
			require.Zero(t, count[Admitted]+count[Exceeded], "second %v", second)
		}
	}
}

// Guards against a holder that stays without its part after most of the others are gone for
// good: it is still in contact with the store.
func TestHolderServesAfterOthersAreGone(t *testing.T) {
	w := newWorld(1, 6, accountOf("a", 100, 100))
	w.run(6*time.Second, 10)
	survivor := w.candidate(w.nodes[0], 0)
	for _, n := range w.nodes {
		if n != survivor {
			n.entry, n.owner = nil, nil
		}
	}
	w.run(4*time.Second, 100)
	from := w.now
	w.run(10*time.Second, 100)
	ran, owed := w.owed(w.accounts[0], from)
	require.GreaterOrEqual(t, ran/owed, minLetThrough/maxOwners)
}

// Guards against a holder that goes on using its part after its machine was suspended, for
// which the steady clock did not run: others may have taken its place.
func TestSuspendedHolderLosesItsPart(t *testing.T) {
	right := contactRight{}
	at := time.Now()
	right.confirmQuorum(at)
	right.confirmStore(at.Add(-ContactTTL / 2))
	require.True(t, right.valid(at.Add(ContactTTL-time.Millisecond)))
	require.False(t, right.valid(at.Add(ContactTTL)))
	// The time of day without the reading of the steady clock.
	require.False(t, right.valid(at.Round(0).Add(ContactTTL)))
}
