package executor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/gate"
	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// eventQueue is the number of events that may be queued for the task.
	eventQueue = 256
	// tokenBytes is the number of random bytes in the token of a running call.
	tokenBytes = 12
)

// A Config configures an Executor.
type Config struct {
	Service     string
	Incarnation uint64
	// KeyTableBytes bounds the size of the deduplication table.
	KeyTableBytes int64
	// Operations tracks on which services the operations depend.
	Operations *threshold.Operations
	Logger     *zap.Logger
}

// A State is the published state of the gate.
type State struct {
	Threshold outcome.Level
	InFlight  int
	Queued    int
	Limit     int
	// InProgress is the number of queued and running calls.
	InProgress int
	// Down is true while the target is unannounced, unreachable, or neither ready
	// nor draining.
	Down bool
	// Closed is true once the executor accepts no new calls.
	Closed bool
}

// An Executor runs calls at one target for one incarnation of the node. It is safe
// for concurrent use.
type Executor struct {
	config  Config
	logger  *zap.Logger
	events  chan event
	client  *targetClient
	address atomic.Value // string
	state   atomic.Pointer[State]
	ctx     context.Context
	stop    context.CancelFunc
	wait    sync.WaitGroup
}

// New starts an Executor. Stop must be called to end it.
func New(config Config) *Executor {
	ctx, stop := context.WithCancel(context.Background())
	e := &Executor{
		config: config,
		logger: config.Logger,
		events: make(chan event, eventQueue),
		client: newTargetClient(),
		ctx:    ctx,
		stop:   stop,
	}
	e.address.Store("")
	now := time.Now()
	t := &task{
		executor: e,
		gate:     gate.New(gate.Config{}, now),
		table: once.New(once.Config{
			Service:  config.Service,
			Executor: config.Incarnation,
			MaxBytes: config.KeyTableBytes,
		}, now),
		calls:   make(map[uint64]*activeCall),
		tokens:  make(map[string]*RunningCall),
		waiters: make(map[string][]chan once.Result),
	}
	t.gate.SetDown(true)
	t.down = true
	t.publish()
	e.wait.Add(1)
	go func() {
		defer e.wait.Done()
		t.run(ctx)
	}()
	return e
}

// Incarnation returns the node incarnation to which the executor's idempotency
// keys are bound.
func (e *Executor) Incarnation() uint64 { return e.config.Incarnation }

// State returns the latest published state.
func (e *Executor) State() State { return *e.state.Load() }

// Stop ends the task and cancels the calls that are still running.
func (e *Executor) Stop() {
	e.stop()
	e.wait.Wait()
	e.client.close()
}

