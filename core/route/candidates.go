package route

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// A Candidate is a target to which a request could be sent, and why it would not be.
type Candidate struct {
	Explanation
	Zone string `json:"zone"`
	// Refusal is the reason for which the target cannot be chosen, or empty.
	Refusal string `json:"refusal,omitempty"`
	// RefusedShare and FailedShare are the recent shares of refusals and failures.
	RefusedShare float64 `json:"refused_share"`
	FailedShare  float64 `json:"failed_share"`
	// Bias is by how much the target usually exceeds the expected latency.
	Bias time.Duration `json:"bias_ns"`
}

// Candidates tells where a request would go now, and why. It is computed without sending
// the request, and without the random addition to the occupancy.
type Candidates struct {
	Service   string `json:"service"`
	Operation string `json:"operation"`
	// InForce is true if the configuration calls for placement by cost. Otherwise
	// NearestCapacity chooses targets.
	InForce bool `json:"in_force"`
	// OperationKnown is false if the cost is the mean of the service.
	OperationKnown bool          `json:"operation_known"`
	Bytes          float64       `json:"bytes"`
	Surcharge      time.Duration `json:"zone_surcharge_ns"`
	// Targets holds the targets that get requests of this node: first those that can be
	// chosen, lowest score first.
	Targets []Candidate `json:"targets"`
	// Outside is the number of targets of the service that get no requests of this node.
	Outside int `json:"outside"`
}

// Candidates returns where a request with the given effective level would go now. It
// returns false if the service is not known. It changes nothing.
func (r *Router) Candidates(now time.Time, name string, level outcome.Level, request Request) (Candidates, bool) {
	s := (*r.services.Load())[name]
	if s == nil {
		return Candidates{}, false
	}
	v, n := s.view.Load(), s.needOf(request)
	q := query{at: r.clock.nanos(now), level: level, panic: s.panic.Load()}
	result := Candidates{Service: name, Operation: request.Operation, OperationKnown: n.operation != s.operations.All(), Bytes: n.bytes,
		Outside: len(v.byIncarnation) - len(v.all)}
	lowest := -1.0
	for _, e := range v.all {
		c, occupancy := e.candidate(&q, &n)
		result.Targets = append(result.Targets, c)
		if e.tier == tierOwnZone && c.Refusal == "" && (lowest < 0 || occupancy < lowest) {
			lowest = occupancy
		}
	}
	if v.preferOwnZone && lowest >= 0 {
		result.Surcharge = time.Duration(n.zoneSurcharge(shortageAt(lowest)))
	}
	for i, e := range v.all {
		if e.tier != tierOwnZone {
			result.Targets[i].Score += result.Surcharge
		}
	}
	slices.SortStableFunc(result.Targets, compareCandidates)
	return result, true
}

// compareCandidates orders targets that can be chosen before others, and then by score.
func compareCandidates(a, b Candidate) int {
	return cmp.Or(cmp.Compare(indicator(a.Refusal != ""), indicator(b.Refusal != "")), cmp.Compare(a.Score, b.Score))
}

// candidate describes the endpoint, and returns its occupancy with one more request.
func (e *Endpoint) candidate(q *query, n *need) (Candidate, float64) {
	var x estimate
	e.estimate(&x, q.at, n, 0)
	return Candidate{
		Explanation:  e.explain(q.at, n, &x),
		Zone:         e.target.Zone,
		Refusal:      e.refusalOf(q),
		RefusedShare: e.refused.load(),
		FailedShare:  e.failed.load(),
		Bias:         time.Duration(e.learned().usualBias(q.at, n.mean)),
	}, x.occupancy()
}

// refusalOf returns why the endpoint cannot be chosen, or an empty string.
func (e *Endpoint) refusalOf(q *query) string {
	state := e.state(q.at)
	switch {
	case e.tier == tierOtherRegion:
		return "in another region, used only if the own region has no target"
	case state == stateOutlier && q.panic, state == stateTrialDue:
		return ""
	case state == stateOutlier, state == stateConnectionLost:
		return fmt.Sprintf("%v: %v", state, Cause(e.cause.Load()))
	case state != stateOpen:
		return state.String()
	case !e.admits(q.at, q.level):
		return fmt.Sprintf("admits levels up to %d", e.threshold.At(q.at))
	default:
		return ""
	}
}

// WriteText writes the candidates as a table.
func (c *Candidates) WriteText(w io.Writer) error {
	var text strings.Builder
	if !c.InForce {
		text.WriteString("Placement by cost is not in force: targets are chosen by free capacity, own zone first.\n")
	}
	known := ""
	if !c.OperationKnown {
		known = " (not known; the mean of the service is used)"
	}
	_, _ = fmt.Fprintf(&text, "service %s, operation %s%s, %.0f bytes expected, surcharge of other zones %v\n",
		printable(c.Service), printable(c.Operation), known, c.Bytes, rounded(c.Surcharge))
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "VM\tZONE\tSCORE\tCOST\tCALLS\tSPEED\tSPEED AGE\tWORK LEFT\tREQUESTS\tSLOTS\tREPORT AGE\tWAIT\tBIAS\tREFUSED\tFAILED\tREFUSAL")
	for _, t := range c.Targets {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%v\t%v\t%v\t%.2f\t%s\t%v\t%.1f\t%.0f\t%s\t%v\t%v\t%.0f %%\t%.0f %%\t%s\n",
			printable(t.VM), printable(t.Zone), rounded(t.Score), rounded(t.Cost), rounded(t.Calls), t.Speed, ageText(t.SpeedAge), rounded(t.WorkLeft),
			t.Requests, t.Slots, ageText(t.ReportAge), rounded(t.Wait), rounded(t.Bias), 100*t.RefusedShare, 100*t.FailedShare, cmp.Or(t.Refusal, "-"))
	}
	_ = table.Flush() // A strings.Builder does not fail.
	if c.Outside > 0 {
		_, _ = fmt.Fprintf(&text, "%d further targets of the service get no requests of this node.\n", c.Outside)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// textResolution is the resolution of times in text.
const textResolution = 10 * time.Microsecond

func rounded(d time.Duration) time.Duration { return d.Round(textResolution) }

func ageText(age time.Duration) string {
	if age == unknownAge {
		return "-"
	}
	return age.Round(time.Millisecond).String()
}

// printable replaces control characters by spaces, so that no name can break the table or
// send escape sequences to a terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, text)
}
