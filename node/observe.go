package node

import (
	"context"
	"strconv"
	"time"

	"github.com/primrosemount/primrosemount/core/journal"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/route"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/node/control"
	"github.com/primrosemount/primrosemount/node/dispatch"
	"github.com/primrosemount/primrosemount/node/httpapi"
	"github.com/primrosemount/primrosemount/node/observation"
	"github.com/primrosemount/primrosemount/telemetry"
)

// queryTimeout bounds the wait for the observation task.
const queryTimeout = time.Second

// observeRoot takes in one whole request as the entry saw it.
func (n *Node) observeRoot(o httpapi.Observation) {
	if n.unobserved {
		return
	}
	ended := outcome.FromProto(o.Response.GetOutcome())
	reason := outcome.Reason(o.Response.GetReason())
	n.metrics.Request(o.Service, o.Class, ended, reason, o.Latency)
	// A caller's own fault is neither good nor bad for the service.
	if !reason.IsCallerError() {
		n.observer.CountRequest(o.Service, o.Class, n.good(o))
	}
	n.observer.Record(journal.Entry{
		Part:      string(telemetry.PartEntry),
		Root:      observation.RootID(o.RootID),
		Service:   o.Service,
		Operation: o.Operation,
		Event:     "answered the caller",
		Outcome:   ended,
		Reason:    reason,
		Class:     o.Class,
		Detail:    rootDetail(o),
	})
}

// rootDetail tells the attempts of a request that was passed on, and the cause
// of a refusal at the entry.
func rootDetail(o httpapi.Observation) string {
	if o.Attempts == 0 {
		return o.Response.GetDetail()
	}
	return strconv.Itoa(o.Attempts) + " attempts in " + o.Latency.String()
}

// good tells whether a whole request meets the objective of its service.
func (n *Node) good(o httpapi.Observation) bool {
	if !outcome.Succeeded(o.Response) || o.Response.GetBodyOmitted() {
		return false
	}
	service, ok := n.control.Snapshot().Catalogue.Service(o.Service)
	return !ok || service.Objective.Latency == 0 || o.Latency <= service.Objective.Latency
}

// objective returns the goodput objective of a service, 0 if it has none.
func (n *Node) objective(service string) float64 {
	found, ok := n.control.Snapshot().Catalogue.Service(service)
	if !ok {
		return 0
	}
	return found.Objective.Goodput
}

// observeAttempt takes in one attempt that the dispatcher made.
func (n *Node) observeAttempt(a dispatch.Attempt) {
	n.successors.note(a.Response.GetGate().GetIncarnation(), a.Response.GetGate().GetSuccessor())
	if n.unobserved {
		return
	}
	if a.Number > 1 {
		n.metrics.Retry(a.Request.Service)
	}
	n.observer.Record(journal.Entry{
		Part:      string(telemetry.PartRouter),
		Root:      observation.RootID(a.Request.Context.GetRootId()),
		Service:   a.Request.Service,
		Operation: a.Request.Operation,
		Target:    a.Target.VM,
		Event:     "sent attempt " + strconv.Itoa(a.Number),
		Outcome:   outcome.FromProto(a.Response.GetOutcome()),
		Reason:    outcome.Reason(a.Response.GetReason()),
		Class:     outcome.ClassFromProto(a.Request.Context.GetClass()),
		Detail:    a.Response.GetDetail(),
	})
}

// observeServed notes what the gate beside the own target answered.
func (n *Node) observeServed(request *pb.CallRequest, response *pb.CallResponse) {
	if n.unobserved {
		return
	}
	n.observer.Record(journal.Entry{
		Part:      string(telemetry.PartGate),
		Root:      observation.RootID(request.GetContext().GetRootId()),
		Service:   request.GetService(),
		Operation: request.GetOperation(),
		Target:    n.settings.GetVm(),
		Event:     "answered the call",
		Outcome:   outcome.FromProto(response.GetOutcome()),
		Reason:    outcome.Reason(response.GetReason()),
		Class:     outcome.ClassFromProto(request.GetContext().GetClass()),
		Detail:    response.GetDetail(),
	})
}

