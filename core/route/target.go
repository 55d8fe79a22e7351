package route

import (
	"time"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Target is one target as its node announced it.
type Target struct {
	// Incarnation identifies one life of the target's node.
	Incarnation uint64
	VM          string
	Zone        string
	Region      string
	// Address is the listener of the target's node for other nodes, IP:port.
	Address string
	// Slots is the announced number of concurrent requests; values below 1
	// count as 1.
	Slots int
}

// Result is what one call to a target came to.
type Result struct {
	// Latency is the time from Begin to End as the sender measured it.
	Latency time.Duration
	Outcome outcome.Outcome
	// Reason is zero if the outcome is completed.
	Reason outcome.Reason
	// ErrorResponse is true if the target completed the call with an error status
	// of its own, such as HTTP 500.
	ErrorResponse bool
}

// Report is what a gate tells about itself with an answer or a probe.
type Report struct {
	// Threshold is the highest level admitted; zero if not known.
	Threshold  outcome.Level
	Draining   bool
	TargetDown bool
	InFlight   int
	// Limit is the concurrency limit of the gate; zero if not known.
	Limit int
}

// ReportFromProto converts the schema message.
func ReportFromProto(g *pb.GateReport) Report {
	return Report{
		Threshold:  outcome.Level(min(g.GetThreshold(), uint32(outcome.MaxLevel))),
		Draining:   g.GetDraining(),
		TargetDown: g.GetTargetDown(),
		InFlight:   int(g.GetInFlight()),
		Limit:      int(g.GetLimit()),
	}
}

// tier orders targets by distance.
type tier uint8

const (
	tierOwn  tier = iota // own zone
	tierNear             // other zones of the own region
	tierFar              // other regions
)

// Endpoint is a target together with what this node observed about it. It stays
// valid after the target has left the snapshot.
type Endpoint struct {
	target  Target
	tier    tier
	slots   float64
	service *service
	*counters
}

// Target returns the announced data.
func (e *Endpoint) Target() Target { return e.target }

// Begin counts a call that is about to be sent. Each Begin needs one End.
func (e *Endpoint) Begin() { e.inFlight.Add(1) }

// End counts the end of a call and may eject the target or let it back.
func (e *Endpoint) End(now time.Time, result Result) {
	e.inFlight.Add(-1)
	at := e.service.clock.nanos(now)
	verdict := judge(result)
	if verdict == verdictNeutral {
		e.releaseTrial(at, result.Latency)
		return
	}
	e.learn(at, result, verdict)
	e.decide(at, result, verdict)
	e.service.evaluate(at)
}

// Report takes in what the gate of the target says about itself.
func (e *Endpoint) Report(now time.Time, report Report) {
	at := e.service.clock.nanos(now)
	e.draining.Store(report.Draining)
	if report.TargetDown {
		e.downAt.Store(at)
	}
	e.down.Store(report.TargetDown)
	e.threshold.Store(at, report.Threshold)
	e.setHint(at, report.InFlight, report.Limit)
}

// Status is a copy of the state of an endpoint for operators.
type Status struct {
	Target       Target
	InFlight     int64
	Latency      time.Duration
	FailedShare  float64
	RefusedShare float64
	// Threshold is the level believed to be admitted now.
	Threshold outcome.Level
	// State is the short name of the routing state, for example "ejected".
	State string
	// Cause is the cause of the latest ejection; empty if there was none.
	Cause string
}

// Status returns the state as routing sees it at this time.
func (e *Endpoint) Status(now time.Time) Status {
	at := e.service.clock.nanos(now)
	return Status{
		Target:       e.target,
		InFlight:     e.inFlight.Load(),
		Latency:      time.Duration(e.latency.load()),
		FailedShare:  e.failed.load(),
		RefusedShare: e.refused.load(),
		Threshold:    e.threshold.At(at),
		State:        e.standing(at).String(),
		Cause:        Cause(e.cause.Load()).String(),
	}
}
