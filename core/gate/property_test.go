package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// model applies random operations to a gate and keeps the state needed to check the
// invariants.
type model struct {
	t       *rapid.T
	gate    *Gate
	now     time.Time
	lastID  uint64
	levels  map[uint64]outcome.Level
	queued  map[uint64]bool
	started map[uint64]time.Time
	ended   map[uint64]int
}

func (m *model) offer() {
	m.lastID++
	class := rapid.SampledFrom([]outcome.Class{outcome.Assured, outcome.Critical, outcome.Normal, outcome.Sheddable}).Draw(m.t, "class")
	level := outcome.LevelOf(class, rapid.Uint32Range(0, 127).Draw(m.t, "cohort"))
	deadline := m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(m.t, "deadline")) * time.Millisecond)
	m.levels[m.lastID] = level
	boost := outcome.Level(rapid.SampledFrom([]int{0, 0, 24, 48, 240}).Draw(m.t, "lead"))
	effectiveLevel := level.Boosted(boost)
	before := m.gate.InFlight()
	d := m.gate.Offer(m.now, Request{ID: m.lastID, Level: level, PriorityBoost: boost, Deadline: deadline})
	switch d.Kind {
	case Start:
		require.Less(m.t, before, m.gate.Limit(), "started a request above the limit")
		require.LessOrEqual(m.t, effectiveLevel, m.gate.Threshold(), "admitted a level above the threshold")
		m.started[m.lastID] = m.now
	case Queue:
		require.LessOrEqual(m.t, effectiveLevel, m.gate.Threshold(), "admitted a level above the threshold")
		m.queued[m.lastID] = true
	case Refuse:
		m.recordEnd(m.lastID)
	}
	m.poll()
	if d.Kind == Refuse && d.Reason == outcome.Overloaded {
		m.requireNoLowerClass(class)
	}
}

// poll retrieves the events and checks each of them.
func (m *model) poll() {
	for _, e := range m.gate.Poll(m.now) {
		require.True(m.t, m.queued[e.ID], "event for a request that is not queued")
		delete(m.queued, e.ID)
		if e.Kind == Start {
			m.started[e.ID] = m.now
			require.LessOrEqual(m.t, m.gate.InFlight(), m.gate.Limit(), "started a request above the limit")
			continue
		}
		m.recordEnd(e.ID)
		if e.Reason == outcome.EvictedFromQueue {
			defer m.requireNoLowerClass(m.levels[e.ID].Class())
		}
	}
	require.LessOrEqual(m.t, m.gate.Queued(), len(m.queued))
	m.requireTotals()
}

// requireTotals checks that each offered request is counted exactly once.
func (m *model) requireTotals() {
	totals := m.gate.Totals()
	decided := totals.Started.Sum() + totals.Refused.Sum() + totals.Cancelled.Sum()
	require.Equal(m.t, totals.Offered.Sum(), decided+uint64(m.gate.Queued()), "the totals do not account for every request")
}

// requireNoLowerClass checks the order of classes after a request of the class was
// rejected for lack of capacity: no request of a lower class may still be queued,
// because it could start later.
func (m *model) requireNoLowerClass(class outcome.Class) {
	for id := range m.queued {
		require.LessOrEqual(m.t, m.levels[id].Class(), class, "a request of a lower class is still queued")
	}
}

func (m *model) recordEnd(id uint64) { m.ended[id]++ }

func (m *model) done() {
	for id, start := range m.started {
		s := Sample{Latency: m.now.Sub(start)}
		s.Refused = rapid.IntRange(0, 19).Draw(m.t, "refused") == 0
		s.Failed = rapid.IntRange(0, 19).Draw(m.t, "failed") == 0
		m.gate.Done(m.now, id, s)
		delete(m.started, id)
		m.recordEnd(id)
		break
	}
	m.poll()
}

func (m *model) cancel() {
	for id := range m.queued {
		require.True(m.t, m.gate.Cancel(m.now, id))
		delete(m.queued, id)
		m.recordEnd(id)
		break
	}
	m.poll()
}

