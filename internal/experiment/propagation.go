package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/primrosemount/primrosemount/core/freshness"
)

const (
	// propagationStep is the resolution of the model in virtual time.
	propagationStep = 5 * time.Millisecond
	// propagationLength is the duration of one run, and propagationSettled the part at
	// its start that is not counted.
	propagationLength  = 40 * time.Second
	propagationSettled = 10 * time.Second
	// roleCheckInterval is the interval at which a node checks the age of its copy.
	roleCheckInterval = 250 * time.Millisecond
	// membersPerPrimary is the number of members of a zone for each primary reader.
	membersPerPrimary = 16
	// usualChangeGap is the time between changes outside a storm.
	usualChangeGap = 3 * time.Second
)

// A PropagationCase is a fleet that follows the configuration on the store.
type PropagationCase struct {
	Name           string
	Zones, PerZone int
	// Bound is the time within which a change must be in force.
	Bound time.Duration
	// ChangeGap is the time between changes.
	ChangeGap time.Duration
	// RefusedShare is the share of the nodes that the store refuses, primary readers
	// first.
	RefusedShare float64
}

// A PropagationResult shows what the rules of core/freshness cost and achieve in a case.
type PropagationResult struct {
	PropagationCase
	Nodes int
	// CallsPerSecond is the rate of all nodes together, and DirectCallsPerSecond the
	// rate if each node read each change itself.
	CallsPerSecond, DirectCallsPerSecond float64
	// WorstAge is the greatest age of a copy and WorstDelay the longest time from
	// the acknowledgement of a change until it was in force, both at nodes that the
	// store serves.
	WorstAge, WorstDelay time.Duration
}

// PropagationCases returns fleets of the users' sizes and of the size aimed at.
func PropagationCases() []PropagationCase {
	var cases []PropagationCase
	for _, size := range []struct {
		zones, perZone int
		bound          time.Duration
	}{{4, 4, 2 * time.Second}, {6, 16, 3 * time.Second}, {6, 50, 3 * time.Second}, {6, 1600, 12 * time.Second}} {
		for _, kind := range []struct {
			name    string
			gap     time.Duration
			refused float64
		}{{"usual", usualChangeGap, 0}, {"storm", 330 * time.Millisecond, 0}, {"readers refused", usualChangeGap, 0.07}, {"most refused", usualChangeGap, 0.6}} {
			cases = append(cases, PropagationCase{kind.name, size.zones, size.perZone, size.bound, kind.gap, kind.refused})
		}
	}
	return cases
}

// RunPropagation models one zone of the case, since zones do not depend on each other
// for the configuration.
func RunPropagation(c PropagationCase, seed uint64) PropagationResult {
	m := newPropagationModel(c, seed)
	for m.now < propagationLength {
		m.step()
		m.now += propagationStep
	}
	counted := (propagationLength - propagationSettled).Seconds()
	nodes := c.Zones * c.PerZone
	return PropagationResult{
		PropagationCase: c, Nodes: nodes,
		CallsPerSecond:       float64(m.calls*c.Zones) / counted,
		DirectCallsPerSecond: float64(nodes) * (1/c.ChangeGap.Seconds() + 1/m.rules.Wait(freshness.ZoneRole{}).Seconds()),
		WorstAge:             m.worstAge, WorstDelay: m.worstDelay,
	}
}

// propagationModel is the state of the nodes of one zone.
type propagationModel struct {
	rules  freshness.Rules
	gap    time.Duration
	random *rand.Rand
	nodes  []*propagationNode
	now    time.Duration
	calls  int

	worstAge, worstDelay time.Duration
}

// propagationNode is one node. Times are since the start of the run.
type propagationNode struct {
	role    freshness.ZoneRole
	refused bool
	// primary is the node on which this one relies.
	primary *propagationNode
	version int
	// asOf is the time as of which the copy is known to be complete.
	asOf time.Duration
	// reading is set while a read waits at the store until readEnds.
	reading               bool
	readStarted, readEnds time.Duration
	// nextRead is the time before which no read starts after a change or a refusal.
	nextRead               time.Duration
	nextCheck, nextCompare time.Duration
	readsStore             bool
}

