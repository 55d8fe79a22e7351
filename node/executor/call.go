package executor

import (
	"context"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Call is one attempt to run an operation at the target.
type Call struct {
	Request *pb.CallRequest
	// OperationNumber identifies the operation within its service.
	OperationNumber uint32
	// Deadline is the time by which the sender needs the answer.
	Deadline time.Time
	// MaxRunTime is the longest time that the operation may run at the target.
	MaxRunTime time.Duration
	// Retention is how long the outcome of a key is kept.
	Retention time.Duration
	// AnswerBytes bounds the body of the answer.
	AnswerBytes int64
}

func (c *Call) keyed() bool { return c.Request.GetKey() != "" }

func (c *Call) level() outcome.Level {
	return outcome.LevelOfContext(c.Request.GetContext())
}

// lead is the number of levels by which calls that were made for the root request
// put this one ahead.
func (c *Call) lead() outcome.Level {
	return threshold.PriorityBoost(c.Request.GetContext().GetCompletedCalls())
}

func (c *Call) fingerprint() once.Fingerprint {
	request := c.Request
	return once.FingerprintOf(request.GetService(), request.GetOperation(), request.GetCaller(), request.GetBody())
}

// RunningCall is a call that the target processes. The calls that the target makes
// meanwhile take their context and their retries from it. It is safe for
// concurrent use.
type RunningCall struct {
	Call *Call
	// Token names the running call in the CallHeader of the target.
	Token string
	// Started is the time at which the gate admitted the call.
	Started time.Time

	ctx    context.Context
	cancel context.CancelFunc

	// Allowance holds the retries that the calls below may use.
	Allowance *retry.Allowance
	// Dependencies learns which calls the operation needs.
	Dependencies *threshold.Run

	mutex         sync.Mutex
	children      int
	childrenSince time.Time
	downstream    time.Duration
}

// CompletedCalls counts the calls that were completed for the root request, as far
// as this node knows.
func (r *RunningCall) CompletedCalls() uint32 {
	return r.Call.Request.GetContext().GetCompletedCalls() + r.Dependencies.CompletedCalls()
}

// Context ends when the call is cancelled or its run time is over.
func (r *RunningCall) Context() context.Context { return r.ctx }

// BeginChild notes that the target waits for another service. Each call needs
// one EndChild.
func (r *RunningCall) BeginChild(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.children == 0 {
		r.childrenSince = now
	}
	r.children++
}

// EndChild ends the wait that BeginChild began. Waits that overlap count once.
func (r *RunningCall) EndChild(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.children--
	if r.children == 0 {
		r.downstream += now.Sub(r.childrenSince)
	}
}

func (r *RunningCall) downstreamTime() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.downstream
}
