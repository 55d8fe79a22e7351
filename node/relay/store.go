package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/telemetry"
)

// Record is the newest record of a key in a topic.
type Record struct {
	Key string
	// Value is nil if the key was dropped.
	Value  []byte
	Offset uint64
}

// Batch is the answer to a read of a topic.
type Batch struct {
	Records []Record
	// Next is the offset after the records that the answer covers.
	Next uint64
	// Complete tells that the topic had no further records when the store answered.
	Complete bool
}

// Topic is a topic of the platform's store that keeps the newest record of each
// key. Implementations are safe for concurrent use.
type Topic interface {
	// Newest returns the newest record of each key and the offset after the
	// records that it covers.
	Newest(ctx context.Context) (records []Record, next uint64, err error)
	// Read waits for records from an offset on. It returns none after the wait.
	// ErrHistoryDropped tells that records before the first retained one are
	// gone or that the topic is shorter than the offset.
	Read(ctx context.Context, from uint64, wait time.Duration) (Batch, error)
	// Put adds a record of a key. ErrPutUnknown tells that it may be there.
	Put(ctx context.Context, key string, value []byte) (offset uint64, err error)
}

// Errors of a topic; match them with errors.Is.
var (
	// ErrHistoryDropped marks a read of records that are gone.
	ErrHistoryDropped = errors.New("relay: the records are gone from the store; read the newest record of each key instead")
	// ErrPutUnknown marks a write whose answer was lost.
	ErrPutUnknown = errors.New("relay: the record may be on the store; write it again, a newer record of the key replaces it")
	// ErrUnavailable marks a call that the store refused or did not answer.
	ErrUnavailable = errors.New("relay: the store does not serve this node at the moment; calls go on and are repeated later")
)

const (
	// memberWait is how long one read waits for changes of members. Each call is paid
	// for, and other nodes tell of changes as well.
	memberReadWait = 10 * time.Second
	// retryFirst and retryLongest are the first and the longest wait after failed
	// calls about members.
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = time.Second
	// overdueWait bounds the call that follows an unanswered read, which asks for
	// what is there without waiting for more. A slow store answers it in time.
	shortReadTimeout = 2 * time.Second
)

// follower keeps a copy of a topic up to date.
type follower struct {
	name   string
	topic  Topic
	logger *zap.Logger
	// pause is the time between two reads, which gathers changes that come
	// close together into one read.
	pause time.Duration
	// apply takes in records in the order of their offsets.
	apply func(records []Record)
	// heard is called after each answer with the moment as of which the copy is
	// complete, zero if it is not, and the time of the answer.
	recordResponse func(asOf, answered time.Time)
	// ready is called each time that a whole copy was taken in.
	loaded func()
	// role tells whether to go on reading after the first copy.
	role *storeRole
	// wait returns how long one read waits for records, and slack how much longer
	// its answer may take.
	wait  func() time.Duration
	slack time.Duration
	// retryLongest is the longest wait after failed calls.
	maxRetryWait time.Duration
	// answered is called when the store answers again after it had not.
	answered func()
	// lost is set while the store does not answer.
	unavailable atomic.Bool
	// interrupt ends the wait of the read under way.
	interrupt atomic.Pointer[context.CancelCauseFunc]
}

// errInterrupted ends a read that is to be made anew.
var errInterrupted = errors.New("relay: the read is made anew")

// restart ends a read that waits, because its answer may have been lost, and makes
// it anew.
func (f *follower) restart() {
	if cancel := f.interrupt.Load(); cancel != nil {
		(*cancel)(errInterrupted)
	}
}

// memberPause gathers member changes that come close together. A target that
// drains refuses work at its gate meanwhile, and one that joins waits this long.
const memberReadPause = 500 * time.Millisecond

