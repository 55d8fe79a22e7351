package demo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/primrosemount/primrosemount/internal/standin/target"
)

// Goals for the summary.
const (
	recoveryGoalSeconds = 5.0
	changeGoalSeconds   = 3.0
	// recoveredShare is the share of the earlier goodput from which the load counts as
	// recovered.
	recoveredShare = 0.95
	bucketWidth    = 500 * time.Millisecond
)

// Summary is the result of a run, as recorded by callers and targets.
type Summary struct {
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_seconds"`
	// Offered is the number of requests of callers, Goodput the number of those with a
	// complete response in time.
	Offered int `json:"offered"`
	Goodput int `json:"goodput"`
	// GoodputShare is Goodput divided by Offered.
	GoodputShare float64 `json:"goodput_share"`
	// Shed is the number of requests whose last send was refused, by class.
	Shed           map[string]int `json:"shed"`
	OfferedByClass map[string]int `json:"offered_by_class"`
	Unknown        int            `json:"unknown"`
	// UnknownByReason is the number of unknown outcomes by class and reason.
	UnknownByReason map[string]int `json:"unknown_by_reason"`
	// AttemptsPerRootMax is the highest number of times that targets started one
	// operation on behalf of one request.
	AttemptsPerRootMax int `json:"attempts_per_root_max"`
	// SendsPerRootMax is the highest number of sends of one request by its caller.
	SendsPerRootMax int `json:"sends_per_root_max"`
	// ExecutedTwice is the number of non-idempotent requests of which the operation or
	// the nested charge was started more than once.
	ExecutedTwice int `json:"executed_twice"`
	// WrongAnswers is the number of sends with a response that is invalid or belongs to
	// another request.
	WrongAnswers int `json:"wrong_answers"`
	// NotRunButRun is the number of sends of non-idempotent requests that were reported
	// as not run although the target started them.
	NotRunButRun int `json:"not_run_but_run"`
	// CutByDrain is the number of executions that a planned stop aborted.
	CutByDrain int `json:"cut_by_drain"`
	// WorkAfterLeaving is the number of requests that started at the draining target
	// more than 2 s after it announced the drain.
	WorkAfterLeaving int `json:"work_after_leaving"`
	// RecoverySeconds is the time from the end of the overload until the share of good
	// requests is back at recoveredShare of its earlier value.
	RecoverySeconds float64 `json:"recovery_seconds"`
	// CatalogueSeconds is the time until all nodes had applied a catalogue change.
	CatalogueSeconds float64 `json:"catalogue_seconds"`
	// Broken lists the guarantees that were violated.
	Broken []string `json:"broken"`
}

func (s *scenario) summarize() *Summary {
	s.events.mutex.Lock()
	defer s.events.mutex.Unlock()
	summary := &Summary{
		Seed:             s.options.Seed,
		DurationSeconds:  s.options.Duration.Seconds(),
		Shed:             make(map[string]int),
		OfferedByClass:   make(map[string]int),
		UnknownByReason:  make(map[string]int),
		CutByDrain:       len(s.fleet.Ledger.Aborted()),
		WorkAfterLeaving: s.events.lateRequests,
		CatalogueSeconds: s.events.changeSeconds,
		RecoverySeconds:  s.recoverySeconds(),
	}
	for _, request := range s.recorder.records {
		summary.count(request)
		s.audit(summary, request)
	}
	summary.GoodputShare = float64(summary.Goodput) / float64(max(summary.Offered, 1))
	summary.check()
	return summary
}

// count adds the outcome of a request as its caller saw it.
func (s *Summary) count(r *record) {
	s.Offered++
	s.OfferedByClass[r.operation.class]++
	s.SendsPerRootMax = max(s.SendsPerRootMax, len(r.sends))
	switch r.sends[len(r.sends)-1].verdict {
	case verdictCompleted:
		s.Goodput++
	case verdictNotRun:
		s.Shed[r.operation.class]++
	case verdictUnknown:
		s.Unknown++
		s.UnknownByReason[r.operation.class+"/"+r.sends[len(r.sends)-1].reason]++
	}
	for _, send := range r.sends {
		if send.verdict == verdictWrong {
			s.WrongAnswers++
		}
	}
}

// audit compares what the caller saw with what the targets executed.
func (s *scenario) audit(summary *Summary, r *record) {
	ledger := s.fleet.Ledger
	executions := 0
	seen := make(map[string]bool)
	for _, send := range r.sends {
		execution := target.Execution{Service: r.operation.service, Operation: r.operation.name, ID: send.id}
		if !seen[send.id] {
			seen[send.id] = true
			executions += ledger.Begun(execution)
		}
		if send.verdict == verdictNotRun && ledger.Begun(execution) > 0 && !r.operation.idempotent {
			summary.NotRunButRun++
		}
	}
	summary.AttemptsPerRootMax = max(summary.AttemptsPerRootMax, executions, s.maxNestedExecutions(seen))
	if !r.operation.idempotent && (executions > 1 || s.chargedTwice(seen)) {
		summary.ExecutedTwice++
	}
}