func newPropagationModel(c PropagationCase, seed uint64) *propagationModel {
	m := &propagationModel{rules: freshness.Rules{PropagationBound: c.Bound}, gap: c.ChangeGap, random: rand.New(rand.NewPCG(seed, 2))}
	primaries := (c.PerZone + membersPerPrimary - 1) / membersPerPrimary
	for i := range c.PerZone {
		n := &propagationNode{
			role:    freshness.ZoneRole{Members: c.PerZone, Reader: i < primaries},
			refused: float64(i) < c.RefusedShare*float64(c.PerZone),
		}
		n.nextCheck, n.nextCompare = m.upTo(roleCheckInterval), m.upTo(m.rules.Compare())
		m.nodes = append(m.nodes, n)
		n.primary = m.nodes[i%primaries]
	}
	return m
}

func (m *propagationModel) upTo(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// acknowledged returns the number of changes that the store has acknowledged.
func (m *propagationModel) acknowledged() int { return int(m.now / m.gap) }

// step advances all nodes to the current time.
func (m *propagationModel) step() {
	newest := m.acknowledged()
	for _, n := range m.nodes {
		m.checkRole(n)
		m.compare(n)
		m.read(n, newest)
		if m.now >= propagationSettled && !n.refused {
			m.observe(n, newest)
		}
	}
}

// checkRole decides from time to time whether a node reads the store itself.
func (m *propagationModel) checkRole(n *propagationNode) {
	if m.now < n.nextCheck {
		return
	}
	n.nextCheck += roleCheckInterval
	n.readsStore = m.rules.ReadsStore(n.role, m.now-n.asOf)
}

// compare takes over what the primary reader has.
func (m *propagationModel) compare(n *propagationNode) {
	if m.now < n.nextCompare || n == n.primary {
		return
	}
	n.nextCompare += m.rules.Compare()
	n.version = max(n.version, n.primary.version)
	if n.version == n.primary.version {
		n.asOf = max(n.asOf, n.primary.asOf)
	}
}

// read starts or ends a read of the store.
func (m *propagationModel) read(n *propagationNode, newest int) {
	switch {
	case !n.reading && n.readsStore && m.now >= n.nextRead:
		m.count()
		n.reading, n.readStarted = true, m.now
		n.readEnds = m.now + m.rules.NextWait(n.role, m.now-n.asOf)
		if n.refused {
			n.reading = false
			n.nextRead = m.now + m.rules.PropagationBound/2 + m.upTo(m.rules.PropagationBound/2)
		}
	case n.reading && newest > n.version:
		n.version, n.asOf = newest, max(n.asOf, n.readStarted)
		n.reading, n.nextRead = false, m.now+m.rules.Pause()
	case n.reading && m.now >= n.readEnds:
		n.asOf, n.reading = m.now, false
	}
}

func (m *propagationModel) count() {
	if m.now >= propagationSettled {
		m.calls++
	}
}

// observe records the age of a copy and how late it is.
func (m *propagationModel) observe(n *propagationNode, newest int) {
	m.worstAge = max(m.worstAge, m.now-n.asOf)
	if n.version < newest {
		m.worstDelay = max(m.worstDelay, m.now-time.Duration(n.version+1)*m.gap)
	}
}

// WritePropagation runs all cases and writes one line for each.
func WritePropagation(w io.Writer, seed uint64) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "nodes\tzones\tbound\tcase\tcalls/s\tcalls/s if each node reads\tworst age\tworst delay")
	for _, c := range PropagationCases() {
		r := RunPropagation(c, seed)
		fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%.1f\t%.1f\t%.2f s\t%.2f s\n",
			r.Nodes, r.Zones, r.Bound, r.Name, r.CallsPerSecond, r.DirectCallsPerSecond, r.WorstAge.Seconds(), r.WorstDelay.Seconds())
	}
	return table.Flush()
}
