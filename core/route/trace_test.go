package route

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// trace replays a file of testdata with one caller that makes one call after
// the other. Commands:
//
//	router zone=Z [seed=N]            a router in zone Z of region r1
//	targets                           input lines "ID ZONE REGION", 100 slots each
//	answer id=N result=R latency=D    how target N answers from now on
//	begin id=N calls=N                calls in flight that do not end
//	report id=N [threshold=L] [draining] [down]
//	wait for=D
//	call n=N [level=L] [exclude=N]    prints calls per target and refusals
//	status                            prints the targets that are not plainly open
type trace struct {
	now     time.Time
	router  *Router
	answers map[uint64]Result
	events  []string
}

// Guards the stated outcomes of ejection, return, spill-over, drain and panic.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tr := &trace{now: start, answers: map[uint64]Result{}}
		datadriven.RunTest(t, path, tr.run)
	})
}

func (tr *trace) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "router":
		return tr.start(t, d)
	case "targets":
		tr.router.Update(tr.now, "s", parseTargets(t, d.Input))
	case "answer":
		result, known := named[word(t, d, "result")]
		require.True(t, known)
		result.Latency = duration(t, d, "latency")
		tr.answers[id(t, d)] = result
	case "begin":
		for range number(t, d, "calls", 1) {
			tr.router.Find(id(t, d)).Begin()
		}
	case "report":
		tr.router.Find(id(t, d)).Report(tr.now, Report{
			Threshold:  outcome.Level(number(t, d, "threshold", 0)),
			Draining:   d.HasArg("draining"),
			TargetDown: d.HasArg("down"),
		})
	case "wait":
		tr.now = tr.now.Add(duration(t, d, "for"))
	case "call":
		return tr.call(number(t, d, "n", 1), number(t, d, "level", 0), number(t, d, "exclude", 0))
	case "status":
		return tr.status()
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return ""
}

func (tr *trace) start(t *testing.T, d *datadriven.TestData) string {
	tr.router = New(Config{
		Self: 1, Zone: word(t, d, "zone"), Region: "r1", Start: start, Seed: uint64(number(t, d, "seed", 1)),
		Observer: func(e Event) { tr.events = append(tr.events, e.line()) },
	})
	return ""
}

func (e Event) line() string {
	if e.Ejected {
		return fmt.Sprintf("%d ejected for %v: %v", e.Target.Incarnation, e.Duration, e.Cause)
	}
	return fmt.Sprintf("%d returned", e.Target.Incarnation)
}

// call makes calls one after the other and prints what happened.
func (tr *trace) call(n, level, exclude int) string {
	counts := map[string]int{}
	tr.events = nil
	for range n {
		e, err := tr.router.Pick(tr.now, "s", outcome.Level(level), uint64(exclude))
		if err != nil {
			tr.now = tr.now.Add(time.Millisecond)
			counts["refused "+err.Reason.String()]++
			continue
		}
		result := tr.answerOf(e.Target().Incarnation)
		e.Begin()
		tr.now = tr.now.Add(result.Latency)
		e.End(tr.now, result)
		counts[fmt.Sprintf("target %d", e.Target().Incarnation)]++
	}
	var lines []string
	for what, count := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", what, count))
	}
	slices.Sort(lines)
	return strings.Join(append(lines, tr.events...), "\n") + "\n"
}

func (tr *trace) answerOf(id uint64) Result {
	if result, ok := tr.answers[id]; ok {
		return result
	}
	return Result{Latency: 10 * time.Millisecond, Outcome: outcome.Completed}
}

func (tr *trace) status() string {
	var lines []string
	if tr.router.InPanicMode("s") {
		lines = append(lines, "panic")
	}
	tr.router.Each("s", func(e *Endpoint) {
		if s := e.Status(tr.now); s.State != "open" || s.Threshold != outcome.MaxLevel {
			lines = append(lines, fmt.Sprintf("%d %s, threshold %d", e.Target().Incarnation, s.State, s.Threshold))
		}
	})
	slices.Sort(lines)
	return strings.Join(append(lines, ""), "\n")
}

// named are results by short name.
var named = map[string]Result{
	"ok":      {Outcome: outcome.Completed},
	"error":   {Outcome: outcome.Completed, ErrorResponse: true},
	"lost":    {Outcome: outcome.Unknown, Reason: outcome.AnswerLost},
	"timeout": {Outcome: outcome.Unknown, Reason: outcome.DeadlineExceeded},
	"refused": {Outcome: outcome.NotRun, Reason: outcome.Overloaded},
}

func parseTargets(t *testing.T, input string) []Target {
	var targets []Target
	for line := range strings.Lines(input) {
		target := Target{Slots: 100}
		_, err := fmt.Sscan(line, &target.Incarnation, &target.Zone, &target.Region)
		require.NoError(t, err)
		targets = append(targets, target)
	}
	return targets
}

func word(t *testing.T, d *datadriven.TestData, key string) string {
	var value string
	d.ScanArgs(t, key, &value)
	return value
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	value, err := time.ParseDuration(word(t, d, key))
	require.NoError(t, err)
	return value
}

func number(t *testing.T, d *datadriven.TestData, key string, otherwise int) int {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &otherwise)
	}
	return otherwise
}

func id(t *testing.T, d *datadriven.TestData) uint64 { return uint64(number(t, d, "id", 0)) }
