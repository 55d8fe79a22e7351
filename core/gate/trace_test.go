package gate

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/primrosemount/primrosemount/core/outcome"
)

var classNames = map[string]outcome.Class{
	"critical": outcome.Critical, "normal": outcome.Normal, "sheddable": outcome.Sheddable,
}

// traceRunner executes the commands of a trace file in testdata.
type traceRunner struct {
	t    *testing.T
	gate *Gate
	now  time.Time
	// running holds the running requests of the "run" command, ordered by end time.
	running     []runningRequest
	levels      map[uint64]outcome.Level
	started     map[outcome.Class]int
	maxInFlight int
	lastID      uint64
	seed        uint64
}

type runningRequest struct {
	id    uint64
	start time.Time
	end   time.Time
}

// TestTraces guards the documented results of queue order, eviction, threshold changes,
// deadline rejections, ramp-up and draining.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := &traceRunner{t: t, now: time.Unix(1000, 0), lastID: 1 << 32, seed: 1, levels: map[uint64]outcome.Level{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return r.command(d)
		})
	})
}

func (r *traceRunner) command(d *datadriven.TestData) string {
	switch d.Cmd {
	case "new":
		r.gate = New(Config{Slots: intArg(d, "slots"), Queue: intArg(d, "queue")}, r.now)
		return ""
	case "script":
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			fmt.Fprintf(&out, "%s: %s\n", line, r.step(strings.Fields(line)))
		}
		return out.String()
	case "run":
		return r.run(d)
	}
	r.t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// step executes one line of a script.
func (r *traceRunner) step(words []string) string {
	g := r.gate
	switch words[0] {
	case "offer":
		return r.offer(words[1:])
	case "burst":
		for id := parseNumber(words[1]); id <= parseNumber(words[2]); id++ {
			level := outcome.LevelOf(classNames[words[3]], uint32(id))
			g.Offer(r.now, Request{ID: id, Level: level})
		}
	case "done":
		latency, _ := time.ParseDuration(words[2])
		g.Done(r.now, parseNumber(words[1]), Sample{Latency: latency})
	case "refused":
		latency, _ := time.ParseDuration(words[2])
		g.Done(r.now, parseNumber(words[1]), Sample{Latency: latency, Refused: true})
	case "cancel":
		return fmt.Sprint(g.Cancel(r.now, parseNumber(words[1])))
	case "poll":
		return formatEvents(g.Poll(r.now))
	case "wait":
		d, _ := time.ParseDuration(words[1])
		r.now = r.now.Add(d)
	case "drain":
		g.SetDraining(words[1] == "on")
	case "down":
		g.SetDown(words[1] == "on")
	case "ramp":
		g.StartRampUp(r.now)
	case "capacity":
		g.SetCapacity(int(parseNumber(words[1])), int(parseNumber(words[2])))
	case "wake":
		if wake := g.NextWake(r.now); !wake.IsZero() {
			return "in " + wake.Sub(r.now).String()
		}
		return "never"
	case "state":
	default:
		r.t.Fatalf("unknown step %s", words[0])
	}
	return fmt.Sprintf("in flight %d of %d, queued %d", g.InFlight(), g.Limit(), g.Queued())
}

func (r *traceRunner) offer(words []string) string {
	cohort := uint32(parseNumber(words[2]))
	request := Request{ID: parseNumber(words[0]), Level: outcome.LevelOf(classNames[words[1]], cohort)}
	for _, option := range words[min(len(words), 3):] {
		if boost, ok := strings.CutPrefix(option, "lead="); ok {
			request.PriorityBoost = outcome.Level(parseNumber(boost))
			continue
		}
		left, _ := time.ParseDuration(option)
		request.Deadline = r.now.Add(left)
	}
	return formatDecision(r.gate.Offer(r.now, request))
}

