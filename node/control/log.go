package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/membership"
	"github.com/primrosemount/primrosemount/core/spread"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/streamlog"
	"github.com/primrosemount/primrosemount/telemetry"
)

const (
	// maxReadRecords is the maximum number of records returned by one read.
	maxReadRecords = 256
	// maxReadBackoff is the maximum delay of the next read after failed ones. It is
	// short, so that a change takes effect within seconds after the log has
	// recovered.
	maxReadBackoff = 4 * time.Second
	// appendBackoff is the delay of the next append of registrations after a
	// failed one.
	appendBackoff = 2 * time.Second
	// minCheckpointInterval is the minimum time between two checkpoints that one
	// node writes to one stream.
	minCheckpointInterval = time.Minute
)

// pollLog starts the reads that are due.
func (t *task) pollLog(now time.Time) {
	for _, s := range t.streams {
		if !s.reading && !now.Before(s.nextReadAt) && !t.defersLogRead(s, now) {
			t.read(s)
		}
	}
}

// read starts a read of a stream.
func (t *task) read(s *stream) {
	s.reading = true
	from := s.replica.NextReadOffset()
	log, timeout := t.cfg.Log, t.cfg.Intervals.LogTimeout
	t.spawn(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		batch, err := log.Read(ctx, s.name, from, maxReadRecords)
		return readDone{s, from, batch, err}
	})
}

// readDone is the result of a read of the log.
type readDone struct {
	s     *stream
	from  uint64
	batch streamlog.Batch
	err   error
}

func (readDone) kind() Kind { return KindLogRead }

func (m readDone) handle(t *task) {
	now := time.Now()
	s := m.s
	s.reading = false
	t.countRead(m)
	t.setLogDown(m.err)
	if m.err != nil {
		s.failures++
		s.nextReadAt = now.Add(t.jitter(backoff(t.cfg.Intervals.Poll, s.failures, maxReadBackoff)))
		return
	}
	s.failures = 0
	t.applyRead(m)
	s.nextReadAt = now.Add(t.readInterval(s))
}

func (t *task) countRead(m readDone) {
	in := 0
	for _, r := range m.batch.Records {
		in += len(r.Data)
	}
	t.c.stats.message(KindLogRead, in, 0, m.err)
}

// setLogDown updates the state of the log after a read and logs a change of it.
func (t *task) setLogDown(err error) {
	down := err != nil
	if down == t.logDown {
		return
	}
	t.logDown = down
	t.dirty = true
	if down {
		t.logger.Warn("control: the log does not answer", telemetry.ErrorField(err))
		return
	}
	t.logger.Info("control: the log answers again")
}

// applyRead applies the result of a read to the replica.
func (t *task) applyRead(m readDone) {
	records := make([]spread.Record, len(m.batch.Records))
	for i, r := range m.batch.Records {
		records[i] = spread.Record{Offset: r.Offset, Data: r.Data}
	}
	r := m.s.replica
	before, known := r.Next(), r.Known()
	eraBefore := r.Era()
	advanced, err := r.ApplyLogRead(m.from, records, m.batch.Earliest, m.batch.Next, m.batch.Era)
	t.logReadError(m.s, err)
	t.dirty = t.dirty || r.Era() != eraBefore
	if r.Era() != eraBefore && eraBefore != era.Unknown {
		t.logger.Warn("control: the log has returned from a copy and has all records again", zap.String("stream", m.s.name),
			zap.Stringer("era", r.Era()), zap.Stringer("before", eraBefore))
	}
	t.restoreLost(m.s)
	if advanced || r.Known() != known {
		t.advanced(m.s, before, known && advanced)
	}
}

// restoreLost appends the records that the log has lost at their offsets.
func (t *task) restoreLost(s *stream) {
	records, end := s.replica.LostRecords()
	if len(records) == 0 || s.restoring {
		return
	}
	s.restoring = true
	size := 0
	for _, record := range records {
		size += len(record)
	}
	log, timeout := t.cfg.Log, t.cfg.Intervals.LogTimeout
	t.spawn(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		err := log.AppendAt(ctx, s.name, records, end)
		t.c.stats.message(KindLogAppend, 0, size, err)
		return lostRestored{s, len(records), end, err}
	})
}

// lostRestored is the result of appending records that the log had lost.
type lostRestored struct {
	s       *stream
	records int
	end     uint64
	err     error
}

func (lostRestored) kind() Kind { return KindLogAppend }

func (m lostRestored) handle(t *task) {
	m.s.restoring = false
	m.s.nextReadAt = time.Now()
	fields := []zap.Field{zap.String("stream", m.s.name), zap.Int("records", m.records), zap.Uint64("from", m.end)}
	if m.err != nil {
		// Another node was first, or the next read shows that something else was
		// appended.
		t.logger.Info("control: the records that the log has lost were not appended", append(fields, telemetry.ErrorField(m.err))...)
		return
	}
	t.logger.Warn("control: the records that the log has lost were appended again", fields...)
}

// logReadError logs an error in applying a read, unless it is the same as that of
// the previous read of the stream.
func (t *task) logReadError(s *stream, err error) {
	if err == nil {
		s.lastReadError = ""
		return
	}
	if s.lastReadError == err.Error() {
		return
	}
	s.lastReadError = err.Error()
	t.logger.Warn("control: the replica could not be advanced with the records of the log", telemetry.ErrorField(err))
}

