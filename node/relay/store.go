package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/telemetry"
)

// A Record is the newest record of a key in a topic.
type Record struct {
	Key string
	// Value is nil if the key was deleted.
	Value  []byte
	Offset uint64
}

// A Batch is the result of reading a topic.
type Batch struct {
	Records []Record
	// Next is the position after the records covered by the batch, in the era of the
	// response.
	Next era.Position
	// Complete reports whether the topic had no further records when the store
	// responded.
	Complete bool
}

// A Topic is a topic of the platform's store that keeps the newest record of each
// key. Implementations must be safe for concurrent use.
type Topic interface {
	// Newest returns the newest record of each key and the position after the records
	// covered.
	Newest(ctx context.Context) (records []Record, next era.Position, err error)
	// Read waits for records starting at a position. It returns an empty batch if
	// there are none within the wait. It returns ErrHistoryDropped if the offset is
	// before the first retained record or after the end of the topic. The response may
	// be of another era than the position; the caller compares them.
	Read(ctx context.Context, from era.Position, wait time.Duration) (Batch, error)
	// Put writes a record of a key and returns its position. After ErrPutUnknown the
	// record may have been written.
	Put(ctx context.Context, key string, value []byte) (era.Position, error)
	// PutAll writes several records if the topic ends at a position, and nothing
	// otherwise, in which case it returns ErrConflict. After ErrPutUnknown the records
	// may have been written.
	PutAll(ctx context.Context, records []Record, end era.Position) error
}

// Errors returned by a Topic, possibly wrapped.
var (
	// ErrHistoryDropped is returned by Read if records from the offset on are no
	// longer retained.
	ErrHistoryDropped = errors.New("relay: the store no longer retains the records; read the newest record of each key instead")
	// ErrPutUnknown is returned by Put if the response of the store was lost.
	ErrPutUnknown = errors.New("relay: the record may have been written; write it again, which replaces it")
	// ErrConflict is returned by PutAll if the topic does not end at the position.
	ErrConflict = errors.New("relay: the topic has changed and nothing was written; read the changes first")
	// ErrUnavailable is returned if the store refused the call or did not respond.
	ErrUnavailable = errors.New("relay: the store refused the call or did not respond; the node retries it later")
)

const (
	// memberReadWait is how long one read waits for changes of members. It is long
	// because each call to the store is billed, and peers report changes as well.
	memberReadWait = 10 * time.Second
	// firstRetryWait is the wait after a read that failed although the one before did
	// not. Its connection may have gone silent.
	firstRetryWait = 20 * time.Millisecond
	// minRetryWait and maxRetryWait limit the exponential backoff after further failed
	// reads of the members.
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = time.Second
	// shortReadTimeout limits reads that do not wait for new records. They follow a
	// read without a response. Even a slow store responds to them in time.
	shortReadTimeout = 2 * time.Second
)

// follower keeps a local copy of a topic current.
type follower struct {
	name   string
	topic  Topic
	logger *zap.Logger
	// pause is the time without reads after a change. It combines changes that occur in
	// quick succession into one read.
	pause time.Duration
	// apply processes the records before a position in the order of their offsets. All
	// are of its era.
	apply func(records []Record, next era.Position)
	// eraSpread returns the time over which nodes distribute their reads after the
	// store has returned from a copy.
	eraSpread func() time.Duration
	// recordResponse is called after each response with the time as of which the
	// copy is complete, or zero if it is not complete, and the time of the
	// response.
	recordResponse func(asOf, responded time.Time)
	// reset is called before the records of a complete copy are applied, and loaded
	// after that, with the era of the copy.
	reset  func()
	loaded func(era.Era)
	// eraSeen is called with the era of each response.
	eraSeen func(era.Era)
	// role decides whether to continue reading after the first copy.
	role *storeRole
	// wait returns how long one read waits for records. slack is the additional
	// time that the response may take.
	wait  func() time.Duration
	slack time.Duration
	// maxRetryWait is the maximum wait after failed reads.
	maxRetryWait time.Duration
	// responded is called when the store responds again after an outage.
	responded func()
	// unavailable is set while the store does not respond, and failed once it did not.
	unavailable atomic.Bool
	failed      atomic.Bool
	// interrupt cancels the read in progress.
	interrupt atomic.Pointer[context.CancelCauseFunc]
	// retry ends the wait after a failed read.
	retry chan struct{}
	// positionEra is the era of the position in the topic. readAnew is set if the copy
	// must be read completely because there is a later one.
	positionEra atomic.Uint64
	readAnew    atomic.Bool
}