// observeRouting notes ejections and returns of targets.
func (n *Node) observeRouting(event route.Event) {
	name := "returned to routing"
	if event.Ejected {
		name = "ejected for " + event.Duration.String()
	}
	n.observer.Record(journal.Entry{
		Part:    string(telemetry.PartRouter),
		Service: event.Service,
		Target:  event.Target.VM,
		Event:   name,
		Detail:  event.Cause.String(),
	})
}

// observeReport notes that a leaving node told of its drain.
func (n *Node) observeReport(target route.Target, report *pb.GateReport) {
	if !report.GetDraining() {
		return
	}
	n.observer.Record(journal.Entry{
		Part:    string(telemetry.PartPeers),
		Service: n.serviceOf(target),
		Target:  target.VM,
		Event:   "told of its drain",
		Reason:  outcome.Draining,
	})
}

// serviceOf returns the service of a target that is still a member.
func (n *Node) serviceOf(target route.Target) string {
	member, ok := n.control.Snapshot().Members.Member(target.Incarnation)
	if !ok {
		return ""
	}
	return member.Service
}

// observeOwn notes an event in the life of this node.
func (n *Node) observeOwn(event, detail string) {
	n.observer.Record(journal.Entry{
		Part:    string(telemetry.PartNode),
		Service: n.settings.GetService(),
		Target:  n.settings.GetVm(),
		Event:   event,
		Detail:  detail,
	})
}

// Explain implements transport.Handler.
func (n *Node) Explain(request *pb.ExplainRequest, response *pb.ExplainResponse) {
	ctx, cancel := context.WithTimeout(n.ctx, queryTimeout)
	defer cancel()
	response.Node = n.settings.GetVm()
	answer, err := n.observer.Explain(ctx, request)
	if err != nil {
		return
	}
	response.Entries = answer.GetEntries()
	response.Dropped = answer.GetDropped()
}

// Burn implements transport.Handler.
func (n *Node) Burn(_ *pb.BurnRequest, response *pb.BurnResponse) {
	ctx, cancel := context.WithTimeout(n.ctx, queryTimeout)
	defer cancel()
	response.Node = n.settings.GetVm()
	answer, err := n.observer.Burn(ctx)
	if err != nil {
		return
	}
	response.Counters = answer.GetCounters()
}

// exportMetrics registers the sources of the gauges.
func (n *Node) exportMetrics() error {
	if err := n.metrics.ObserveGate(n.gateSample); err != nil {
		return err
	}
	if err := n.metrics.ObserveStreams(n.streamSamples); err != nil {
		return err
	}
	if err := n.metrics.ObserveControl(n.controlSamples); err != nil {
		return err
	}
	if n.trust.source != nil {
		if err := n.metrics.ObserveCertificate(n.trust.source.Expiry); err != nil {
			return err
		}
	}
	return n.metrics.ObserveJournal(n.observer.Dropped)
}

func (n *Node) controlSamples() []telemetry.ControlSample {
	kinds := control.Kinds()
	samples := make([]telemetry.ControlSample, 0, len(kinds))
	for _, kind := range kinds {
		count := n.control.Stats().Get(kind)
		samples = append(samples, telemetry.ControlSample{
			Kind:       kind.String(),
			Messages:   count.Messages,
			Errors:     count.Errors,
			BytesIn:    count.BytesIn,
			BytesOut:   count.BytesOut,
			Processing: count.Processing,
		})
	}
	return samples
}

func (n *Node) gateSample() telemetry.GateSample {
	state := n.current().State()
	return telemetry.GateSample{
		InFlight:  int64(state.InFlight),
		Waiting:   int64(state.Queued),
		Limit:     int64(state.Limit),
		Threshold: int64(state.Threshold),
	}
}

func (n *Node) streamSamples() []telemetry.StreamSample {
	snapshot := n.control.Snapshot()
	return []telemetry.StreamSample{
		{Stream: "catalogue", NextOffset: snapshot.CataloguePosition},
		{Stream: "members", NextOffset: snapshot.MembersPosition},
	}
}