// readInterval returns the time until the next read of a stream: 0 while the log
// is known to hold more records, and longer for a node that only reads in case all
// readers have failed.
func (t *task) readInterval(s *stream) time.Duration {
	if s.replica.NextReadOffset() < s.replica.LogEnd() {
		return 0
	}
	if t.reader || !s.replica.Known() || t.hasWaiters(s) {
		return t.jitter(t.cfg.Intervals.Poll)
	}
	background := time.Duration(t.members().Len()) * t.cfg.Intervals.BackgroundPoll
	return t.jitter(max(background, t.cfg.Intervals.MinBackgroundPoll))
}

// hasWaiters reports whether a call of Submit or Leave waits for a record of the
// stream.
func (t *task) hasWaiters(s *stream) bool {
	if s.name == streamlog.CatalogueStream {
		return len(t.waiters) > 0
	}
	return len(t.leaveWaiters) > 0
}

// backoff returns the exponential delay after a number of consecutive failures.
func backoff(base time.Duration, failures int, limit time.Duration) time.Duration {
	return min(base<<min(failures, 16), limit)
}

// appendIfDue appends the next batch of registrations if it is time.
func (t *task) appendIfDue(now time.Time) {
	if t.appending || now.Before(t.nextAppendAt) || t.logDown || t.stream(streamlog.MembersStream).replica.Verifying() {
		// After an outage the log may have returned from a copy, which a read shows.
		return
	}
	batch := t.batcher.TakeBatch(now)
	if batch == nil {
		return
	}
	t.appending = true
	t.append(streamlog.MembersStream, membership.BatchRecord(batch), func(err error) message {
		return registrationsAppended{batch, err}
	})
}

// append starts an append to the named stream. The function done turns its error
// into the message for the task.
func (t *task) append(name string, record []byte, done func(error) message) {
	log, timeout := t.cfg.Log, t.cfg.Intervals.LogTimeout
	t.spawn(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, err := log.Append(ctx, name, record)
		t.c.stats.message(KindLogAppend, 0, len(record), err)
		return done(err)
	})
}

// registrationsAppended is the result of an append of registrations.
type registrationsAppended struct {
	batch []*pb.MembersRecord
	err   error
}

func (registrationsAppended) kind() Kind { return KindLogAppend }

// handle queues registrations again if the log refused them. If the result of the
// append is unknown it does not, because the nodes concerned send registrations
// again that the member table does not show.
func (m registrationsAppended) handle(t *task) {
	t.appending = false
	now := time.Now()
	if m.err == nil {
		t.stream(streamlog.MembersStream).nextReadAt = now
		return
	}
	t.nextAppendAt = now.Add(t.jitter(appendBackoff))
	t.logger.Warn("control: the append of registrations failed", telemetry.ErrorField(m.err))
	if !errors.Is(m.err, streamlog.ErrRefused) {
		return
	}
	for _, record := range m.batch {
		t.batcher.Add(record)
	}
}

// checkpointIfDue starts the checkpoints that are due. The readers write in an
// order that depends on the previous checkpoint; see spread.CheckpointRank. A late
// or duplicate checkpoint is harmless.
func (t *task) checkpointIfDue(now time.Time) {
	for _, s := range t.streams {
		if !t.isCheckpointDue(s, now) {
			s.checkpointDueSince = time.Time{}
			continue
		}
		if s.checkpointDueSince.IsZero() {
			s.checkpointDueSince = now
		}
		if t.reader && !s.checkpointing && !t.logDown && !s.replica.Verifying() && t.mayWriteCheckpoint(s, now) {
			t.writeCheckpoint(s, now)
		}
	}
}

// isCheckpointDue reports whether a stream needs a new checkpoint: a starting
// reader would not find a usable one, the best one is older than
// Intervals.Checkpoint and records follow it, or too many records follow it.
func (t *task) isCheckpointDue(s *stream, now time.Time) bool {
	checkpointOffset, _, ok := s.replica.BestCheckpoint()
	if ok && (checkpointOffset != s.checkpointOffset || s.checkpointSeenAt.IsZero()) {
		s.checkpointOffset = checkpointOffset
		s.checkpointSeenAt = now
	}
	if s.checkpointSeenAt.IsZero() {
		s.checkpointSeenAt = now
	}
	behind, urgent := s.replica.CheckpointDue()
	overdue := behind > 0 && now.Sub(s.checkpointSeenAt) >= t.cfg.Intervals.Checkpoint
	return urgent || overdue || behind >= spread.CheckpointRecords
}

// mayWriteCheckpoint reports whether it is the turn of this node to write a
// checkpoint that is due. A node that the member table does not show as a reader
// comes after the readers of one zone.
func (t *task) mayWriteCheckpoint(s *stream, now time.Time) bool {
	if !s.checkpointWrittenAt.IsZero() && now.Sub(s.checkpointWrittenAt) < minCheckpointInterval {
		return false
	}
	turn := s.checkpointOffset
	rank := spread.CheckpointRank(t.members(), s.name, turn, t.self.GetIncarnation())
	if rank < 0 {
		rank = spread.ReadersPerZone
	}
	return now.Sub(s.checkpointDueSince) >= time.Duration(rank)*t.cfg.Intervals.CheckpointStagger
}

func (t *task) writeCheckpoint(s *stream, now time.Time) {
	s.checkpointing = true
	s.checkpointWrittenAt = now
	t.append(s.name, s.replica.CheckpointRecord(), func(err error) message {
		return checkpointAppended{s, err}
	})
}

// checkpointAppended is the result of an append of a checkpoint.
type checkpointAppended struct {
	s   *stream
	err error
}

func (checkpointAppended) kind() Kind { return KindLogAppend }

func (m checkpointAppended) handle(t *task) {
	m.s.checkpointing = false
	if m.err != nil {
		t.logger.Warn("control: the append of a checkpoint failed", zap.String("stream", m.s.name), telemetry.ErrorField(m.err))
	}
}