// send sends an event to the task. It returns false if the task has ended.
func (e *Executor) send(ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// Execute runs the call at the target, or returns the stored outcome of its
// idempotency key. The response carries outcome, reason and unspent retry allowance.
// The context is done when the sender stops waiting.
func (e *Executor) Execute(ctx context.Context, call *Call) *pb.CallResponse {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	response := e.execute(ctx, call)
	response.Id = call.Request.GetId()
	return response
}

// execute offers the call to the task and acts on its decision.
func (e *Executor) execute(ctx context.Context, call *Call) *pb.CallResponse {
	o := &offer{call: call, reply: make(chan admission, 1), id: make(chan uint64, 1)}
	if !e.send(o) {
		return e.stoppedResponse(call)
	}
	decided, ok := e.awaitAdmission(ctx, o)
	switch {
	case !ok:
		return e.stoppedResponse(call)
	case decided.err != nil:
		return refusalResponse(call, decided.err)
	case decided.replay != nil:
		return replay(call, decided.replay)
	case decided.wait != nil:
		return e.awaitResult(ctx, call, decided.wait)
	}
	return e.awaitResponse(ctx, call, decided.start, <-o.id)
}

// awaitAdmission waits for the task's decision about the attempt. If the sender
// stops waiting, awaitAdmission withdraws the attempt but still waits for the
// decision, because the call may have been started in the meantime.
func (e *Executor) awaitAdmission(ctx context.Context, o *offer) (admission, bool) {
	select {
	case decided := <-o.reply:
		return decided, true
	case <-e.ctx.Done():
		return e.admissionAfterStop(o)
	case <-ctx.Done():
	}
	select {
	case id := <-o.id:
		o.id <- id
		e.send(&withdrawal{id: id})
	case <-e.ctx.Done():
		return e.admissionAfterStop(o)
	}
	select {
	case decided := <-o.reply:
		return decided, true
	case <-e.ctx.Done():
		return e.admissionAfterStop(o)
	}
}

// admissionAfterStop waits for the task to end and returns its decision. The
// task replies to every offer that it has received before it ends.
func (e *Executor) admissionAfterStop(o *offer) (admission, bool) {
	e.wait.Wait()
	select {
	case decided := <-o.reply:
		return decided, true
	default:
		return admission{}, false
	}
}

// awaitResponse runs a started call in a separate goroutine and waits for its
// response or the end of the context.
func (e *Executor) awaitResponse(ctx context.Context, call *Call, running *RunningCall, id uint64) *pb.CallResponse {
	done := make(chan *pb.CallResponse, 1)
	go func() { done <- e.runAtTarget(call, running, id) }()
	select {
	case response := <-done:
		return response
	case <-ctx.Done():
	}
	if call.keyed() {
		// The retry allowance counts as spent, because the child calls may still use
		// it.
		return outcome.New(outcome.Unknown, outcome.InProgress, "the request still runs at the target").Response()
	}
	running.cancel()
	return <-done
}

// runAtTarget sends the call to the target. The task records the result before
// the response is returned to anyone.
func (e *Executor) runAtTarget(call *Call, running *RunningCall, id uint64) *pb.CallResponse {
	defer running.cancel()
	address, _ := e.address.Load().(string)
	received := e.client.send(running.ctx, address, running)
	end := &finished{id: id, received: received, applied: make(chan struct{})}
	if e.send(end) {
		select {
		case <-end.applied:
		case <-e.ctx.Done():
		}
	}
	response := resultResponse(&received.result)
	response.UnspentAllowance = running.Allowance.Close()
	response.CompletedCalls = running.Dependencies.CompletedCalls()
	running.Dependencies.Finish(time.Now(), !outcome.Succeeded(response))
	return response
}

// awaitResult waits for the result of an earlier attempt with the same
// idempotency key.
func (e *Executor) awaitResult(ctx context.Context, call *Call, wait chan once.Result) *pb.CallResponse {
	select {
	case result := <-wait:
		return replay(call, &result)
	case <-ctx.Done():
		return outcome.New(outcome.Unknown, outcome.InProgress, "an earlier attempt with this key still runs").Response()
	case <-e.ctx.Done():
		return outcome.New(outcome.Unknown, outcome.ExecutorGone, "the node stops").Response()
	}
}

// newRunning returns the state of a call that is about to start. A call with an
// idempotency key may use the full run time of the operation, even if its
// sender stops waiting earlier.
func (e *Executor) newRunning(call *Call, now time.Time) *RunningCall {
	deadline := call.Deadline
	if call.keyed() {
		deadline = now.Add(call.MaxRunTime)
	}
	ctx, cancel := context.WithDeadline(e.ctx, deadline)
	return &RunningCall{
		Call:         call,
		Token:        newToken(),
		Started:      now,
		ctx:          ctx,
		cancel:       cancel,
		Allowance:    retry.NewAllowance(call.Request.GetContext().GetRetryAllowance()),
		Dependencies: e.config.Operations.Start(call.Request.GetOperation(), call.level()),
	}
}

// newToken returns an unguessable token for a running call.
func newToken() string {
	var token [tokenBytes]byte
	// crypto/rand.Read never returns an error; it terminates the program if the
	// system provides no randomness.
	_, _ = rand.Read(token[:])
	return hex.EncodeToString(token[:])
}

// queryTask sends an event to the task and waits for its reply. It returns the
// zero value and false if the task has ended.
func queryTask[T any](e *Executor, ev event, reply <-chan T) (T, bool) {
	var none T
	if !e.send(ev) {
		return none, false
	}
	select {
	case value := <-reply:
		return value, true
	case <-e.ctx.Done():
		return none, false
	}
}

// Find returns the running call with the token, or nil.
func (e *Executor) Find(token string) *RunningCall {
	reply := make(chan *RunningCall, 1)
	running, _ := queryTask(e, &findRunning{token: token, reply: reply}, reply)
	return running
}

// Announce applies an announcement of the target. The catalogue's limits have
// already been applied to slots and queue. It returns the number of calls in
// progress.
func (e *Executor) Announce(message *pb.Announcement, slots, queue int) int {
	reply := make(chan int, 1)
	inProgress, _ := queryTask(e, &announcement{message: message, slots: slots, queue: queue, reply: reply}, reply)
	return inProgress
}

// InProgress returns the root IDs, in hexadecimal, of at most limit calls that
// are queued or running.
func (e *Executor) InProgress(limit int) []string {
	reply := make(chan []string, 1)
	ids, _ := queryTask(e, &listing{limit: limit, reply: reply}, reply)
	return ids
}

// Close makes the executor refuse new calls. Running calls complete as usual.
func (e *Executor) Close() {
	reply := make(chan struct{}, 1)
	queryTask(e, &closing{reply: reply}, reply)
}

// Export returns the handover messages of a closed executor.
func (e *Executor) Export() []*pb.HandoverRequest {
	reply := make(chan []*pb.HandoverRequest, 1)
	chunks, _ := queryTask(e, &export{reply: reply}, reply)
	return chunks
}

// Adopt imports one chunk of the deduplication table of a draining executor.
func (e *Executor) Adopt(request *pb.HandoverRequest) *pb.HandoverResponse {
	reply := make(chan *pb.HandoverResponse, 1)
	response, ok := queryTask(e, &adoption{request: request, reply: reply}, reply)
	if !ok {
		return &pb.HandoverResponse{Detail: "the node stops; send the table to another node"}
	}
	return response
}

// stoppedResponse returns the response to a call that arrived after the
// executor was stopped.
func (e *Executor) stoppedResponse(call *Call) *pb.CallResponse {
	if call.keyed() {
		return outcome.New(outcome.Unknown, outcome.ExecutorGone, "the executor of the key has stopped").Response()
	}
	return refusalResponse(call, outcome.New(outcome.NotRun, outcome.Draining, "the node stops"))
}
