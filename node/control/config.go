package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/streamlog"
)

// Peers sends messages to other nodes. Implementations are safe for concurrent
// use.
type Peers interface {
	Exchange(ctx context.Context, address string, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error)
	Probe(ctx context.Context, address string, request *pb.ProbeRequest) (*pb.ProbeResponse, error)
}

// Intervals are the times of the control task. Zero fields get the defaults.
type Intervals struct {
	// Poll is the time between two reads of a stream by a reader.
	Poll time.Duration
	// BackgroundPoll is the time between two reads by any node, times the
	// number of members. It finds new records even when all readers have failed.
	BackgroundPoll time.Duration
	// MinBackgroundPoll is the shortest time between two such reads of one node.
	MinBackgroundPoll time.Duration
	// Exchange is the time between two comparisons with partners.
	Exchange time.Duration
	// Register is the time after which a registration that is not in the fold
	// is sent again.
	Register time.Duration
	// Checkpoint is the longest time between two checkpoints of a stream. The
	// log has to retain records for longer than this plus its longest outage.
	Checkpoint time.Duration
	// CheckpointStagger is the time that a reader waits for each reader before it.
	CheckpointStagger time.Duration
	// LogTimeout and PeerTimeout bound one request.
	LogTimeout  time.Duration
	PeerTimeout time.Duration
}

// Default intervals. A change reaches a reader after 250 ms on average and
// the partners of readers one message later, which leaves most of the 3 s of
// a catalogue change to slow peers.
const (
	DefaultPoll              = 500 * time.Millisecond
	DefaultBackgroundPoll    = 100 * time.Millisecond
	DefaultMinBackgroundPoll = 5 * time.Second
	DefaultExchange          = time.Second
	DefaultRegister          = 2 * time.Second
	DefaultCheckpoint        = time.Hour
	DefaultCheckpointStagger = 10 * time.Second
	DefaultLogTimeout        = 3 * time.Second
	DefaultPeerTimeout       = time.Second
)

// Config configures a Control.
type Config struct {
	// Self is the node as it registers. Its incarnation is set even before the
	// target announces itself.
	Self  *pb.Member
	Log   streamlog.Log
	Peers Peers
	// Seeds are addresses of peers to learn from while the log is down.
	Seeds []string
	// Seed is the seed of all random choices.
	Seed   uint64
	Logger *zap.Logger
	// OnEvicted is called in its own goroutine when the fold shows that the
	// registered incarnation was evicted. The node must Register a new
	// incarnation before it serves again.
	OnEvicted func(incarnation uint64)
	Intervals Intervals
}

// Kinds of errors; match them with errors.Is.
var (
	// ErrConfig marks a Config that cannot be used.
	ErrConfig = errors.New("control: the configuration is incomplete; set Self with an incarnation, zone and node address, Log and Peers")
	// ErrStopped marks a request to a control task that has ended.
	ErrStopped = errors.New("control: the control task has ended; ask another node")
	// ErrInvalidChange marks a change that was not written; the cause is a *catalogue.ValidationError.
	ErrInvalidChange = errors.New("control: the change is not valid and was not written; correct it as the cause says")
	// ErrLogDown marks a change without effect because the log cannot be reached.
	ErrLogDown = errors.New("control: the log does not answer, so the change was not written; submit it again when the log is back")
	// ErrLogRefused marks a change without effect because the log refused it.
	ErrLogRefused = errors.New("control: the log refused the change, so it was not written; submit it again later")
	// ErrUnsettled marks a change that may take effect.
	ErrUnsettled = errors.New("control: the change may have been written, but its record was not found in time; submit the same change with the same id again, or ask for its result")
	// ErrEvicted marks a registration of an incarnation that is gone.
	ErrEvicted = errors.New("control: this incarnation has left or was evicted; register a new one")
	// ErrLeaveUnconfirmed marks a leave that did not show up in the fold in time.
	ErrLeaveUnconfirmed = errors.New("control: the leave is not on the log yet; the node may stop, an eviction will remove it")
)

func (c *Config) check() error {
	if c.Self.GetIncarnation() == 0 || c.Self.GetAvailabilityZone() == "" || c.Self.GetNodeAddress() == "" {
		return errors.Wrap(ErrConfig, "Self")
	}
	if c.Log == nil || c.Peers == nil {
		return errors.Wrap(ErrConfig, "Log and Peers")
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.OnEvicted == nil {
		c.OnEvicted = func(uint64) {}
	}
	c.Intervals.fill()
	return nil
}

func (i *Intervals) fill() {
	fallback(&i.Poll, DefaultPoll)
	fallback(&i.BackgroundPoll, DefaultBackgroundPoll)
	fallback(&i.MinBackgroundPoll, DefaultMinBackgroundPoll)
	fallback(&i.Exchange, DefaultExchange)
	fallback(&i.Register, DefaultRegister)
	fallback(&i.Checkpoint, DefaultCheckpoint)
	fallback(&i.CheckpointStagger, DefaultCheckpointStagger)
	fallback(&i.LogTimeout, DefaultLogTimeout)
	fallback(&i.PeerTimeout, DefaultPeerTimeout)
}

func fallback(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// kindError is an error of one of the kinds above with its cause. Both match
// with errors.Is of this and of the standard library.
type kindError struct {
	kind  error
	cause error
}

func (e *kindError) Error() string   { return e.kind.Error() + " (" + e.cause.Error() + ")" }
func (e *kindError) Unwrap() []error { return []error{e.kind, e.cause} }

func ofKind(kind, cause error) error { return &kindError{kind: kind, cause: cause} }
