package control

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/catalogue"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/streamlog"
)

const (
	// maxRefusedAppends is the number of refused appends after which a change is
	// refused. The log refuses appends above its rate limit.
	maxRefusedAppends = 4
	// retryDelay is the delay before a failed read of the end of the stream is
	// repeated. The delay before a refused append is repeated is twice as long and
	// doubles each time.
	retryDelay = 250 * time.Millisecond
)

// Submit appends a change to the log and returns its result once its record has
// been applied to the replica. The same change may be submitted again with the
// same id. A returned error matches ErrInvalidChange, ErrLogDown or ErrLogRefused
// if this call has had no effect and will have none, and ErrUnsettled if it may
// have one. This says nothing about earlier calls with the same id. If ctx has no
// deadline, Submit waits until the log shows the result.
func (c *Control) Submit(ctx context.Context, change *pb.Change) (*pb.ChangeResult, error) {
	if err := catalogue.ValidateChange(change); err != nil {
		return nil, withKind(ErrInvalidChange, err)
	}
	s := &submission{c: c, id: change.GetId(), record: catalogue.ChangeRecord(change)}
	return s.run(ctx)
}

// A submission is one call of Submit.
type submission struct {
	c      *Control
	id     []byte
	record []byte
	// mayHaveEffect is true once an append may have taken effect.
	mayHaveEffect bool
	// refusals is the number of appends that the log has refused.
	refusals int
}

// errLogReturned refuses a change while it is not known whether the log still has the
// records that were applied.
var errLogReturned = errors.New("control: the log has returned from a copy and is being compared with the records that were applied; submit the change again in a few seconds, and restart the node if its log says that other records have taken their offsets")

func (s *submission) run(ctx context.Context) (*pb.ChangeResult, error) {
	result, err := s.earlierResult(ctx)
	for err == nil && result == nil {
		result, err = s.appendOnce(ctx)
	}
	if err == nil {
		return result, nil
	}
	if s.mayHaveEffect {
		return nil, withKind(ErrUnsettled, err)
	}
	return nil, err
}

// earlierResult returns the result of an earlier submission with the same id, or
// nil if there is none. It requires a response of the log, so that a change is
// refused at once while the log is down.
func (s *submission) earlierResult(ctx context.Context) (*pb.ChangeResult, error) {
	end, err := s.end(ctx)
	if err != nil {
		return nil, withKind(ErrLogDown, err)
	}
	result, err := s.awaitResult(ctx, end)
	if err != nil {
		return nil, withKind(ErrLogDown, err)
	}
	return result, nil
}

// appendOnce appends the change once and waits for its result. If it returns
// neither a result nor an error, the change is to be appended again. That is safe
// even if an earlier append takes effect later, because the state ignores further
// records with the same id.
func (s *submission) appendOnce(ctx context.Context) (*pb.ChangeResult, error) {
	offset, err := s.append(ctx)
	if err == nil {
		s.mayHaveEffect = true
		return s.awaitResult(ctx, offset+1)
	}
	if errors.Is(err, streamlog.ErrRefused) {
		return nil, s.waitAfterRefusal(ctx, err)
	}
	s.mayHaveEffect = true
	end, err := s.endWithRetry(ctx)
	if err != nil {
		return nil, err
	}
	return s.awaitResult(ctx, end)
}

func (s *submission) append(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.c.cfg.Intervals.LogTimeout)
	defer cancel()
	offset, err := s.c.cfg.Log.Append(ctx, streamlog.CatalogueStream, s.record)
	s.c.stats.message(KindLogAppend, 0, len(s.record), err)
	return offset, err
}

// waitAfterRefusal waits before an append that the log refused with the given
// cause is repeated. It returns an error if the append is not to be repeated.
func (s *submission) waitAfterRefusal(ctx context.Context, cause error) error {
	s.refusals++
	if s.refusals >= maxRefusedAppends {
		return withKind(ErrLogRefused, cause)
	}
	select {
	case <-time.After(retryDelay << s.refusals):
		return nil
	case <-ctx.Done():
		return withKind(ErrLogRefused, cause)
	}
}

// end reads the offset of the end of the stream, which also proves that the log is
// available.
func (s *submission) end(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.c.cfg.Intervals.LogTimeout)
	defer cancel()
	snapshot := s.c.Snapshot()
	batch, err := s.c.cfg.Log.Read(ctx, streamlog.CatalogueStream, snapshot.CataloguePosition, 1)
	s.c.stats.message(KindLogRead, 0, 0, err)
	if err == nil && !snapshot.CatalogueEra.Same(batch.Era) {
		return 0, errLogReturned
	}
	return batch.Next, err
}

// endWithRetry calls end until the log responds or ctx is done.
func (s *submission) endWithRetry(ctx context.Context) (uint64, error) {
	for {
		end, err := s.end(ctx)
		if err == nil {
			return end, nil
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return 0, err
		}
	}
}

// awaitResult waits until the replica has the result of the change, or has applied
// all records below the offset until. In the second case, the result is nil.
func (s *submission) awaitResult(ctx context.Context, until uint64) (*pb.ChangeResult, error) {
	reply := make(chan *pb.ChangeResult, 1)
	return call(ctx, s.c, &resultWaiter{ctx: ctx, id: s.id, until: until, reply: reply}, reply)
}

// A resultWaiter is the message of submission.awaitResult. The task keeps it until
// it can reply.
type resultWaiter struct {
	ctx   context.Context
	id    []byte
	until uint64
	reply chan<- *pb.ChangeResult
}

func (*resultWaiter) kind() Kind { return KindSubmit }

func (m *resultWaiter) handle(t *task) {
	if t.replyIfDecided(m) {
		return
	}
	t.waiters = append(t.waiters, m)
	s := t.stream(streamlog.CatalogueStream)
	s.nextReadAt = time.Now()
	t.pollLog(s.nextReadAt)
}

// replyIfDecided replies to a waiter whose result is available or whose offset has
// been reached. It reports whether the waiter can be dropped, which is also the
// case if its context is done.
func (t *task) replyIfDecided(m *resultWaiter) bool {
	if result, ok := t.cat.State.Result(m.id); ok {
		m.reply <- result
		return true
	}
	s := t.stream(streamlog.CatalogueStream)
	if s.replica.Known() && s.replica.Next() >= m.until {
		m.reply <- nil
		return true
	}
	return m.ctx.Err() != nil
}

// replyToWaiters replies to all waiters that can get a reply now and drops them.
func (t *task) replyToWaiters() {
	kept := t.waiters[:0]
	for _, m := range t.waiters {
		if !t.replyIfDecided(m) {
			kept = append(kept, m)
		}
	}
	clear(t.waiters[len(kept):])
	t.waiters = kept
}

// resultLookup is the message of Control.Result.
type resultLookup struct {
	id    []byte
	reply chan<- *pb.ChangeResult
}

func (resultLookup) kind() Kind { return KindSubmit }

func (m resultLookup) handle(t *task) {
	result, _ := t.cat.State.Result(bytes.Clone(m.id))
	m.reply <- result
}
