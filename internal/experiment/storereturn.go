package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/freshness"
)

const (
	// returnStep is the resolution of the model in virtual time.
	returnStep = 10 * time.Millisecond
	// returnLength is the longest duration of one run.
	returnLength = time.Minute
	// exchangeInterval is the time between two comparisons of a node that has noticed
	// the return with random others.
	exchangeInterval = 250 * time.Millisecond
	// rewriteDelay and publishDelay are the waits of a node before it writes its record.
	rewriteDelay = 250 * time.Millisecond
	publishDelay = 50 * time.Millisecond
	// topicsRead is the number of topics that a node which follows both reads again.
	topicsRead = 2
)

// A ReturnCase is a fleet whose store returns from a copy that has no record of the nodes.
type ReturnCase struct {
	Zones, PerZone int
	// Bound is the time within which a configuration must be in force.
	Bound time.Duration
	// ReadsPerSecond and WritesPerSecond are the rates of the store.
	ReadsPerSecond, WritesPerSecond float64
	// Outage is how long the store was away. After a long one, all nodes read the
	// configuration themselves, because their copies are old.
	Outage time.Duration
}

// A ReturnResult shows the load of the store after its return, and how long it takes.
type ReturnResult struct {
	ReturnCase
	Nodes int
	// PeakReads and PeakWrites are the most calls in one second.
	PeakReads, PeakWrites int
	// LastNotice is when the last node has noticed the return, and LastRecord when the
	// last record is on the store again.
	LastNotice, LastRecord time.Duration
}

// ReturnCases returns fleets of the users' sizes and of the size aimed at, for which the
// rates of the largest site are taken.
func ReturnCases() []ReturnCase {
	var cases []ReturnCase
	for _, outage := range []time.Duration{500 * time.Millisecond, 12 * time.Second} {
		cases = append(cases,
			ReturnCase{4, 4, 2 * time.Second, 2000, 400, outage},
			ReturnCase{4, 19, 2500 * time.Millisecond, 6000, 1200, outage},
			ReturnCase{6, 16, 3 * time.Second, 16000, 3200, outage},
			ReturnCase{6, 50, 3 * time.Second, 16000, 3200, outage},
			ReturnCase{6, 1600, 12 * time.Second, 16000, 3200, outage})
	}
	return cases
}

// returnNode is one node. Times are since the return, and zero if they are not known yet.
type returnNode struct {
	follows bool
	// retries is when a follower reads the store again after its failed reads.
	retries time.Duration
	noticed bool
	// primary is the reader on which the node relies, and asks is when it compares with
	// it next.
	primary *returnNode
	asks    time.Duration
	// compares is when the node compares with a random one next, and writes when it
	// writes its record.
	compares, writes time.Duration
	written          bool
}

// RunReturn models the time after the return of the store.
func RunReturn(c ReturnCase, seed uint64) ReturnResult {
	m := newReturnModel(c, seed)
	for m.now = 0; m.now < returnLength && m.unwritten > 0; m.now += returnStep {
		for _, n := range m.nodes {
			m.step(n)
		}
	}
	m.result.PeakReads, m.result.PeakWrites = m.reads.peak(), m.writes.peak()
	return m.result
}

// returnModel is the state of all nodes.
type returnModel struct {
	rules         freshness.Rules
	random        *rand.Rand
	nodes         []*returnNode
	now           time.Duration
	unwritten     int
	reads, writes callRate
	readSpread    time.Duration
	writeSpread   time.Duration
	result        ReturnResult
}

func newReturnModel(c ReturnCase, seed uint64) *returnModel {
	count := c.Zones * c.PerZone
	m := &returnModel{
		rules: freshness.Rules{PropagationBound: c.Bound}, random: rand.New(rand.NewPCG(seed, 3)), unwritten: count,
		reads: make(callRate), writes: make(callRate),
		readSpread: era.Spread(topicsRead*count, c.ReadsPerSecond), writeSpread: era.Spread(count, c.WritesPerSecond),
		result: ReturnResult{ReturnCase: c, Nodes: count},
	}
	primaries := (c.PerZone + membersPerPrimary - 1) / membersPerPrimary
	for i := range count {
		role := freshness.ZoneRole{Members: c.PerZone, Reader: i/c.Zones < primaries}
		var primary *returnNode
		if role.ReliesOnReaders() {
			primary = m.nodes[i%c.Zones+c.Zones*m.random.IntN(primaries)]
		}
		m.nodes = append(m.nodes, &returnNode{
			primary: primary, asks: m.upTo(m.rules.Compare()),
			follows: m.rules.ReadsStore(role, c.Outage), retries: m.upTo(min(m.rules.PropagationBound, c.Outage)), compares: m.upTo(exchangeInterval),
		})
	}
	return m
}

// upTo returns a random duration below a limit, which may be 0.
func (m *returnModel) upTo(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit) + 1))
}

// step advances one node to the current time.
func (m *returnModel) step(n *returnNode) {
	if !n.noticed && n.follows && m.now >= n.retries {
		m.reads.add(m.now)
		m.notice(n)
	}
	if m.now >= n.compares {
		n.compares += exchangeInterval
		m.compare(n, m.nodes[m.random.IntN(len(m.nodes))])
	}
	if n.primary != nil && m.now >= n.asks {
		n.asks += m.rules.Compare()
		m.compare(n.primary, n)
	}
	if n.noticed && !n.written && m.now >= n.writes {
		n.written = true
		m.unwritten--
		m.writes.add(m.now)
		m.result.LastRecord = m.now
	}
}

// compare makes the second node notice the return if the first one has. The rarer
// comparisons of nodes that have not noticed it are left out.
func (m *returnModel) compare(a, b *returnNode) {
	if a.noticed && !b.noticed {
		m.notice(b)
	}
}

// notice schedules the reads and the write of a node that has noticed the return.
func (m *returnModel) notice(n *returnNode) {
	n.noticed = true
	m.result.LastNotice = m.now
	n.writes = m.now + rewriteDelay + publishDelay + m.upTo(m.writeSpread)
	if n.follows {
		for range topicsRead {
			m.reads.add(m.now + m.upTo(m.readSpread))
		}
	}
}

// callRate counts calls by steps of 100 ms.
type callRate map[int]int

const callRateStep = 100 * time.Millisecond

func (r callRate) add(at time.Duration) { r[int(at/callRateStep)]++ }

// peak returns the most calls in one second.
func (r callRate) peak() int {
	peak := 0
	for first := range r {
		sum := 0
		for step := range int(time.Second / callRateStep) {
			sum += r[first+step]
		}
		peak = max(peak, sum)
	}
	return peak
}

// WriteReturn runs all cases and writes one line for each.
func WriteReturn(w io.Writer, seed uint64) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "nodes\tzones\toutage\treads/s\tallowed\twrites/s\tallowed\tlast notice\tlast record")
	for _, c := range ReturnCases() {
		r := RunReturn(c, seed)
		fmt.Fprintf(table, "%d\t%d\t%s\t%d\t%.0f\t%d\t%.0f\t%.2f s\t%.2f s\n",
			r.Nodes, r.Zones, r.Outage, r.PeakReads, r.ReadsPerSecond, r.PeakWrites, r.WritesPerSecond, r.LastNotice.Seconds(), r.LastRecord.Seconds())
	}
	return table.Flush()
}