// step performs one random operation.
func (m *model) step() {
	switch rapid.IntRange(0, 19).Draw(m.t, "action") {
	default:
		m.offer()
	case 0, 1, 2, 3:
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(m.t, "ms")) * time.Millisecond)
		m.done()
	case 4, 5:
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(m.t, "ms")) * time.Millisecond)
		m.poll()
	case 6:
		m.cancel()
	case 7:
		m.changeTarget()
	}
}

// changeTarget changes the state or the capacity of the target, or advances the time.
func (m *model) changeTarget() {
	switch rapid.IntRange(0, 30).Draw(m.t, "rare") {
	case 0:
		m.gate.SetDraining(rapid.Bool().Draw(m.t, "draining"))
	case 1:
		m.gate.SetDown(rapid.Bool().Draw(m.t, "down"))
	case 2:
		m.gate.StartRampUp(m.now)
	case 3:
		m.gate.SetCapacity(rapid.IntRange(1, 6).Draw(m.t, "slots"), rapid.IntRange(1, 6).Draw(m.t, "queue"))
	default:
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(m.t, "pause")) * time.Millisecond)
	}
	m.poll()
}

// TestGateInvariants guards the order of classes, the single result of each request and
// the limit under random offers, completions, cancellations and state changes.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		config := Config{
			Slots: rapid.IntRange(1, 6).Draw(t, "slots"),
			Queue: rapid.IntRange(1, 20).Draw(t, "queue"),
		}
		m := &model{
			t: t, now: now, gate: New(config, now),
			levels: map[uint64]outcome.Level{}, queued: map[uint64]bool{},
			started: map[uint64]time.Time{}, ended: map[uint64]int{},
		}
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			m.step()
		}
		m.finish()
	})
}

// finish ends all requests and checks that each request had exactly one result.
func (m *model) finish() {
	m.gate.SetDraining(true)
	m.poll()
	for len(m.started) > 0 {
		m.done()
	}
	require.Empty(m.t, m.queued, "queued requests without a result")
	require.Zero(m.t, m.gate.InFlight())
	for id := uint64(1); id <= m.lastID; id++ {
		require.Equal(m.t, 1, m.ended[id], "results of request %d", id)
	}
}

// BenchmarkOfferDone measures the cost of one admission, which must stay below 1 µs and
// must not allocate.
func BenchmarkOfferDone(b *testing.B) {
	now := time.Unix(1000, 0)
	g := New(Config{Slots: 130}, now)
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		now = now.Add(20 * time.Microsecond)
		level := outcome.LevelOf(outcome.Normal, uint32(id))
		g.Offer(now, Request{ID: id, Level: level, Deadline: now.Add(time.Second)})
		g.Done(now, id, Sample{Latency: 10 * time.Millisecond})
		g.Poll(now)
	}
}

// BenchmarkOverload measures the cost of a decision of a full gate, where requests are
// queued, evicted and rejected.
func BenchmarkOverload(b *testing.B) {
	now := time.Unix(1000, 0)
	g := New(Config{Slots: 130}, now)
	b.ReportAllocs()
	id, oldest := uint64(0), uint64(0)
	for b.Loop() {
		id++
		now = now.Add(20 * time.Microsecond)
		level := outcome.LevelOf(outcome.Class(id%3)+outcome.Critical, uint32(id*7))
		g.Offer(now, Request{ID: id, Level: level, Deadline: now.Add(time.Second)})
		if id%3 == 0 {
			oldest += 3
			g.Done(now, oldest, Sample{Latency: 10 * time.Millisecond})
		}
		g.Poll(now)
	}
}

// TestNoAllocation guards against allocations in the admission path.
func TestNoAllocation(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New(Config{Slots: 8}, now)
	id := uint64(0)
	cycle := func() {
		id++
		now = now.Add(time.Millisecond)
		g.Offer(now, Request{ID: id, Level: outcome.LevelOf(outcome.Normal, uint32(id))})
		g.Done(now, id-6, Sample{Latency: 6 * time.Millisecond})
		g.Poll(now)
	}
	for range 1000 {
		cycle()
	}
	require.Zero(t, testing.AllocsPerRun(10000, cycle))
}
