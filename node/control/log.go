package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/membership"
	"github.com/primrosemount/primrosemount/core/spread"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/streamlog"
	"github.com/primrosemount/primrosemount/telemetry"
)

const (
	// readLimit is the number of records of one read.
	readLimit = 256
	// maxReadBackoff bounds the wait after failed reads, so that a change takes
	// effect within seconds after the log is back.
	maxReadBackoff = 4 * time.Second
	// appendBackoff is the wait after a refused append of registrations.
	appendBackoff = 2 * time.Second
	// minCheckpointGap is the shortest time between two checkpoints that one
	// node writes to one stream.
	minCheckpointGap = time.Minute
)

// pollLog starts the reads that are due.
func (t *task) pollLog(now time.Time) {
	for _, s := range t.streams {
		if !s.reading && !now.Before(s.readAt) && !t.leavesLogAlone(s, now) {
			t.read(s)
		}
	}
}

func (t *task) read(s *stream) {
	s.reading = true
	from := s.replica.NextReadOffset()
	log, timeout := t.cfg.Log, t.cfg.Intervals.LogTimeout
	t.spawn(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		batch, err := log.Read(ctx, s.name, from, readLimit)
		return readDone{s, from, batch, err}
	})
}

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
		s.failed++
		s.readAt = now.Add(t.jitter(backoff(t.cfg.Intervals.Poll, s.failed, maxReadBackoff)))
		return
	}
	s.failed = 0
	t.fold(m)
	s.readAt = now.Add(t.nextRead(s))
}

func (t *task) countRead(m readDone) {
	in := 0
	for _, r := range m.batch.Records {
		in += len(r.Data)
	}
	t.c.stats.message(KindLogRead, in, 0, m.err)
}

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

func (t *task) fold(m readDone) {
	records := make([]spread.Record, len(m.batch.Records))
	for i, r := range m.batch.Records {
		records[i] = spread.Record{Offset: r.Offset, Data: r.Data}
	}
	r := m.s.replica
	before, known := r.Next(), r.Known()
	moved, err := r.ApplyLogRead(m.from, records, m.batch.Earliest, m.batch.Next)
	t.warn(m.s, err)
	if moved || r.Known() != known {
		t.moved(m.s, before, known && moved)
	}
}

// warn logs the fault of a read when it is new.
func (t *task) warn(s *stream, err error) {
	if err == nil {
		s.warned = ""
		return
	}
	if s.warned == err.Error() {
		return
	}
	s.warned = err.Error()
	t.logger.Warn("control: the records of the log do not suffice", telemetry.ErrorField(err))
}

// nextRead returns the time until the next read of a stream.
func (t *task) nextRead(s *stream) time.Duration {
	if s.replica.NextReadOffset() < s.replica.LogEnd() {
		return 0
	}
	if t.reader || !s.replica.Known() || t.awaits(s) {
		return t.jitter(t.cfg.Intervals.Poll)
	}
	background := time.Duration(t.members().Len()) * t.cfg.Intervals.BackgroundPoll
	return t.jitter(max(background, t.cfg.Intervals.MinBackgroundPoll))
}

// awaits tells whether someone waits for records of the stream.
func (t *task) awaits(s *stream) bool {
	if s.name == streamlog.CatalogueStream {
		return len(t.waiters) > 0
	}
	return len(t.leaving) > 0
}

func backoff(base time.Duration, failures int, limit time.Duration) time.Duration {
	return min(base<<min(failures, 16), limit)
}

// appendDue appends the next batch of registrations.
func (t *task) appendDue(now time.Time) {
	if t.appending || now.Before(t.appendAt) {
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

type registrationsAppended struct {
	batch []*pb.MembersRecord
	err   error
}

func (registrationsAppended) kind() Kind { return KindLogAppend }

// handle queues refused registrations again. Those of a lost answer are left
// to their nodes, which repeat what the fold does not show.
func (m registrationsAppended) handle(t *task) {
	t.appending = false
	now := time.Now()
	if m.err == nil {
		t.stream(streamlog.MembersStream).readAt = now
		return
	}
	t.appendAt = now.Add(t.jitter(appendBackoff))
	t.logger.Warn("control: append of registrations", telemetry.ErrorField(m.err))
	if !errors.Is(m.err, streamlog.ErrRefused) {
		return
	}
	for _, record := range m.batch {
		t.batcher.Add(record)
	}
}

// checkpointDue writes checkpoints. Readers take turns in an order that the
// position determines; a late or second checkpoint does no harm.
func (t *task) checkpointDue(now time.Time) {
	for _, s := range t.streams {
		if !t.isDue(s, now) {
			s.dueSince = time.Time{}
			continue
		}
		if s.dueSince.IsZero() {
			s.dueSince = now
		}
		if t.reader && !s.checkpointing && !t.logDown && t.myTurn(s, now) {
			t.writeCheckpoint(s, now)
		}
	}
}

func (t *task) isDue(s *stream, now time.Time) bool {
	covered, _, ok := s.replica.BestCheckpoint()
	if ok && (covered != s.covered || s.coveredAt.IsZero()) {
		s.covered = covered
		s.coveredAt = now
	}
	if s.coveredAt.IsZero() {
		s.coveredAt = now
	}
	behind, urgent := s.replica.CheckpointDue()
	old := behind > 0 && now.Sub(s.coveredAt) >= t.cfg.Intervals.Checkpoint
	return urgent || old || behind >= spread.CheckpointRecords
}

func (t *task) myTurn(s *stream, now time.Time) bool {
	if !s.writtenAt.IsZero() && now.Sub(s.writtenAt) < minCheckpointGap {
		return false
	}
	turn := s.covered
	rank := spread.CheckpointRank(t.members(), s.name, turn, t.self.GetIncarnation())
	if rank < 0 {
		rank = spread.ReadersPerZone
	}
	return now.Sub(s.dueSince) >= time.Duration(rank)*t.cfg.Intervals.CheckpointStagger
}

func (t *task) writeCheckpoint(s *stream, now time.Time) {
	s.checkpointing = true
	s.writtenAt = now
	t.append(s.name, s.replica.CheckpointRecord(), func(err error) message {
		return checkpointAppended{s, err}
	})
}

type checkpointAppended struct {
	s   *stream
	err error
}

func (checkpointAppended) kind() Kind { return KindLogAppend }

func (m checkpointAppended) handle(t *task) {
	m.s.checkpointing = false
	if m.err != nil {
		t.logger.Warn("control: append of a checkpoint", zap.String("stream", m.s.name), telemetry.ErrorField(m.err))
	}
}
