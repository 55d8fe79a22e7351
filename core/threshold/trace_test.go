package threshold

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

var start = time.Unix(1000, 0)

// chain is a model of the entry and four services, one node each: the entry
// calls A, A needs B, B needs C, and A also calls D, whose answer it can do
// without. Every service has one operation. Commands:
//
//	gate service=S threshold=N    the gate of a service admits up to N
//	run for=D [critical]          one request per millisecond, half of them
//	                              sheddable and half normal (or all critical)
//	show                          what each sender believes of its calls
type chain struct {
	now    time.Time
	random *rand.Rand
	nodes  map[string]*node
	counts counts
}

type node struct {
	gate       outcome.Level
	needs      []string
	mayNeed    []string
	downstream *Downstream
	operations *Operations
}

// counts are requests: good, refused by the entry before any work, and doomed,
// which are requests that A started and that failed.
type counts struct{ good, early, doomed int }

func newChain() *chain {
	c := &chain{now: start, random: rand.New(rand.NewPCG(1, 1)), nodes: map[string]*node{}}
	needs := map[string][]string{"entry": {"A"}, "A": {"B"}, "B": {"C"}, "C": nil, "D": nil}
	for name, calls := range needs {
		d := NewDownstream(start)
		c.nodes[name] = &node{gate: outcome.MaxLevel, needs: calls, downstream: d, operations: NewOperations(d)}
	}
	c.nodes["A"].mayNeed = []string{"D"}
	return c
}

// request runs one root request.
func (c *chain) request(class outcome.Class) {
	root := make([]byte, outcome.RootIDBytes)
	binary.LittleEndian.PutUint64(root, c.random.Uint64())
	binary.LittleEndian.PutUint64(root[8:], c.random.Uint64())
	level := outcome.LevelOf(class, outcome.CohortOf(root))
	good, sent, _ := c.send("entry", "A", level, IsTrial(root))
	switch {
	case good:
		c.counts.good++
	case sent:
		c.counts.doomed++
	default:
		c.counts.early++
	}
}

// send makes a call as the egress of a node does.
func (c *chain) send(from, to string, level outcome.Level, trial bool) (good, sent, doomed bool) {
	sender, called := c.nodes[from], Dependency{to, "op"}
	if err := sender.downstream.Admit(c.now, called, level, trial); err != nil {
		return false, false, true
	}
	good, reported := c.serve(to, level, trial)
	answer := Response{Level: level, Threshold: reported, Success: good}
	sender.downstream.Observe(c.now, called, answer)
	return good, true, answer.Doomed()
}

// serve runs a call at its service and returns the operation threshold that the
// answer carries.
func (c *chain) serve(name string, level outcome.Level, trial bool) (good bool, reported outcome.Level) {
	n := c.nodes[name]
	if level > n.gate {
		return false, n.operations.Threshold(c.now, "op", n.gate)
	}
	good = true
	run := n.operations.Start("op", level)
	for _, called := range n.mayNeed {
		if _, _, doomed := c.send(name, called, level, trial); doomed {
			run.CallRefused(Dependency{called, "op"})
		}
	}
	for _, called := range n.needs {
		ok, _, doomed := c.send(name, called, level, trial)
		good = good && ok
		if doomed {
			run.CallRefused(Dependency{called, "op"})
		}
	}
	run.Finish(c.now, !good)
	return good, n.operations.Threshold(c.now, "op", n.gate)
}

func (c *chain) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "gate":
		var service string
		var threshold int
		d.ScanArgs(t, "service", &service)
		d.ScanArgs(t, "threshold", &threshold)
		c.nodes[service].gate = outcome.Level(threshold)
		return ""
	case "run":
		return c.runFor(t, d)
	default:
		return c.show()
	}
}

func (c *chain) runFor(t *testing.T, d *datadriven.TestData) string {
	var text string
	d.ScanArgs(t, "for", &text)
	length, err := time.ParseDuration(text)
	require.NoError(t, err)
	c.counts = counts{}
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(time.Millisecond) {
		class := outcome.Normal + outcome.Class(c.random.IntN(2))
		if d.HasArg("critical") {
			class = outcome.Critical
		}
		c.request(class)
	}
	return fmt.Sprintf("good %d, refused at the entry %d, doomed %d\n", c.counts.good, c.counts.early, c.counts.doomed)
}

func (c *chain) show() string {
	believed := func(from, to string) outcome.Level {
		return c.nodes[from].downstream.Threshold(c.now, Dependency{to, "op"})
	}
	return fmt.Sprintf("entry of A %d, A of B %d, A of D %d, B of C %d\n",
		believed("entry", "A"), believed("A", "B"), believed("A", "D"), believed("B", "C"))
}

// Guards the stated outcomes of thresholds that move up over three levels of
// services, of calls that a request can do without, and of recovery.
func TestThresholdsMoveUpTheChain(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		c := newChain()
		datadriven.RunTest(t, path, c.run)
	})
}