// followers returns what keeps the copies of the configuration and the members up
// to date from the store.
func (t *membersTask) followers(configTopic Topic) (config, members *follower) {
	members = &follower{name: "members", topic: t.topic, logger: t.logger, role: t.role, pause: memberReadPause,
		loaded: t.storeLoaded, apply: t.records, recordResponse: func(time.Time, time.Time) {},
		wait: func() time.Duration { return memberReadWait }, slack: shortReadTimeout,
		maxRetryWait: maxRetryWait, answered: func() {}}
	config = &follower{name: "configuration", topic: configTopic, logger: t.logger, role: t.configRole,
		loaded: func() {}, apply: t.config.apply, recordResponse: t.config.recordResponse,
		wait: t.configWait, slack: t.rules.Slack(),
		// A node that the store refuses learns of changes through others meanwhile.
		maxRetryWait: t.rules.Bound, answered: members.restart}
	t.storeResponds = func() bool { return !members.unavailable.Load() }
	return config, members
}

// configWait returns how long a read of the configuration waits.
func (t *membersTask) configWait() time.Duration { return t.rules.Wait(*t.standing.Load()) }

// run follows the topic until the context ends.
func (f *follower) run(ctx context.Context) {
	wait := minRetryWait
	next, known := uint64(0), false
	for ctx.Err() == nil {
		if known {
			f.role.waitActive(ctx)
		}
		after, err := f.step(ctx, next, known)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errInterrupted) {
			continue
		}
		f.noteAvailability(err)
		if err != nil {
			known = known && !errors.Is(err, ErrHistoryDropped)
			sleep(ctx, jitter(wait))
			wait = min(2*wait, f.maxRetryWait)
			continue
		}
		if !known {
			f.loaded()
		}
		if after != next {
			sleep(ctx, f.pause)
		}
		next, known, wait = after, true, minRetryWait
	}
}

// step reads either the whole topic or what follows the known part.
func (f *follower) step(ctx context.Context, next uint64, known bool) (uint64, error) {
	requestedAt := time.Now()
	if !known {
		records, after, err := f.topic.Newest(ctx)
		if err != nil {
			return 0, err
		}
		f.apply(records)
		f.recordResponse(requestedAt, time.Now())
		return after, nil
	}
	wait, responseSlack := f.wait(), f.slack
	if f.unavailable.Load() {
		// Waiting would hide for longer that the store does not answer.
		wait, responseSlack = 0, shortReadTimeout
	}
	batch, err := f.read(ctx, next, wait, responseSlack)
	if err != nil {
		return 0, err
	}
	f.apply(batch.Records)
	respondedAt := time.Now()
	f.recordResponse(asOf(batch, next, requestedAt, respondedAt, wait), respondedAt)
	if batch.Next == next && respondedAt.Sub(requestedAt) < wait/2 {
		// A store that says at once that it has nothing is not asked without a pause.
		sleep(ctx, minRetryWait)
	}
	return batch.Next, nil
}

// asOf returns the moment as of which the answer to a read shows the copy to be
// complete. The store answers as soon as it has a record, and without one after the
// wait only.
func asOf(batch Batch, next uint64, requestedAt, respondedAt time.Time, wait time.Duration) time.Time {
	switch {
	case !batch.Complete:
		return time.Time{}
	case batch.Next == next && respondedAt.Sub(requestedAt) >= wait:
		return requestedAt.Add(wait)
	default:
		return requestedAt
	}
}

// read waits for records, and for the answer no longer than most beyond that.
func (f *follower) read(ctx context.Context, next uint64, wait, responseSlack time.Duration) (Batch, error) {
	interruptible, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.interrupt.Store(&cancel)
	bounded, stop := context.WithTimeout(interruptible, wait+responseSlack)
	defer stop()
	batch, err := f.topic.Read(bounded, next, wait)
	if err != nil && errors.Is(context.Cause(interruptible), errInterrupted) {
		return Batch{}, errInterrupted
	}
	return batch, err
}

// note logs the loss and the return of the store, once each.
func (f *follower) noteAvailability(err error) {
	switch {
	case err != nil && !f.unavailable.Load() && !errors.Is(err, ErrHistoryDropped):
		f.logger.Warn("The store does not answer.", zap.String("topic", f.name), telemetry.ErrorField(err))
		f.unavailable.Store(true)
	case err == nil && f.unavailable.Load():
		f.logger.Info("The store answers again.", zap.String("topic", f.name))
		f.unavailable.Store(false)
		f.answered()
	}
}

// spread shortens a wait at random by up to a half, so that nodes that lost the
// store together do not return together.
func jitter(wait time.Duration) time.Duration { return wait - rand.N(wait/2+1) }

// sleep waits for the duration or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