// maxNestedExecutions returns the highest number of times that one nested operation was
// started for a request.
func (s *scenario) maxNestedExecutions(ids map[string]bool) int {
	checks, charges := 0, 0
	for id := range ids {
		checks += s.fleet.Ledger.Begun(target.Execution{Service: "lawn-availability", Operation: "check", ID: id})
		charges += s.fleet.Ledger.Begun(target.Execution{Service: "dues", Operation: "charge", ID: id})
	}
	return max(checks, charges)
}

// chargedTwice reports whether the charge was started more than once for the sends of a
// booking.
func (s *scenario) chargedTwice(ids map[string]bool) bool {
	charges := 0
	for id := range ids {
		charges += s.fleet.Ledger.Begun(target.Execution{Service: "dues", Operation: "charge", ID: id})
	}
	return charges > 1
}

// recoverySeconds returns the time from the end of the overload until the share of good
// requests that start within a bucket reaches recoveredShare of its value before the
// overload.
func (s *scenario) recoverySeconds() float64 {
	before := s.goodShare(s.startTime.Add(bucketWidth), s.at(overloadFrom))
	from := s.at(overloadTo)
	for at := from; at.Before(s.at(1)); at = at.Add(bucketWidth) {
		if s.goodShare(at, at.Add(bucketWidth)) >= recoveredShare*before {
			return at.Sub(from).Seconds()
		}
	}
	return s.at(1).Sub(from).Seconds()
}

// goodShare returns the share of good requests among those that started in the
// interval.
func (s *scenario) goodShare(from, to time.Time) float64 {
	offered, good := 0, 0
	for _, r := range s.recorder.records {
		if r.startTime.Before(from) || !r.startTime.Before(to) {
			continue
		}
		offered++
		if r.good() {
			good++
		}
	}
	return float64(good) / float64(max(offered, 1))
}

// shedShare returns the share of the requests of a class that were shed.
func (s *Summary) shedShare(class string) float64 {
	return float64(s.Shed[class]) / float64(max(s.OfferedByClass[class], 1))
}

// check lists the violated guarantees.
func (s *Summary) check() {
	s.Broken = []string{}
	s.expect(s.Goodput > 0, "no request received a complete response")
	s.expect(s.AttemptsPerRootMax <= 1+allowance, "retries exceeded their bound")
	s.expect(s.shedShare(book.class) <= s.shedShare(view.class), "bookings were shed before views")
	s.expect(s.WrongAnswers == 0, "a caller got a wrong response or that of another request")
	s.expect(s.NotRunButRun == 0, "a request was reported as not run and was run")
	s.expect(s.ExecutedTwice == 0, "a booking or charge ran twice")
	s.expect(s.WorkAfterLeaving == 0, "a draining target received new work after 2 s")
	s.expect(s.CutByDrain == 0, "a planned stop aborted a request")
	s.expect(s.CatalogueSeconds <= changeGoalSeconds, "a catalogue change took longer than 3 s")
	s.expect(s.RecoverySeconds <= recoveryGoalSeconds, "recovery took longer than 5 s")
}

// expect adds the violation to Broken if the guarantee does not hold.
func (s *Summary) expect(holds bool, violation string) {
	if !holds {
		s.Broken = append(s.Broken, violation)
	}
}

// Write prints the summary as text.
func (s *Summary) Write(w io.Writer) {
	fmt.Fprintf(w, "primrosemount demo, seed %d, %.0f s of load\n\n", s.Seed, s.DurationSeconds)
	fmt.Fprintf(w, "  offered                %6d whole requests\n", s.Offered)
	fmt.Fprintf(w, "  goodput                %6d (%.1f %%)\n", s.Goodput, 100*s.GoodputShare)
	for _, class := range []string{view.class, book.class} {
		fmt.Fprintf(w, "  shed, %-16s %6d of %d\n", class, s.Shed[class], s.OfferedByClass[class])
	}
	fmt.Fprintf(w, "  unknown                %6d\n", s.Unknown)
	fmt.Fprintf(w, "  recovery               %6.1f s after the overload\n", s.RecoverySeconds)
	fmt.Fprintf(w, "  catalogue change       %6.2f s until in force everywhere\n", s.CatalogueSeconds)
	fmt.Fprintf(w, "  attempts per root      %6d at most (bound %d)\n", s.AttemptsPerRootMax, 1+allowance)
	fmt.Fprintf(w, "  executed twice         %6d\n", s.ExecutedTwice)
	fmt.Fprintf(w, "  wrong answers          %6d\n", s.WrongAnswers)
	fmt.Fprintf(w, "  not run, but run       %6d\n", s.NotRunButRun)
	fmt.Fprintf(w, "  cut by a planned stop  %6d\n", s.CutByDrain)
	fmt.Fprintf(w, "  work after leaving     %6d\n\n", s.WorkAfterLeaving)
	if len(s.Broken) == 0 {
		fmt.Fprintln(w, "All promises were kept.")
		return
	}
	fmt.Fprintln(w, "Broken:", strings.Join(s.Broken, "; "))
}
