package control

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/catalogue"
	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/membership"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// inboxSize is the maximum number of queued messages. Senders block while the
// inbox is full.
const inboxSize = 256

// A Snapshot is the state of the control task at a point in time. Its parts are
// immutable. Catalogue and Members are never nil; they are empty until the node
// has the state of the stream.
type Snapshot struct {
	Catalogue *catalogue.Snapshot
	Members   *membership.Snapshot
	// CatalogueKnown and MembersKnown report whether the node has the state of
	// the stream, including all records that the stream had when the node first
	// received a state.
	CatalogueKnown bool
	MembersKnown   bool
	// CataloguePosition and MembersPosition are the applied offsets: the state
	// includes all records of the stream below them.
	CataloguePosition uint64
	MembersPosition   uint64
	// CatalogueEra and MembersEra are the eras of the log in which the positions hold.
	// They change once the log has been compared after a return from a copy.
	CatalogueEra era.Era
	MembersEra   era.Era
	// Reader reports whether this node is a reader, which polls the log on
	// behalf of its zone.
	Reader bool
	// LogDown reports whether the latest read of the log by this node failed.
	LogDown bool
}

// A Control gives access to the control task. All methods are safe for
// concurrent use.
type Control struct {
	cfg      Config
	task     *task
	inbox    chan message
	done     chan struct{}
	started  atomic.Bool
	current  atomic.Pointer[published]
	stats    Stats
	requests sync.WaitGroup
}

// published is a snapshot and a channel that is closed when a newer one replaces
// it.
type published struct {
	snapshot Snapshot
	replaced chan struct{}
}

// A message is an event or request that the task handles.
type message interface {
	kind() Kind
	handle(t *task)
}

// New returns a Control whose task does not start before Run. A returned error
// matches ErrConfig.
func New(cfg Config) (*Control, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	c := &Control{cfg: cfg, inbox: make(chan message, inboxSize), done: make(chan struct{})}
	c.task = newTask(c)
	c.current.Store(&published{snapshot: c.task.snapshot(), replaced: make(chan struct{})})
	return c, nil
}

// Run runs the control task until ctx is done, waits for the requests in
// progress and returns the error of ctx. A second call returns an error at once.
func (c *Control) Run(ctx context.Context) error {
	if !c.started.CompareAndSwap(false, true) {
		return errors.New("control: Run was called twice; create a new Control")
	}
	c.task.run(ctx)
	close(c.done)
	c.requests.Wait()
	return ctx.Err()
}

// Snapshot returns the current snapshot. It does not block or allocate.
func (c *Control) Snapshot() Snapshot {
	return c.current.Load().snapshot
}

// Changes returns a channel that is closed when a snapshot is published that is
// newer than the current one. To miss none, call Changes before Snapshot.
func (c *Control) Changes() <-chan struct{} {
	return c.current.Load().replaced
}

// Stats returns the statistics of control messages.
func (c *Control) Stats() *Stats { return &c.stats }

// ReportSuspect reports that a peer may have failed. It does not block: the report
// is dropped if the inbox is full, because a peer that has failed is reported
// again.
func (c *Control) ReportSuspect(incarnation uint64) {
	select {
	case c.inbox <- suspectReport{incarnation}:
	default:
	}
}

// HandleExchange processes an exchange request of a peer and returns the
// response.
func (c *Control) HandleExchange(ctx context.Context, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	reply := make(chan *pb.ExchangeResponse, 1)
	return call(ctx, c, incomingExchange{request, reply}, reply)
}

// Register registers the node as a member. It returns once the task has accepted
// the registration; the task then sends it repeatedly until the member table
// shows it. A second call with the same incarnation announces a changed number
// of slots. A returned error matches membership.ErrInvalidMember, ErrEvicted or
// ErrStopped, or is the error of ctx.
func (c *Control) Register(ctx context.Context, member *pb.Member) error {
	if err := membership.ValidateMember(member); err != nil {
		return err
	}
	reply := make(chan error, 1)
	rejection, err := call(ctx, c, register{member, reply}, reply)
	if err != nil {
		return err
	}
	return rejection
}

// Leave removes the node from the member table. The successor is the incarnation
// that takes over its idempotency keys, 0 if none. Leave waits until the member
// table shows the removal. A returned error matches ErrLeaveUnconfirmed.
func (c *Control) Leave(ctx context.Context, successor uint64) error {
	reply := make(chan error, 1)
	_, err := call(ctx, c, leave{successor, reply}, reply)
	if err != nil {
		return withKind(ErrLeaveUnconfirmed, err)
	}
	return nil
}

// Result returns the result of the change with the given id, and whether the
// replica of this node has one.
func (c *Control) Result(ctx context.Context, id []byte) (*pb.ChangeResult, bool, error) {
	reply := make(chan *pb.ChangeResult, 1)
	result, err := call(ctx, c, resultLookup{id, reply}, reply)
	return result, result != nil, err
}

// call sends a message to the task and waits for the reply.
func call[T any](ctx context.Context, c *Control, m message, reply <-chan T) (T, error) {
	var zero T
	select {
	case c.inbox <- m:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-c.done:
		return zero, ErrStopped
	}
	select {
	case response := <-reply:
		return response, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-c.done:
		return zero, ErrStopped
	}
}
