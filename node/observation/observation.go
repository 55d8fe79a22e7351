// Package observation records what a node decided and how whole requests
// ended, for explanations and the burn report.
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

// queueLength is the number of observations that may wait. At 100 calls a
// second and a few observations for each, it holds more than a second.
const queueLength = 1024

// Config configures an Observer.
type Config struct {
	// Node is the name of the VM.
	Node string
	// Entries bounds the journal.
	Entries int
	// Objective returns the goodput objective of a service; 0 means none.
	Objective func(service string) float64
}

// Observer is the handle of the observation task. It is safe for concurrent
// use.
type Observer struct {
	config   Config
	messages chan message
	dropped  atomic.Uint64
	pushed   atomic.Uint64
}

// message is applied by the task.
type message interface {
	apply(t *task)
}

type task struct {
	journal *journal.Journal
	burn    *burn.Tracker
}

// New returns an Observer that keeps nothing until Run.
func New(config Config) *Observer {
	return &Observer{config: config, messages: make(chan message, queueLength)}
}

// Run owns the journal and the counters until the context ends.
func (o *Observer) Run(ctx context.Context) {
	t := &task{
		journal: journal.New(journal.Config{Entries: o.config.Entries}),
		burn:    burn.New(time.Now(), 0),
	}
	for {
		select {
		case m := <-o.messages:
			m.apply(t)
			o.pushed.Store(t.journal.Dropped().Total())
		case <-ctx.Done():
			return
		}
	}
}

// Dropped returns the number of journal entries that were not kept.
func (o *Observer) Dropped() uint64 { return o.dropped.Load() + o.pushed.Load() }

func (o *Observer) offer(m message) {
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
	o.offer(entryMessage{entry: entry})
}

type burnMessage struct {
	at   time.Time
	key  burn.Key
	good bool
}

func (m burnMessage) apply(t *task) { t.burn.Observe(m.at, m.key, m.good) }

// CountRequest adds one whole request to the burn counters.
func (o *Observer) CountRequest(service string, class outcome.Class, good bool) {
	o.offer(burnMessage{at: time.Now(), key: burn.Key{Service: service, Class: class}, good: good})
}

// ask passes a question to the task and waits for its answer.
func ask[T any](ctx context.Context, o *Observer, question func(t *task) T) (T, error) {
	q := &query[T]{question: question, reply: make(chan T, 1)}
	var none T
	select {
	case o.messages <- q:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case answer := <-q.reply:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

type query[T any] struct {
	question func(t *task) T
	reply    chan T
}

func (q *query[T]) apply(t *task) { q.reply <- q.question(t) }

// Explain returns the entries of a request or a target.
func (o *Observer) Explain(ctx context.Context, request *pb.ExplainRequest) (*pb.ExplainResponse, error) {
	entries, err := ask(ctx, o, func(t *task) []journal.Entry {
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

// Burn returns the counters of this node.
func (o *Observer) Burn(ctx context.Context) (*pb.BurnResponse, error) {
	counters, err := ask(ctx, o, func(t *task) []*pb.BurnCounter {
		return t.burn.Counters(time.Now(), o.config.Objective)
	})
	return &pb.BurnResponse{Node: o.config.Node, Counters: counters}, err
}

// RootID converts the bytes of a root id; other lengths give the zero value.
func RootID(id []byte) journal.RootID {
	var root journal.RootID
	if len(id) == len(root) {
		copy(root[:], id)
	}
	return root
}
