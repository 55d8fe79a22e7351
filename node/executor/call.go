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

// A Call is one attempt to run an operation at the target.
type Call struct {
	Request *pb.CallRequest
	// OperationNumber identifies the operation within its service.
	OperationNumber uint32
	// Deadline is the time by which the sender needs the response.
	Deadline time.Time
	// MaxRunTime bounds how long the operation may run at the target.
	MaxRunTime time.Duration
	// Retention is how long the outcome of an idempotency key is stored.
	Retention time.Duration
	// AnswerBytes bounds the body of the response.
	AnswerBytes int64
}

func (c *Call) keyed() bool { return c.Request.GetKey() != "" }

func (c *Call) level() outcome.Level {
	return outcome.LevelOfContext(c.Request.GetContext())
}

// priorityBoost returns the number of levels by which the calls already
// completed for the root request raise the priority of this one.
func (c *Call) priorityBoost() outcome.Level {
	return threshold.PriorityBoost(c.Request.GetContext().GetCompletedCalls())
}

func (c *Call) fingerprint() once.Fingerprint {
	request := c.Request
	return once.FingerprintOf(request.GetService(), request.GetOperation(), request.GetCaller(), request.GetBody())
}

// A RunningCall is a call that the target is processing. Calls that the target
// makes meanwhile, its child calls, inherit the request context and share the
// retry allowance. It is safe for concurrent use.
type RunningCall struct {
	Call *Call
	// Token identifies the running call in the CallHeader of the target's
	// requests.
	Token string
	// Started is the time when the gate admitted the call.
	Started time.Time

	ctx    context.Context
	cancel context.CancelFunc

	// Allowance holds the retries that the child calls may use.
	Allowance *retry.Allowance
	// Dependencies records which calls the operation needs.
	Dependencies *threshold.Run

	mutex         sync.Mutex
	children      int
	childrenSince time.Time
	downstream    time.Duration
}

// CompletedCalls returns the number of calls completed for the root request, as
// far as this node has observed.
func (r *RunningCall) CompletedCalls() uint32 {
	return r.Call.Request.GetContext().GetCompletedCalls() + r.Dependencies.CompletedCalls()
}

// Context returns the context of the call. It is done when the call is canceled
// or exceeds its run time.
func (r *RunningCall) Context() context.Context { return r.ctx }

// BeginChild records the start of a child call, for which the target waits.
// Each BeginChild must be followed by one EndChild.
func (r *RunningCall) BeginChild(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.children == 0 {
		r.childrenSince = now
	}
	r.children++
}

// EndChild records the end of a child call. The time of overlapping child calls
// counts once.
func (r *RunningCall) EndChild(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.children--
	if r.children == 0 {
		r.downstream += now.Sub(r.childrenSince)
	}
}

// downstreamTime returns the time during which child calls were in progress.
func (r *RunningCall) downstreamTime() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.downstream
}