// errInterrupted is the cause of a read that restart has canceled.
var errInterrupted = errors.New("relay: the read was canceled to start a new one")

// errEraChanged is returned for a read from a position of another era.
var errEraChanged = errors.New("relay: the store has returned from a copy; read the newest record of each key again")

// startEra makes the follower read the complete topic again if its position is of an
// earlier era.
func (f *follower) startEra(e era.Era) {
	if position := (era.Position{Era: era.Era(f.positionEra.Load())}); position.ValidIn(e) {
		return
	}
	f.readAnew.Store(true)
	f.restart()
}

// restart cancels the read in progress, or the wait after a failed one, and starts a new
// one. It is called when the response to a waiting read may have been lost.
func (f *follower) restart() {
	select {
	case f.retry <- struct{}{}:
	default:
	}
	if cancel := f.interrupt.Load(); cancel != nil {
		(*cancel)(errInterrupted)
	}
}

// memberReadPause combines member changes that occur in quick succession. Its cost
// is small: a draining target refuses requests at its gate in the meantime, and a
// joining one waits this long for its first requests.
const memberReadPause = 500 * time.Millisecond

// followers returns the followers that keep the local copies of the configuration
// and the members current from the store.
func (t *membersTask) followers(configTopic Topic) (config, members *follower) {
	members = &follower{retry: make(chan struct{}, 1), name: "members", topic: t.topic, logger: t.logger, role: t.role, pause: memberReadPause,
		reset: t.resetStored, loaded: t.storeLoaded, apply: t.records, eraSeen: t.observeStoreEra, eraSpread: t.readSpread, recordResponse: func(time.Time, time.Time) {},
		wait: func() time.Duration { return memberReadWait }, slack: shortReadTimeout,
		maxRetryWait: maxRetryWait, responded: func() {}}
	config = &follower{retry: make(chan struct{}, 1), name: "configuration", topic: configTopic, logger: t.logger, role: t.configRole,
		reset: func() {}, loaded: func(era.Era) {}, recordResponse: t.config.recordResponse, eraSeen: t.observeStoreEra, eraSpread: t.readSpread,
		apply: func(records []Record, _ era.Position) { t.config.apply(records) },
		pause: t.rules.Pause(), wait: t.configWait, slack: t.rules.PollGrace(),
		// While the store refuses reads, the node receives changes from peers, so
		// long waits do no harm.
		maxRetryWait: t.rules.PropagationBound, responded: members.restart}
	t.storeResponds = func() bool { return !members.unavailable.Load() }
	t.storeFailed = members.failed.Load
	t.startEra = func(e era.Era) {
		config.startEra(e)
		members.startEra(e)
	}
	return config, members
}

// configWait returns how long the next read of the configuration waits for records. While
// responses confirm nothing, the age of the copy does not call for an early one.
func (t *membersTask) configWait() time.Duration {
	if t.config.tracker.IsSuspended(time.Now()) {
		return t.rules.Wait(*t.zoneRole.Load())
	}
	return t.rules.NextWait(*t.zoneRole.Load(), t.config.tracker.Age(time.Now()))
}

