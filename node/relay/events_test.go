package relay

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/primrosemount/primrosemount/core/gate"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Guards against a failure, a refusal or a retry that cannot be found in the log by
// the ID of the request, or whose log line lacks the values on which the decision
// was based.
func TestEveryDecisionAboutRequestIsLogged(t *testing.T) {
	message := &pb.ForwardRequest{AttemptId: []byte("id-1"), Service: "s", Route: "r", Level: 200, ConfigVersion: 7}
	o := &outgoing{message: message, route: &ingress.Route{Name: "r"}, started: time.Now(), deadline: time.Now().Add(time.Second)}
	refused := outcome.New(outcome.NotRun, outcome.BadRequest, "detail")
	config := newConfiguration(nil, time.Now(), zap.NewNop())
	config.recordResponse(time.Now(), time.Now())
	for _, c := range []struct {
		name   string
		write  func(l *eventLog)
		fields []string
	}{
		{"rejected", func(l *eventLog) {
			l.rejected(httptest.NewRequest(http.MethodGet, "/", nil), "id-1", "east", refused, config)
		}, []string{"account", "reason", "detail", "config", "config_age", "store_age"}},
		{"not started", func(l *eventLog) { l.stopRefused(o, errStoppingSoon) }, []string{"reason", "detail", "call", "remaining"}},
		{"refused for memory", func(l *eventLog) { l.memoryRefused(o, memory.Usage{Limit: 7}, 5) }, []string{"expected", "memory_limit", "held_requests", "held_responses", "held_frames"}},
		{"refused for its quota", func(l *eventLog) {
			l.quotaRefused(o, outcome.New(outcome.NotRun, outcome.QuotaExceeded, "detail"), config)
		}, []string{"reason", "detail", "waited", "config_age"}},
		{"refused at the entry", func(l *eventLog) { l.entryRefused(o, outcome.DoomedDownstream, 150, time.Second) }, []string{"reason", "threshold", "shortage", "level", "config"}},
		{"no target", func(l *eventLog) { l.noTarget(o, outcome.NoTarget, 2) }, []string{"reason", "tried"}},
		{"repeated", func(l *eventLog) { l.retried(o, notRun(outcome.TargetRefused, 0), "vm") }, []string{"vm", "outcome", "reason"}},
		{"failed", func(l *eventLog) { l.failed(o, unknown(outcome.AnswerLost)) }, []string{"outcome", "reason", "took", "allowed"}},
		{"unread", func(l *eventLog) { l.clientWriteFailed(o, errors.New("reset")) }, []string{"error"}},
		{"peer failed", func(l *eventLog) { l.peerFailed(message, "10.0.0.1:1", errors.New("reset")) }, []string{"address", "error"}},
		{"refused at the gate", func(l *eventLog) { l.gateRefused(message, outcome.Overloaded, &gateView{}) }, []string{"reason", "in_flight", "queued", "limit", "threshold"}},
		{"target failed", func(l *eventLog) {
			l.targetFailed(message, admission{Decision: gate.Decision{Kind: gate.Start}, targetID: "t"}, targetResult{outcome: outcome.Unknown, reason: outcome.AnswerLost, sent: true}, time.Second)
		}, []string{"target", "outcome", "reason", "sent", "waited", "took"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, lines := observer.New(zap.InfoLevel)
			c.write(newEventLog(zap.New(core)))
			require.Equal(t, 1, lines.Len())
			fields := lines.All()[0].ContextMap()
			require.Equal(t, "id-1", fields["request"])
			for _, name := range c.fields {
				require.Contains(t, fields, name)
			}
		})
	}
}
