// Package observation records the decisions of a node and the results of root
// requests. Explanations and the burn report are computed from these records.
//
// One goroutine owns the journal and the burn counters. Recording never blocks
// a call: while the queue is full, observations are dropped and counted.
package observation

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/primrosemount/primrosemount/core/burn"
	"github.com/primrosemount/primrosemount/core/journal"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// queueLength is the capacity of the queue. At 100 calls per second and a few
// observations per call, it holds the observations of more than a second.
const queueLength = 1024

// Config configures an Observer.
type Config struct {
	// Node is the name of the VM.
	Node string
	// Entries bounds the number of journal entries.
	Entries int
	// Objective returns the goodput objective of a service, or 0 if it has none.
	Objective func(service string) float64
}

// Observer records observations and answers queries about them. It is safe for
// concurrent use.
type Observer struct {
	config         Config
	messages       chan message
	dropped        atomic.Uint64
	journalDropped atomic.Uint64
}

// message is an observation or a query that the goroutine of Run processes.
type message interface {
	apply(t *task)
}

// task is the state owned by the goroutine of Run.
type task struct {
	journal *journal.Journal
	burn    *burn.Tracker
}

// New returns an Observer. Observations are queued until Run processes them.
func New(config Config) *Observer {
	return &Observer{config: config, messages: make(chan message, queueLength)}
}

// Run processes observations and queries until the context is done.
func (o *Observer) Run(ctx context.Context) {
	t := &task{
		journal: journal.New(journal.Config{Entries: o.config.Entries}),
		burn:    burn.New(time.Now(), 0),
	}
	for {
		select {
		case m := <-o.messages:
			m.apply(t)
			o.journalDropped.Store(t.journal.Dropped().Total())
		case <-ctx.Done():
			return
		}
	}
}

// Dropped returns the number of observations that were dropped and of entries
// that are not in the journal.
func (o *Observer) Dropped() uint64 { return o.dropped.Load() + o.journalDropped.Load() }

// enqueue queues an observation, or drops and counts it if the queue is full.
func (o *Observer) enqueue(m message) {
	select {
	case o.messages <- m:
	default:
		o.dropped.Add(1)
	}
}

type entryMessage struct{ entry journal.Entry }

func (m entryMessage) apply(t *task) { t.journal.Record(m.entry.Time, m.entry) }

// Record adds a decision to the journal.
func (o *Observer) Record(entry journal.Entry) {
	entry.Time = time.Now()
	o.enqueue(entryMessage{entry: entry})
}

type burnMessage struct {
	at   time.Time
	key  burn.Key
	good bool
}

func (m burnMessage) apply(t *task) { t.burn.Observe(m.at, m.key, m.good) }

// CountRequest adds one root request to the burn counters.
func (o *Observer) CountRequest(service string, class outcome.Class, good bool) {
	o.enqueue(burnMessage{at: time.Now(), key: burn.Key{Service: service, Class: class}, good: good})
}

// queryTask evaluates compute on the goroutine of Run and returns its result.
func queryTask[T any](ctx context.Context, o *Observer, compute func(t *task) T) (T, error) {
	q := &query[T]{compute: compute, reply: make(chan T, 1)}
	var none T
	select {
	case o.messages <- q:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case value := <-q.reply:
		return value, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

type query[T any] struct {
	compute func(t *task) T
	reply   chan T
}

func (q *query[T]) apply(t *task) { q.reply <- q.compute(t) }

// Explain returns the journal entries of a root request or a target.
func (o *Observer) Explain(ctx context.Context, request *pb.ExplainRequest) (*pb.ExplainResponse, error) {
	entries, err := queryTask(ctx, o, func(t *task) []journal.Entry {
		if request.GetTarget() != "" {
			return t.journal.ByTarget(request.GetTarget(), int(request.GetMaxEntries()))
		}
		return t.journal.ByRoot(RootID(request.GetRootId()), int(request.GetMaxEntries()))
	})
	if err != nil {
		return nil, err
	}
	response := &pb.ExplainResponse{Node: o.config.Node, Dropped: o.Dropped()}
	for _, entry := range entries {
		response.Entries = append(response.Entries, entry.Proto(o.config.Node))
	}
	return response, nil
}

// Burn returns the burn counters of this node.
func (o *Observer) Burn(ctx context.Context) (*pb.BurnResponse, error) {
	counters, err := queryTask(ctx, o, func(t *task) []*pb.BurnCounter {
		return t.burn.Counters(time.Now(), o.config.Objective)
	})
	return &pb.BurnResponse{Node: o.config.Node, Counters: counters}, err
}

// RootID converts the bytes of a root id. It returns the zero value if the
// length is wrong.
func RootID(id []byte) journal.RootID {
	var root journal.RootID
	if len(id) == len(root) {
		copy(root[:], id)
	}
	return root
}
