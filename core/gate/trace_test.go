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

// traceRunner executes the commands of one trace file.
type traceRunner struct {
	t    *testing.T
	gate *Gate
	now  time.Time
	// ends holds the running requests of the command "run" in order of end.
	ends    []runningRequest
	levels  map[uint64]outcome.Level
	started map[outcome.Class]int
	highest int
	next    uint64
	seed    uint64
}

type runningRequest struct {
	id    uint64
	start time.Time
	end   time.Time
}

// TestTraces guards the stated outcomes of queue order, eviction, threshold
// movement, deadline refusals, ramp-up and drain.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := &traceRunner{t: t, now: time.Unix(1000, 0), next: 1 << 32, seed: 1, levels: map[uint64]outcome.Level{}}
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
		for id := number(words[1]); id <= number(words[2]); id++ {
			level := outcome.LevelOf(classNames[words[3]], uint32(id))
			g.Offer(r.now, Request{ID: id, Level: level})
		}
	case "done":
		latency, _ := time.ParseDuration(words[2])
		g.Done(r.now, number(words[1]), Sample{Latency: latency})
	case "refused":
		latency, _ := time.ParseDuration(words[2])
		g.Done(r.now, number(words[1]), Sample{Latency: latency, Refused: true})
	case "cancel":
		return fmt.Sprint(g.Cancel(r.now, number(words[1])))
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
		g.SetCapacity(int(number(words[1])), int(number(words[2])))
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
	cohort := uint32(number(words[2]))
	request := Request{ID: number(words[0]), Level: outcome.LevelOf(classNames[words[1]], cohort)}
	for _, option := range words[min(len(words), 3):] {
		if lead, ok := strings.CutPrefix(option, "lead="); ok {
			request.PriorityBoost = outcome.Level(number(lead))
			continue
		}
		left, _ := time.ParseDuration(option)
		request.Deadline = r.now.Add(left)
	}
	return formatDecision(r.gate.Offer(r.now, request))
}

// run offers requests of all classes in turn at a steady rate to a target with
// a constant service time. It prints the threshold and whether the stated bounds
// hold: the least share of critical requests that started, in percent, the most
// of sheddable ones, and the least use of the capacity.
func (r *traceRunner) run(d *datadriven.TestData) string {
	service := durationArg(d, "service")
	gap := time.Second / time.Duration(intArg(d, "rate"))
	begin, offered := r.now, 0
	r.started, r.highest = map[outcome.Class]int{}, 0
	for end := r.now.Add(durationArg(d, "for")); r.now.Before(end); r.now = r.now.Add(gap) {
		r.finish(service)
		r.offerOne(service)
		offered++
		r.highest = max(r.highest, r.gate.InFlight())
	}
	capacity := float64(r.gate.Limit()) * float64(r.now.Sub(begin)) / float64(service)
	total := r.started[outcome.Critical] + r.started[outcome.Normal] + r.started[outcome.Sheddable]
	critical := 300 * r.started[outcome.Critical] / offered
	sheddable := 300 * r.started[outcome.Sheddable] / offered
	use := 100 * float64(total) / capacity
	return fmt.Sprintf("admitted class: %s\nall levels: %v\ncritical: %v\nsheddable: %v\nuse: %v\nat most in flight: %d\n",
		r.gate.Threshold().Class(), r.gate.Threshold() == outcome.MaxLevel,
		critical >= intArg(d, "critical"), sheddable <= intArg(d, "sheddable"),
		use >= float64(intArg(d, "use")), r.highest)
}

// offerOne offers the next request.
func (r *traceRunner) offerOne(service time.Duration) {
	r.next++
	r.seed = r.seed*6364136223846793005 + 1442695040888963407
	class := outcome.Class(r.next%3) + outcome.Critical
	level := outcome.LevelOf(class, uint32(r.seed>>40))
	r.levels[r.next] = level
	request := Request{ID: r.next, Level: level, Deadline: r.now.Add(time.Second)}
	if r.gate.Offer(r.now, request).Kind == Start {
		r.began(r.next, r.now, service)
	}
}

func (r *traceRunner) began(id uint64, at time.Time, service time.Duration) {
	r.started[r.levels[id].Class()]++
	r.ends = append(r.ends, runningRequest{id, at, at.Add(service)})
}

// finish ends what is due and starts what waits.
func (r *traceRunner) finish(service time.Duration) {
	for len(r.ends) > 0 && !r.ends[0].end.After(r.now) {
		done := r.ends[0]
		r.ends = r.ends[1:]
		r.gate.Done(done.end, done.id, Sample{Latency: done.end.Sub(done.start)})
		for _, e := range r.gate.Poll(done.end) {
			if e.Kind == Start {
				r.began(e.ID, done.end, service)
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

func number(word string) uint64 {
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

func intArg(d *datadriven.TestData, name string) int {
	return int(number(arg(d, name)))
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