// run offers requests of all classes in turn at a constant rate to a target with a
// constant service time. It prints the threshold and whether three bounds hold: the
// minimum share of critical requests that started, in percent, the maximum share of
// sheddable ones, and the minimum utilization of the capacity.
func (r *traceRunner) run(d *datadriven.TestData) string {
	serviceTime := durationArg(d, "service")
	gap := time.Second / time.Duration(intArg(d, "rate"))
	begin, offered := r.now, 0
	r.started, r.maxInFlight = map[outcome.Class]int{}, 0
	for end := r.now.Add(durationArg(d, "for")); r.now.Before(end); r.now = r.now.Add(gap) {
		r.finish(serviceTime)
		r.offerNext(serviceTime)
		offered++
		r.maxInFlight = max(r.maxInFlight, r.gate.InFlight())
	}
	capacity := float64(r.gate.Limit()) * float64(r.now.Sub(begin)) / float64(serviceTime)
	total := r.started[outcome.Critical] + r.started[outcome.Normal] + r.started[outcome.Sheddable]
	critical := 300 * r.started[outcome.Critical] / offered
	sheddable := 300 * r.started[outcome.Sheddable] / offered
	utilization := 100 * float64(total) / capacity
	return fmt.Sprintf("admitted class: %s\nall levels: %v\ncritical: %v\nsheddable: %v\nuse: %v\nat most in flight: %d\n",
		r.gate.Threshold().Class(), r.gate.Threshold() == outcome.MaxLevel,
		critical >= intArg(d, "critical"), sheddable <= intArg(d, "sheddable"),
		utilization >= float64(intArg(d, "use")), r.maxInFlight)
}

// offerNext offers the next request.
func (r *traceRunner) offerNext(serviceTime time.Duration) {
	r.lastID++
	r.seed = r.seed*6364136223846793005 + 1442695040888963407
	class := outcome.Class(r.lastID%3) + outcome.Critical
	level := outcome.LevelOf(class, uint32(r.seed>>40))
	r.levels[r.lastID] = level
	request := Request{ID: r.lastID, Level: level, Deadline: r.now.Add(time.Second)}
	if r.gate.Offer(r.now, request).Kind == Start {
		r.recordStart(r.lastID, r.now, serviceTime)
	}
}

func (r *traceRunner) recordStart(id uint64, at time.Time, serviceTime time.Duration) {
	r.started[r.levels[id].Class()]++
	r.running = append(r.running, runningRequest{id, at, at.Add(serviceTime)})
}

// finish ends the requests that are due and starts queued ones.
func (r *traceRunner) finish(serviceTime time.Duration) {
	for len(r.running) > 0 && !r.running[0].end.After(r.now) {
		done := r.running[0]
		r.running = r.running[1:]
		r.gate.Done(done.end, done.id, Sample{Latency: done.end.Sub(done.start)})
		for _, e := range r.gate.Poll(done.end) {
			if e.Kind == Start {
				r.recordStart(e.ID, done.end, serviceTime)
			}
		}
	}
}

func formatDecision(d Decision) string {
	if d.Kind != Refuse {
		return d.Kind.String()
	}
	if d.RetryAfter > 0 {
		return fmt.Sprintf("refuse %s, retry after %s", d.Reason, d.RetryAfter)
	}
	return fmt.Sprintf("refuse %s", d.Reason)
}

func formatEvents(events []Event) string {
	var out []string
	for _, e := range events {
		out = append(out, fmt.Sprintf("%d %s", e.ID, formatDecision(e.Decision)))
	}
	if len(out) == 0 {
		return "none"
	}
	return strings.Join(out, "; ")
}

func parseNumber(word string) uint64 {
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

func intArg(d *datadriven.TestData, name string) int {
	return int(parseNumber(arg(d, name)))
}

func durationArg(d *datadriven.TestData, name string) time.Duration {
	v, err := time.ParseDuration(arg(d, name))
	if err != nil {
		panic(err)
	}
	return v
}

func arg(d *datadriven.TestData, name string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name {
			return a.Vals[0]
		}
	}
	panic("missing argument " + name)
}