// run follows the topic until the context ends.
func (f *follower) run(ctx context.Context) {
	wait := firstRetryWait
	next, known := era.Position{}, false
	for ctx.Err() == nil {
		if known {
			f.role.waitActive(ctx)
		}
		if f.readAnew.Swap(false) && known {
			known = false
			sleep(ctx, rand.N(f.eraSpread()+1))
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
			known = known && !isPositionLost(err)
			if errors.Is(err, errEraChanged) {
				sleep(ctx, jitter(firstRetryWait)+rand.N(f.eraSpread()+1))
				continue
			}
			f.awaitRetry(ctx, jitter(wait))
			wait = min(max(2*wait, minRetryWait), f.maxRetryWait)
			continue
		}
		if !known {
			f.loaded(after.Era)
		}
		if after.Offset != next.Offset && known {
			sleep(ctx, f.pause)
		}
		next, known, wait = after, true, firstRetryWait
		f.positionEra.Store(uint64(next.Era))
	}
}

// awaitRetry waits until a failed read is repeated.
func (f *follower) awaitRetry(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.retry:
	}
}

// isPositionLost reports whether a read failed because its position names no record, or
// another one than before.
func isPositionLost(err error) bool {
	return errors.Is(err, ErrHistoryDropped) || errors.Is(err, errEraChanged)
}

// step reads either the complete topic or, if an earlier part is known, the records
// after it.
func (f *follower) step(ctx context.Context, next era.Position, known bool) (era.Position, error) {
	requestedAt := time.Now()
	if !known {
		records, after, err := f.topic.Newest(ctx)
		if err != nil {
			return era.Position{}, err
		}
		f.eraSeen(after.Era)
		f.reset()
		f.apply(records, after)
		f.recordResponse(requestedAt, time.Now())
		return after, nil
	}
	wait, responseSlack := f.wait(), f.slack
	if f.unavailable.Load() {
		// Do not wait for records: this would delay the detection of the end of the
		// outage.
		wait, responseSlack = 0, shortReadTimeout
	}
	batch, err := f.read(ctx, next, wait, responseSlack)
	if err != nil {
		return era.Position{}, err
	}
	f.eraSeen(batch.Next.Era)
	if !next.ValidIn(batch.Next.Era) {
		f.logger.Warn("The position in the topic is of an earlier era of the store.", zap.String("topic", f.name),
			zap.Stringer("era", batch.Next.Era), zap.Stringer("position_era", next.Era), zap.Uint64("offset", next.Offset))
		return era.Position{}, errEraChanged
	}
	f.apply(batch.Records, batch.Next)
	respondedAt := time.Now()
	f.recordResponse(asOf(batch, next, requestedAt, respondedAt, wait), respondedAt)
	if batch.Next.Offset == next.Offset && respondedAt.Sub(requestedAt) < max(wait/2, minRetryWait) {
		// The store responded at once without records. Pause, so that the loop does
		// not call it without interruption.
		sleep(ctx, minRetryWait)
	}
	return batch.Next, nil
}

// asOf returns the time as of which the response to a read shows the copy to be
// complete. The store responds immediately if it has a record, and otherwise only
// after the wait.
func asOf(batch Batch, next era.Position, requestedAt, respondedAt time.Time, wait time.Duration) time.Time {
	switch {
	case !batch.Complete:
		return time.Time{}
	case batch.Next.Offset == next.Offset && respondedAt.Sub(requestedAt) >= wait:
		return requestedAt.Add(wait)
	default:
		return requestedAt
	}
}

// read waits for records. The response may take up to responseSlack longer than the
// wait.
func (f *follower) read(ctx context.Context, next era.Position, wait, responseSlack time.Duration) (Batch, error) {
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

// noteAvailability logs the start and the end of an outage of the store, once each.
func (f *follower) noteAvailability(err error) {
	switch {
	case isPositionLost(err):
	case err != nil && !f.unavailable.Load():
		f.logger.Warn("The store does not answer.", zap.String("topic", f.name), telemetry.ErrorField(err))
		f.unavailable.Store(true)
		f.failed.Store(true)
	case err == nil && f.unavailable.Load():
		f.logger.Info("The store answers again.", zap.String("topic", f.name))
		f.unavailable.Store(false)
		f.responded()
	}
}

// jitter randomly shortens a wait by up to half, so that nodes that lost the store
// at the same time do not retry at the same time.
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
