package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/streamlog"
)

// Peers calls other nodes. Implementations are safe for concurrent use.
type Peers interface {
	Exchange(ctx context.Context, address string, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error)
	Probe(ctx context.Context, address string, request *pb.ProbeRequest) (*pb.ProbeResponse, error)
}

// Intervals are the time settings of the control task. Zero fields get the
// defaults.
type Intervals struct {
	// Poll is the time between two reads of a stream by a reader, and by a node
	// that does not have the state of the stream or waits for a record.
	Poll time.Duration
	// BackgroundPoll, multiplied by the number of members, is the time between
	// two reads of a stream by a node that is not a reader. These reads find new
	// records even if all readers have failed.
	BackgroundPoll time.Duration
	// MinBackgroundPoll is the minimum time between two such reads by one node.
	MinBackgroundPoll time.Duration
	// Exchange is the time between two exchanges that compare applied offsets.
	Exchange time.Duration
	// Register is the time after which a registration is first sent again if the
	// member table does not show it.
	Register time.Duration
	// Checkpoint is the maximum time between two checkpoints of a stream. The
	// log has to retain records for longer than this plus its longest outage.
	Checkpoint time.Duration
	// CheckpointStagger is the time that a reader waits, per reader that ranks
	// before it, before it writes a checkpoint that is due.
	CheckpointStagger time.Duration
	// LogTimeout and PeerTimeout limit the duration of one request.
	LogTimeout  time.Duration
	PeerTimeout time.Duration
}

// Default intervals. With these, a change reaches a reader after 250 ms on
// average and the partners of the reader one message later. That leaves most of
// the 3 s within which a catalogue change has to take effect for slow peers.
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
	// Self is the member entry that the node registers. The incarnation must be set even
	// if the target has not announced itself yet.
	Self  *pb.Member
	Log   streamlog.Log
	Peers Peers
	// Seeds are the addresses of peers from which a starting node requests the
	// state, also while the log is down.
	Seeds []string
	// Seed initializes the random number generator.
	Seed   uint64
	Logger *zap.Logger
	// OnEvicted is called in a new goroutine when the member table shows that
	// the registered incarnation was evicted. The node must Register a new
	// incarnation before it serves requests again.
	OnEvicted func(incarnation uint64)
	Intervals Intervals
}

// Errors returned by this package; match them with errors.Is.
var (
	// ErrConfig marks a Config that lacks a required field.
	ErrConfig = errors.New("control: the configuration is incomplete; set Self with an incarnation, zone and node address, Log and Peers")
	// ErrStopped marks a request to a control task that has stopped.
	ErrStopped = errors.New("control: the control task has ended; ask another node")
	// ErrInvalidChange marks a change that is not valid and was not appended.
	// The cause is a *catalogue.ValidationError.
	ErrInvalidChange = errors.New("control: the change is not valid and was not written; correct it as the cause says")
	// ErrLogDown marks a change that has no effect because the log is not
	// reachable.
	ErrLogDown = errors.New("control: the log does not answer, so the change was not written; submit it again when the log is back")
	// ErrLogRefused marks a change that has no effect because the log refused
	// every append of it.
	ErrLogRefused = errors.New("control: the log refused the change, so it was not written; submit it again later")
	// ErrUnsettled marks a change whose result is unknown: it may have taken
	// effect or may still do so.
	ErrUnsettled = errors.New("control: the change may have been written, but its record was not found in time; submit the same change with the same id again, or ask for its result")
	// ErrEvicted marks a registration of an incarnation that is retired: it has
	// left, was evicted or was replaced.
	ErrEvicted = errors.New("control: this incarnation has left or was evicted; register a new one")
	// ErrLeaveUnconfirmed marks a leave that the member table did not show in
	// time.
	ErrLeaveUnconfirmed = errors.New("control: the leave record could not be confirmed in time; the node may stop, because other nodes will evict it")
)

func (c *Config) validate() error {
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
	c.Intervals.setDefaults()
	return nil
}

func (i *Intervals) setDefaults() {
	setDefault(&i.Poll, DefaultPoll)
	setDefault(&i.BackgroundPoll, DefaultBackgroundPoll)
	setDefault(&i.MinBackgroundPoll, DefaultMinBackgroundPoll)
	setDefault(&i.Exchange, DefaultExchange)
	setDefault(&i.Register, DefaultRegister)
	setDefault(&i.Checkpoint, DefaultCheckpoint)
	setDefault(&i.CheckpointStagger, DefaultCheckpointStagger)
	setDefault(&i.LogTimeout, DefaultLogTimeout)
	setDefault(&i.PeerTimeout, DefaultPeerTimeout)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// A kindError is one of the errors above together with its cause. errors.Is
// matches both, that of cockroachdb/errors and that of the standard library.
type kindError struct {
	kind  error
	cause error
}

func (e *kindError) Error() string   { return e.kind.Error() + " (" + e.cause.Error() + ")" }
func (e *kindError) Unwrap() []error { return []error{e.kind, e.cause} }

func withKind(kind, cause error) error { return &kindError{kind: kind, cause: cause} }
