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

// queryTimeout limits the wait for a response of the observation task.
const queryTimeout = time.Second

// observeRoot records a root request in metrics, burn counters and the journal,
// as the entry node saw it.
func (n *Node) observeRoot(o httpapi.Observation) {
	if n.unobserved {
		return
	}
	result := outcome.FromProto(o.Response.GetOutcome())
	reason := outcome.Reason(o.Response.GetReason())
	n.metrics.Request(o.Service, o.Class, result, reason, o.Latency)
	// A request that fails through an error of the caller counts neither as good
	// nor as bad for the service.
	if !reason.IsCallerError() {
		n.observer.CountRequest(o.Service, o.Class, n.meetsObjective(o))
	}
	n.observer.Record(journal.Entry{
		Part:      string(telemetry.PartEntry),
		Root:      observation.RootID(o.RootID),
		Service:   o.Service,
		Operation: o.Operation,
		Event:     "answered the caller",
		Outcome:   result,
		Reason:    reason,
		Class:     o.Class,
		Detail:    rootDetail(o),
	})
}

// rootDetail returns the number of attempts and the latency of a request that
// was sent to a target, and the cause of the rejection of one that was rejected
// at the entry node.
func rootDetail(o httpapi.Observation) string {
	if o.Attempts == 0 {
		return o.Response.GetDetail()
	}
	return strconv.Itoa(o.Attempts) + " attempts in " + o.Latency.String()
}

// meetsObjective reports whether a root request succeeded within the latency
// objective of its service.
func (n *Node) meetsObjective(o httpapi.Observation) bool {
	if !outcome.Succeeded(o.Response) || o.Response.GetBodyOmitted() {
		return false
	}
	service, ok := n.control.Snapshot().Catalogue.Service(o.Service)
	return !ok || service.Objective.Latency == 0 || o.Latency <= service.Objective.Latency
}

// goodputObjective returns the goodput objective of a service, or 0 if it has
// none.
func (n *Node) goodputObjective(service string) float64 {
	found, ok := n.control.Snapshot().Catalogue.Service(service)
	if !ok {
		return 0
	}
	return found.Objective.Goodput
}

// observeAttempt records one attempt of the dispatcher.
func (n *Node) observeAttempt(a dispatch.Attempt) {
	n.successors.record(a.Response.GetGate().GetIncarnation(), a.Response.GetGate().GetSuccessor())
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

// observeGateResponse records the response to a call to the target beside this
// node.
func (n *Node) observeGateResponse(request *pb.CallRequest, response *pb.CallResponse) {
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

// observeRouting records that a target was ejected from routing or readmitted.
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

// observeDrainReport records that a draining node has sent its gate report.
func (n *Node) observeDrainReport(target route.Target, report *pb.GateReport) {
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

// serviceOf returns the service of a target, or "" if it is not a member.
func (n *Node) serviceOf(target route.Target) string {
	member, ok := n.control.Snapshot().Members.Member(target.Incarnation)
	if !ok {
		return ""
	}
	return member.Service
}

// recordNodeEvent records an event of this node itself, such as the start of
// its drain.
func (n *Node) recordNodeEvent(event, detail string) {
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
	result, err := n.observer.Explain(ctx, request)
	if err != nil {
		return
	}
	response.Entries = result.GetEntries()
	response.Dropped = result.GetDropped()
}

// Burn implements transport.Handler.
func (n *Node) Burn(_ *pb.BurnRequest, response *pb.BurnResponse) {
	ctx, cancel := context.WithTimeout(n.ctx, queryTimeout)
	defer cancel()
	response.Node = n.settings.GetVm()
	result, err := n.observer.Burn(ctx)
	if err != nil {
		return
	}
	response.Counters = result.GetCounters()
}

// exportMetrics registers the functions that the gauges read their values from.
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
	if n.certificates.source != nil {
		if err := n.metrics.ObserveCertificate(n.certificates.source.Expiry); err != nil {
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
