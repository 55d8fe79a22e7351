package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// model drives a gate at random and keeps the state that the properties need.
type model struct {
	t       *rapid.T
	gate    *Gate
	now     time.Time
	next    uint64
	levels  map[uint64]outcome.Level
	queued  map[uint64]bool
	started map[uint64]time.Time
	ended   map[uint64]int
}

func (m *model) offer() {
	m.next++
	class := rapid.SampledFrom([]outcome.Class{outcome.Assured, outcome.Critical, outcome.Normal, outcome.Sheddable}).Draw(m.t, "class")
	level := outcome.LevelOf(class, rapid.Uint32Range(0, 127).Draw(m.t, "cohort"))
	deadline := m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(m.t, "deadline")) * time.Millisecond)
	m.levels[m.next] = level
	lead := outcome.Level(rapid.SampledFrom([]int{0, 0, 24, 48, 240}).Draw(m.t, "lead"))
	place := level.Boosted(lead)
	before := m.gate.InFlight()
	d := m.gate.Offer(m.now, Request{ID: m.next, Level: level, PriorityBoost: lead, Deadline: deadline})
	switch d.Kind {
	case Start:
		require.Less(m.t, before, m.gate.Limit(), "started above the limit")
		require.LessOrEqual(m.t, place, m.gate.Threshold(), "admitted past the threshold")
		m.started[m.next] = m.now
	case Queue:
		require.LessOrEqual(m.t, place, m.gate.Threshold(), "admitted past the threshold")
		m.queued[m.next] = true
	case Refuse:
		m.end(m.next)
	}
	m.poll()
	if d.Kind == Refuse && d.Reason == outcome.Overloaded {
		m.requireNoWorseClass(class)
	}
}

// poll takes the events and checks each of them.
func (m *model) poll() {
	for _, e := range m.gate.Poll(m.now) {
		require.True(m.t, m.queued[e.ID], "event for a request that is not queued")
		delete(m.queued, e.ID)
		if e.Kind == Start {
			m.started[e.ID] = m.now
			require.LessOrEqual(m.t, m.gate.InFlight(), m.gate.Limit(), "started above the limit")
			continue
		}
		m.end(e.ID)
		if e.Reason == outcome.EvictedFromQueue {
			defer m.requireNoWorseClass(m.levels[e.ID].Class())
		}
	}
	require.LessOrEqual(m.t, m.gate.Queued(), len(m.queued))
	m.requireTotals()
}

// requireTotals checks that each request that was offered is counted once.
func (m *model) requireTotals() {
	totals := m.gate.Totals()
	decided := totals.Started.Sum() + totals.Refused.Sum() + totals.Cancelled.Sum()
	require.Equal(m.t, totals.Offered.Sum(), decided+uint64(m.gate.Queued()), "a request is missing in the totals")
}

// requireNoWorseClass checks the order of classes after a refusal for lack of
// room: what is still queued, and so may still start, is no lower class.
func (m *model) requireNoWorseClass(class outcome.Class) {
	for id := range m.queued {
		require.LessOrEqual(m.t, m.levels[id].Class(), class, "a lower class is kept")
	}
}

func (m *model) end(id uint64) { m.ended[id]++ }

func (m *model) done() {
	for id, start := range m.started {
		s := Sample{Latency: m.now.Sub(start)}
		s.Refused = rapid.IntRange(0, 19).Draw(m.t, "refused") == 0
		s.Failed = rapid.IntRange(0, 19).Draw(m.t, "failed") == 0
		m.gate.Done(m.now, id, s)
		delete(m.started, id)
		m.end(id)
		break
	}
	m.poll()
}

func (m *model) cancel() {
	for id := range m.queued {
		require.True(m.t, m.gate.Cancel(m.now, id))
		delete(m.queued, id)
		m.end(id)
		break
	}
	m.poll()
}

// step executes one random action.
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
		m.rare()
	}
}

// rare changes the state of the target.
func (m *model) rare() {
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

// TestProperties guards the order of classes, the single end of each request
// and the limit, under random offers, ends, cancellations and state changes.
func TestProperties(t *testing.T) {
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

// finish ends everything and checks that each request has exactly one end.
func (m *model) finish() {
	m.gate.SetDraining(true)
	m.poll()
	for len(m.started) > 0 {
		m.done()
	}
	require.Empty(m.t, m.queued, "requests without an end")
	require.Zero(m.t, m.gate.InFlight())
	for id := uint64(1); id <= m.next; id++ {
		require.Equal(m.t, 1, m.ended[id], "request %d", id)
	}
}

// BenchmarkOfferDone guards the cost of one admission: under 1 µs and without
// allocation.
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

// BenchmarkOverload guards the cost of a decision in a full gate, where offers
// are queued, evicted and refused.
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

// TestNoAllocation guards the hot path against allocations.
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
