package control

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/catalogue"
	"github.com/primrosemount/primrosemount/core/membership"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// inboxSize bounds the messages that wait for the task; senders wait when it is full.
const inboxSize = 256

// Snapshot is what other tasks see. Its parts are immutable. Catalogue and
// Members are never nil; they are empty while not known.
type Snapshot struct {
	Catalogue *catalogue.Snapshot
	Members   *membership.Snapshot
	// CatalogueKnown and MembersKnown tell whether the node has the state of
	// the stream, up to its end at the time when the node learned it.
	CatalogueKnown bool
	MembersKnown   bool
	// CataloguePosition and MembersPosition are the offsets in force.
	CataloguePosition uint64
	MembersPosition   uint64
	// Reader tells whether this node polls the log for its zone.
	Reader bool
	// LogDown tells that the last read of the log by this node failed.
	LogDown bool
}

// Control is the handle of the control task. All methods are safe for
// concurrent use.
type Control struct {
	cfg     Config
	task    *task
	inbox   chan message
	done    chan struct{}
	started atomic.Bool
	view    atomic.Pointer[published]
	stats   Stats
	io      sync.WaitGroup
}

// published is a snapshot and the channel that is closed when the next one exists.
type published struct {
	snapshot Snapshot
	replaced chan struct{}
}

// message is handled by the task.
type message interface {
	kind() Kind
	handle(t *task)
}

// New returns a Control that does nothing until Run. The error matches ErrConfig.
func New(cfg Config) (*Control, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := &Control{cfg: cfg, inbox: make(chan message, inboxSize), done: make(chan struct{})}
	c.task = newTask(c)
	c.view.Store(&published{snapshot: c.task.snapshot(), replaced: make(chan struct{})})
	return c, nil
}

// Run runs the control task until ctx ends and all its requests have ended.
// It may be called once.
func (c *Control) Run(ctx context.Context) error {
	if !c.started.CompareAndSwap(false, true) {
		return errors.New("control: Run was called twice; create a new Control")
	}
	c.task.run(ctx)
	close(c.done)
	c.io.Wait()
	return ctx.Err()
}

// Snapshot returns the present state. It does not block or allocate.
func (c *Control) Snapshot() Snapshot {
	return c.view.Load().snapshot
}

// Changes returns a channel that is closed when there is a newer snapshot than
// at the time of the call. Take the channel first and the snapshot second.
func (c *Control) Changes() <-chan struct{} {
	return c.view.Load().replaced
}

// Stats returns the counters of control messages.
func (c *Control) Stats() *Stats { return &c.stats }

// ReportSuspect notes that a peer seems dead. It does not wait; a report is
// dropped when the task is busy, because the reporter will repeat it.
func (c *Control) ReportSuspect(incarnation uint64) {
	select {
	case c.inbox <- reportDead{incarnation}:
	default:
	}
}

// HandleExchange answers the message of a peer.
func (c *Control) HandleExchange(ctx context.Context, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	reply := make(chan *pb.ExchangeResponse, 1)
	return ask(ctx, c, exchangeIn{request, reply}, reply)
}

// Register announces the node as a member and returns when the task has taken
// the registration over; the task repeats it until the fold shows it. Calling
// it again with the same incarnation announces other slots. The error matches
// membership.ErrInvalidMember, ErrEvicted or ErrStopped.
func (c *Control) Register(ctx context.Context, member *pb.Member) error {
	if err := membership.ValidateMember(member); err != nil {
		return err
	}
	reply := make(chan error, 1)
	refused, err := ask(ctx, c, register{member, reply}, reply)
	if err != nil {
		return err
	}
	return refused
}

// Leave removes the node from the member table and names the incarnation that
// holds its keys, 0 if none. It waits until the fold shows it; if ctx ends
// before, the error matches ErrLeaveUnconfirmed.
func (c *Control) Leave(ctx context.Context, successor uint64) error {
	reply := make(chan error, 1)
	_, err := ask(ctx, c, leave{successor, reply}, reply)
	if err != nil {
		return ofKind(ErrLeaveUnconfirmed, err)
	}
	return nil
}

// Result returns what was decided about a change id, if this node knows it.
func (c *Control) Result(ctx context.Context, id []byte) (*pb.ChangeResult, bool, error) {
	reply := make(chan *pb.ChangeResult, 1)
	result, err := ask(ctx, c, lookUp{id, reply}, reply)
	return result, result != nil, err
}

// ask sends a message to the task and waits for its reply.
func ask[T any](ctx context.Context, c *Control, m message, reply <-chan T) (T, error) {
	var none T
	select {
	case c.inbox <- m:
	case <-ctx.Done():
		return none, ctx.Err()
	case <-c.done:
		return none, ErrStopped
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-c.done:
		return none, ErrStopped
	}
}
