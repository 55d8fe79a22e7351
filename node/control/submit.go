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
	// refusedAttempts is the number of appends that the log may refuse because
	// of its rate before a change is refused.
	maxRefusedAppends = 4
	// refusedWait is the wait before the next of them.
	retryDelay = 250 * time.Millisecond
)

// Submit appends a change and returns what the fold decided about it. The same
// change may be submitted again with the same id. The error matches
// ErrInvalidChange, ErrLogDown or ErrLogRefused if this call has and will have
// no effect, and ErrUnsettled if it may have one; an earlier call with the same
// id is not covered. Without a deadline in ctx, Submit waits until the log has
// the answer.
func (c *Control) Submit(ctx context.Context, change *pb.Change) (*pb.ChangeResult, error) {
	if err := catalogue.ValidateChange(change); err != nil {
		return nil, withKind(ErrInvalidChange, err)
	}
	s := &submission{c: c, id: change.GetId(), record: catalogue.ChangeRecord(change)}
	return s.run(ctx)
}

// submission is one change on its way to the log.
type submission struct {
	c      *Control
	id     []byte
	record []byte
	// sent tells that an append may have taken effect.
	mayHaveEffect bool
	refusals      int
}

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

// earlier returns the result of an earlier submission with the same id. It
// needs the log to answer, so a change is refused at once while the log is down.
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

// attempt appends the change once and waits for its result. No result and no
// error mean that the change is to be appended again: the fold ignores the id
// if an earlier append takes effect later.
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

// wait waits before an append that the log refused is repeated.
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

// end reads the end of the stream, which shows as well that the log answers.
func (s *submission) end(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.c.cfg.Intervals.LogTimeout)
	defer cancel()
	from := s.c.Snapshot().CataloguePosition
	batch, err := s.c.cfg.Log.Read(ctx, streamlog.CatalogueStream, from, 1)
	s.c.stats.message(KindLogRead, 0, 0, err)
	return batch.Next, err
}

// settledEnd repeats end until the log answers or ctx ends.
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

// await waits until the fold has the result or has passed the offset until;
// the result is nil in the second case.
func (s *submission) awaitResult(ctx context.Context, until uint64) (*pb.ChangeResult, error) {
	reply := make(chan *pb.ChangeResult, 1)
	return call(ctx, s.c, &resultWaiter{ctx: ctx, id: s.id, until: until, reply: reply}, reply)
}

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

// answer replies to a waiter whose result is known or whose offset is reached.
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

type resultLookup struct {
	id    []byte
	reply chan<- *pb.ChangeResult
}

func (resultLookup) kind() Kind { return KindSubmit }

func (m resultLookup) handle(t *task) {
	result, _ := t.cat.State.Result(bytes.Clone(m.id))
	m.reply <- result
}
