package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
)

// eventLog writes one log line for each decision about a request. The logger limits
// the volume of each kind of line and never blocks on its output.
type eventLog struct {
	entry *zap.Logger
	gate  *zap.Logger
	peers *zap.Logger
}

func newEventLog(logger *zap.Logger) *eventLog {
	return &eventLog{
		entry: telemetry.Named(logger, telemetry.PartEntry),
		gate:  telemetry.Named(logger, telemetry.PartGate),
		peers: telemetry.Named(logger, telemetry.PartPeers),
	}
}

func requestFields(m *pb.ForwardRequest) []zap.Field {
	return []zap.Field{
		zap.ByteString("request", m.GetAttemptId()),
		accountField(m.GetAccount()),
		zap.String("service", m.GetService()),
		zap.String("route", m.GetRoute()),
		zap.Uint32("level", m.GetLevel()),
		zap.Uint32("completed_calls", m.GetCompletedCalls()),
		zap.Uint64("config", m.GetConfigVersion()),
	}
}

// accountField returns the log field of a client account, or no field if there is none.
func accountField(name string) zap.Field {
	if name == "" {
		return zap.Skip()
	}
	return zap.String("account", name)
}

// rejected logs a request that the entry did not accept, its client account if known, and
// the staleness of the configuration that the decision was based on.
func (l *eventLog) rejected(r *http.Request, attemptID, account string, refused *outcome.Error, config *configuration) {
	fields := []zap.Field{zap.String("request", attemptID), accountField(account), zap.String("host", r.Host), zap.String("path", r.URL.Path),
		zap.String("reason", refused.Reason.String()), zap.String("detail", refused.Detail), zap.Uint64("config", config.version())}
	l.entry.Info(telemetry.MessageRequestRejected, append(fields, config.ageFields()...)...)
}

// stopRefused logs a request that was received but not started because the node stops.
func (l *eventLog) stopRefused(o *outgoing, refused *outcome.Error) {
	l.entry.Info("The request was not started because the node stops.", append(requestFields(o.message),
		zap.String("reason", refused.Reason.String()), zap.String("detail", refused.Detail),
		zap.Bool("call", o.parent != nil), zap.Duration("remaining", time.Until(o.deadline)))...)
}

// memoryRefused logs a request that was not started because there is no memory for a
// response of the expected size, and what the memory is used for.
func (l *eventLog) memoryRefused(o *outgoing, usage memory.Usage, expected int64) {
	l.entry.Info("The request was refused because the memory is used up.", append(requestFields(o.message), append(memoryFields(usage),
		zap.Int64("expected", expected))...)...)
}

// quotaRefused logs a request that was not started because the token of its account had
// expired before the request was complete, and the account has no other one.
func (l *eventLog) quotaRefused(o *outgoing, refused *outcome.Error, config *configuration) {
	fields := append(requestFields(o.message), zap.String("reason", refused.Reason.String()), zap.String("detail", refused.Detail),
		zap.Duration("waited", time.Since(o.started)))
	l.entry.Info("The request was refused because its quota was used up before it was complete.", append(fields, config.ageFields()...)...)
}

// memoryFields returns the bytes that are held, by kind.
func memoryFields(usage memory.Usage) []zap.Field {
	fields := []zap.Field{zap.Int64("memory_limit", usage.Limit)}
	for _, kind := range memory.Kinds() {
		fields = append(fields, zap.Int64("held_"+kind.String(), usage.Held[kind]))
	}
	return fields
}

// entryRefused logs a doomed request: one that a service it would call is expected
// to refuse, and for how long the called operation has been refused for some level, if
// that is known.
func (l *eventLog) entryRefused(o *outgoing, reason outcome.Reason, threshold outcome.Level, shortage time.Duration) {
	fields := append(requestFields(o.message), zap.String("reason", reason.String()), zap.Uint16("threshold", uint16(threshold)))
	if shortage > 0 {
		fields = append(fields, zap.Duration("shortage", shortage))
	}
	l.entry.Info("The request was refused before its first call.", fields...)
}

// noTarget logs that no further target could be selected.
func (l *eventLog) noTarget(o *outgoing, reason outcome.Reason, tried int) {
	l.entry.Info("No target was found.", append(requestFields(o.message),
		zap.String("reason", reason.String()), zap.Int("tried", tried))...)
}

// retried logs that the request is sent to another target.
func (l *eventLog) retried(o *outgoing, last *pb.ForwardResponse, vm string) {
	l.entry.Info("The request is sent to another target.", append(requestFields(o.message),
		zap.String("vm", vm), zap.Stringer("outcome", outcome.Outcome(last.GetOutcome())),
		zap.String("reason", outcome.Reason(last.GetReason()).String()))...)
}

// failed logs the result of a request without a complete response.
func (l *eventLog) failed(o *outgoing, response *pb.ForwardResponse) {
	l.entry.Info(telemetry.MessageRequestFailed, append(requestFields(o.message),
		zap.Stringer("outcome", outcome.Outcome(response.GetOutcome())),
		zap.String("reason", outcome.Reason(response.GetReason()).String()),
		zap.Duration("took", time.Since(o.started)),
		zap.Duration("allowed", o.deadline.Sub(o.started)))...)
}

// served logs the results of client requests to one route in the last second.
func (l *eventLog) served(c leastshare.Counts) {
	l.entry.Info("The results of the client requests of a route.", zap.String("route", c.Operation), zap.Int("arrived", c.Arrived), zap.Int("assured", c.Assured),
		zap.Int("served", c.Served), zap.Int("refused", c.Refused), zap.Int("failed", c.Failed), zap.Float64("least_share", c.LeastShare))
}

// clientWriteFailed logs that the response could not be written to the client.
func (l *eventLog) clientWriteFailed(o *outgoing, err error) {
	l.entry.Info("The response could not be written to the client.", append(requestFields(o.message), telemetry.ErrorField(err))...)
}

// peerFailed logs that another node did not respond.
func (l *eventLog) peerFailed(request *pb.ForwardRequest, address string, err error) {
	l.peers.Info("A node gave no answer.", append(requestFields(request),
		zap.String("address", address), telemetry.ErrorField(err))...)
}

// gateRefused logs a request that was not sent to the target.
func (l *eventLog) gateRefused(request *pb.ForwardRequest, reason outcome.Reason, view *gateView) {
	l.gate.Info("The request was refused at the gate.", append(requestFields(request),
		zap.String("reason", reason.String()), zap.Int("in_flight", view.inFlight), zap.Int("queued", view.queued),
		zap.Int("limit", view.limit), zap.Uint16("threshold", uint16(view.threshold)),
		zap.Bool("serving", view.serving), zap.Bool("leaving", view.draining), zap.Bool("down", view.down))...)
}

// targetFailed logs a request to which the target did not send a complete response.
func (l *eventLog) targetFailed(request *pb.ForwardRequest, admitted admission, result targetResult, took time.Duration) {
	fields := append(requestFields(request),
		zap.String("target", admitted.targetID), zap.Stringer("outcome", result.outcome),
		zap.String("reason", result.reason.String()), zap.Bool("sent", result.sent),
		zap.Duration("waited", admitted.waited), zap.Duration("took", took))
	if result.err != nil {
		fields = append(fields, zap.String("error", truncate(result.err.Error())))
	}
	l.gate.Info("The target sent no complete response.", fields...)
}

// maxErrorBytes limits the text of an error that may quote what a target sent.
const maxErrorBytes = 200

func truncate(text string) string { return text[:min(len(text), maxErrorBytes)] }
