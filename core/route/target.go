package route

import (
	"time"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// A Target is one target as its node announced it.
type Target struct {
	// Incarnation identifies one run of the target's node.
	Incarnation uint64
	VM          string
	Zone        string
	Region      string
	// Address is the IP:port at which the target's node accepts calls of other
	// nodes.
	Address string
	// Slots is the announced number of concurrent requests that the target can
	// process. Values below 1 count as 1.
	Slots int
	// ReadsHeaderLines is true if the target's node accepts headers as lines.
	ReadsHeaderLines bool
}

// A Result describes how one call to a target ended.
type Result struct {
	// Latency is the time from Begin to End, measured by the sender.
	Latency time.Duration
	Outcome outcome.Outcome
	// Reason is zero if the call was completed.
	Reason outcome.Reason
	// NodeResponded is true if the node beside the target responded, so that the
	// connection to it works, whatever happened to the target's own response.
	NodeResponded bool
	// ErrorResponse is true if the target completed the call with an error
	// status, such as HTTP 500.
	ErrorResponse bool
	// Unrepresentative is true if the response is an error of any kind, so that its
	// latency says nothing about the cost of the operation.
	Unrepresentative bool
	// scale is the factor from the latency to that of a mean operation of the service,
	// and limit the maximum of the scaled latency, by which targets are compared; 0
	// means that the latency is used as it is. Placement.End sets both.
	scale, limit float64
}

// scaled returns the latency of a request of a mean operation of the service.
func (r *Result) scaled(latency float64) float64 {
	if r.scale == 0 {
		return latency
	}
	return r.scale * latency
}

// comparable returns the latency by which targets are compared.
func (r *Result) comparable(latency float64) float64 {
	if r.scale == 0 {
		return latency
	}
	return min(r.scaled(latency), r.limit)
}

// A Report is the state that a gate reports with a response or a probe.
type Report struct {
	// Threshold is the highest effective level that is admitted, or zero if it
	// is unknown. A lower level means a more important request.
	Threshold  outcome.Level
	Draining   bool
	TargetDown bool
	InFlight   int
	// Limit is the concurrency limit of the gate, or zero if it is unknown.
	Limit int
	// WorkLeft is the expected time for which the requests in flight and in the queue
	// will continue to occupy a slot of the target, or zero if it is unknown.
	WorkLeft time.Duration
	// Slots is the number of requests that the target processes at the same time. It is
	// used only if WorkLeft is known.
	Slots int
	// OwnWork is the mean time for which a request of the called operation occupies a
	// slot of the target, without its waits for calls, or zero if it is unknown.
	OwnWork time.Duration
	// Speed is the speed of the target now, relative to its own mean, or zero if it is
	// unknown.
	Speed float64
}

// ReportFromProto converts a GateReport of the schema to a Report.
func ReportFromProto(g *pb.GateReport) Report {
	return Report{
		Threshold:  outcome.LevelFromProto(g.GetThreshold()),
		Draining:   g.GetDraining(),
		TargetDown: g.GetTargetDown(),
		InFlight:   int(g.GetInFlight()),
		Limit:      int(g.GetLimit()),
		WorkLeft:   time.Duration(min(g.GetWorkLeftMicros(), maxReportedMicros)) * time.Microsecond,
		Slots:      int(g.GetSlots()),
		OwnWork:    time.Duration(min(g.GetServiceTimeMicros(), maxReportedMicros)) * time.Microsecond,
		Speed:      float64(g.GetSpeedPermille()) / permille,
	}
}

const (
	// maxReportedMicros bounds a reported work to a day, so that it cannot overflow.
	maxReportedMicros = uint64(24 * time.Hour / time.Microsecond)
	// permille is the number of thousandths in 1.
	permille = 1000
)

// A tier is a distance class of targets; smaller is nearer.
type tier uint8

const (
	tierOwnZone     tier = iota // the node's own zone
	tierOtherZone               // other zones of the node's own region
	tierOtherRegion             // other regions
)

// An Endpoint is a target together with what this node has observed about it.
// It stays valid after the target has been removed from the snapshot.
type Endpoint struct {
	target  Target
	tier    tier
	slots   float64
	service *service
	*counters
}

// Target returns the announced description of the target.
func (e *Endpoint) Target() Target { return e.target }

// Begin records that a call is about to be sent. Each Begin must be followed by
// one End.
func (e *Endpoint) Begin() { e.inFlight.Add(1) }

// End records the result of a call. It may eject the target or readmit it.
func (e *Endpoint) End(now time.Time, result Result) {
	e.inFlight.Add(-1)
	at := e.service.clock.nanos(now)
	verdict := classify(result)
	if verdict == verdictNeutral {
		e.releaseTrial(at, result.Latency)
		return
	}
	e.recordOutcome(at, result, verdict)
	e.updatePhase(at, result, verdict)
	e.service.evaluate(at)
}

// Report records the state that the gate of the target reported.
func (e *Endpoint) Report(now time.Time, report Report) {
	at := e.service.clock.nanos(now)
	e.draining.Store(report.Draining)
	if report.TargetDown {
		e.downAt.Store(at)
	}
	e.down.Store(report.TargetDown)
	e.threshold.Store(at, report.Threshold)
	e.setHint(at, report.InFlight, report.Limit)
	if report.WorkLeft > 0 {
		e.learned().report(at, report)
	}
}

// A Status describes the state of an endpoint for operators.
type Status struct {
	Target       Target
	InFlight     int64
	Latency      time.Duration
	FailedShare  float64
	RefusedShare float64
	// Threshold is the highest level that the target is currently assumed to
	// admit.
	Threshold outcome.Level
	// State is the name of the routing state, for example "ejected".
	State string
	// Cause is the cause of the latest ejection, or empty if there was none.
	Cause string
}

// Status returns the state of the endpoint at the given time.
func (e *Endpoint) Status(now time.Time) Status {
	at := e.service.clock.nanos(now)
	return Status{
		Target:       e.target,
		InFlight:     e.inFlight.Load(),
		Latency:      time.Duration(e.latency.load()),
		FailedShare:  e.failed.load(),
		RefusedShare: e.refused.load(),
		Threshold:    e.threshold.At(at),
		State:        e.state(at).String(),
		Cause:        Cause(e.cause.Load()).String(),
	}
}
