package once

import (
	"fmt"
	"iter"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// MaxChunks bounds the number of chunks of one handed-over table.
	MaxChunks = 1 << 16
	// chunkBytes is what a table is charged with for each chunk that it received.
	chunkBytes = 64
)

// adoption is the progress of a handover from another incarnation.
type adoption struct {
	chunks map[uint32]struct{}
	// last is the number of the last chunk; valid if lastKnown.
	last      uint32
	lastKnown bool
	// until is when the adoption may be forgotten if no record is left, in
	// nanoseconds since 1970.
	until int64
}

func (a *adoption) complete() bool {
	return a.lastKnown && len(a.chunks) == int(a.last)+1
}

// Export returns the handover messages of the table and of the tables that it
// adopted, in the order in which they are to be sent. It yields nothing if the
// table is not closed. Keys that still run become unknown for good: Finish
// returns false for them afterwards.
//
// The first call fixes which record is in which chunk. A later call, to the
// same or to another successor, yields the same chunks with less remaining
// time, so chunks of an interrupted and of a repeated handover fit together.
//
// Refusals are not exported: a key that is absent from a complete table was
// never run. A record whose time has passed is exported with no remaining time,
// which tells the successor the watermark of dropped records.
func (t *Table) Export(now time.Time) iter.Seq[*pb.HandoverRequest] {
	at := t.advance(now)
	return func(yield func(*pb.HandoverRequest) bool) {
		if !t.own.closed {
			return
		}
		t.settleRunning(at)
		for _, l := range t.ledgers() {
			t.freeze(l)
			if !t.exportLedger(at, l, yield) {
				return
			}
		}
	}
}

// Adopt takes one chunk of the table of another incarnation of the same
// service. Chunks may arrive in any order and more than once. A chunk that is
// not accepted changes nothing. After the last missing chunk, the table answers
// for every key of that incarnation; before that, only for the keys with a
// record.
func (t *Table) Adopt(now time.Time, request *pb.HandoverRequest) *pb.HandoverResponse {
	at := t.advance(now)
	if detail := t.checkChunk(request); detail != "" {
		return &pb.HandoverResponse{Detail: detail}
	}
	l := t.adopted[request.GetIncarnation()]
	if l != nil && l.adoption.has(request.GetChunk()) {
		return &pb.HandoverResponse{Accepted: true}
	}
	records, detail := t.decodeChunk(at, request)
	if detail != "" {
		return &pb.HandoverResponse{Detail: detail}
	}
	if !t.makeRoomForChunk(at, chunkBytes+sizeOf(records)) {
		return &pb.HandoverResponse{Detail: "the at-most-once table of the successor is full; choose another successor"}
	}
	// Making room may have dropped an adoption that was due.
	l = t.adoptedLedger(request.GetIncarnation())
	t.insert(at, l, records)
	l.adoption.note(request, at+int64(t.config.StartWindow))
	t.bytes += chunkBytes
	return &pb.HandoverResponse{Accepted: true}
}

// Adopted reports whether the table has the whole table of an incarnation.
func (t *Table) Adopted(incarnation uint64) bool {
	l := t.adopted[incarnation]
	return l != nil && l.complete()
}

func (t *Table) ledgers() []*ledger {
	out := []*ledger{t.own}
	for _, executor := range t.order {
		out = append(out, t.adopted[executor])
	}
	return out
}

// settleRunning makes the keys that still run unknown.
func (t *Table) settleRunning(at int64) {
	if t.running == 0 {
		return
	}
	for _, r := range t.own.mayHaveRun() {
		if r.running {
			t.stopRunning(r)
			t.finish(at, t.own, r, Result{Outcome: outcome.Unknown, Reason: outcome.ExecutorGone})
		}
	}
}

// freeze assigns the records of a ledger to chunks.
func (t *Table) freeze(l *ledger) {
	if l.frozen != nil {
		return
	}
	l.frozen = [][]*record{l.marker()}
	var size int64
	for _, r := range l.mayHaveRun() {
		size += recordBytes + r.result.answerBytes()
		if size > t.config.ChunkBytes {
			l.frozen = append(l.frozen, nil)
			size = recordBytes + r.result.answerBytes()
		}
		last := len(l.frozen) - 1
		l.frozen[last] = append(l.frozen[last], r)
	}
}

// marker returns a record without remaining time that carries the watermark of
// dropped records, or nothing if no record was dropped.
func (l *ledger) marker() []*record {
	if l.forgotten < 0 {
		return nil
	}
	return []*record{{
		id:     id{issued: l.forgotten},
		result: &Result{Outcome: outcome.Unknown, Reason: outcome.KeyExpired},
	}}
}

func (t *Table) exportLedger(at int64, l *ledger, yield func(*pb.HandoverRequest) bool) bool {
	for i, records := range l.frozen {
		request := &pb.HandoverRequest{
			Service:     t.config.Service,
			Incarnation: l.executor,
			Chunk:       uint32(i),
			// A table that is incomplete here stays incomplete at the successor.
			Last: i == len(l.frozen)-1 && l.complete(),
		}
		for _, r := range records {
			request.Records = append(request.Records, t.encode(at, l, r))
		}
		if !yield(request) {
			return false
		}
	}
	return true
}

func (t *Table) encode(at int64, l *ledger, r *record) *pb.KeyRecord {
	key := Key{
		Service:  t.config.Service,
		Executor: l.executor,
		Issued:   time.Unix(0, r.id.issued),
		Random:   r.id.random,
	}
	out := &pb.KeyRecord{
		Key:            key.String(),
		Fingerprint:    r.fingerprint[:],
		Outcome:        r.result.Outcome.Proto(),
		Reason:         r.result.Reason.Proto(),
		Status:         r.result.Status,
		Headers:        r.result.Headers,
		Body:           r.result.Body,
		RemainingNanos: max(r.until-at, 0),
	}
	if r.result.BodyOmitted {
		out.Reason = outcome.TooLarge.Proto()
	}
	return out
}

// checkChunk returns why a chunk is not accepted, or nothing.
func (t *Table) checkChunk(request *pb.HandoverRequest) string {
	l := t.adopted[request.GetIncarnation()]
	switch {
	case t.own.closed:
		return "the successor is leaving itself; choose another successor"
	case request.GetService() != t.config.Service:
		return fmt.Sprintf("the successor serves %q; choose a successor of the same service", t.config.Service)
	case request.GetIncarnation() == t.own.executor:
		return "the table belongs to the successor itself; choose another successor"
	case request.GetChunk() >= MaxChunks:
		return fmt.Sprintf("the handover has more than %d chunks", MaxChunks)
	case l == nil && len(t.adopted) >= t.config.MaxAdopted:
		return fmt.Sprintf("the successor answers for %d incarnations already; choose another successor", t.config.MaxAdopted)
	case l != nil && !l.adoption.fits(request):
		return "the chunk does not fit the chunks received before"
	default:
		return ""
	}
}

// fits reports whether a chunk agrees with what is known about the last chunk.
func (a *adoption) fits(request *pb.HandoverRequest) bool {
	chunk := request.GetChunk()
	if a.lastKnown {
		return chunk <= a.last && request.GetLast() == (chunk == a.last)
	}
	if !request.GetLast() {
		return true
	}
	for received := range a.chunks {
		if received >= chunk {
			return false
		}
	}
	return true
}

func (a *adoption) has(chunk uint32) bool {
	_, ok := a.chunks[chunk]
	return ok
}

func (a *adoption) note(request *pb.HandoverRequest, until int64) {
	a.chunks[request.GetChunk()] = struct{}{}
	a.until = until
	if request.GetLast() {
		a.last = request.GetChunk()
		a.lastKnown = true
	}
}

// decodeChunk reads all records of a chunk or says why it can't.
func (t *Table) decodeChunk(at int64, request *pb.HandoverRequest) ([]*record, string) {
	records := make([]*record, 0, len(request.GetRecords()))
	for _, message := range request.GetRecords() {
		k, err := ParseKey(message.GetKey())
		if err != nil {
			return nil, err.Detail
		}
		if k.Executor != request.GetIncarnation() || k.Service != t.config.Service {
			return nil, "a record of the chunk belongs to another incarnation or service"
		}
		if len(message.GetFingerprint()) != len(Fingerprint{}) {
			return nil, "a record of the chunk has a fingerprint of the wrong length"
		}
		records = append(records, t.decode(at, k, message))
	}
	return records, ""
}

func (t *Table) decode(at int64, k Key, message *pb.KeyRecord) *record {
	longest := int64(t.config.StartWindow + t.config.MaxClockSkew + t.config.MaxRetention)
	remaining := min(max(message.GetRemainingNanos(), 0), longest)
	r := &record{id: idOf(k), until: at + remaining}
	copy(r.fingerprint[:], message.GetFingerprint())
	result := Result{
		Outcome: outcome.FromProto(message.GetOutcome()),
		Reason:  outcome.Reason(message.GetReason()),
	}
	if result.Outcome == outcome.Completed {
		result.Status = message.GetStatus()
		result.Headers = message.GetHeaders()
		result.Body = message.GetBody()
		result.BodyOmitted = result.Reason == outcome.TooLarge
		result.Reason = 0
	}
	if result.answerBytes() > t.config.MaxResponseBytes {
		result = result.withoutAnswer()
	}
	r.result = &result
	return r
}

func sizeOf(records []*record) int64 {
	var n int64
	for _, r := range records {
		n += recordBytes + r.result.answerBytes()
	}
	return n
}

func (t *Table) adoptedLedger(incarnation uint64) *ledger {
	if l := t.adopted[incarnation]; l != nil {
		return l
	}
	l := newLedger(incarnation)
	l.closed = true
	l.adoption = &adoption{chunks: make(map[uint32]struct{})}
	t.adopted[incarnation] = l
	t.order = append(t.order, incarnation)
	return l
}

func (t *Table) insert(at int64, l *ledger, records []*record) {
	for _, r := range records {
		if r.until <= at {
			l.skip(r)
			continue
		}
		if _, ok := l.records[r.id]; ok {
			continue
		}
		l.records[r.id] = r
		l.settle(r)
		t.bytes += recordBytes
		t.holdAnswer(r)
	}
}

// skip notes a record that is due on arrival.
func (l *ledger) skip(r *record) {
	if r.result.Outcome != outcome.NotRun {
		l.forgotten = max(l.forgotten, r.id.issued)
	}
}

// dropAdopted removes an adopted table that has no record left and whose keys
// are too old to be sent again. Its keys become unknown.
func (t *Table) dropAdopted(at int64, executor uint64) bool {
	l := t.adopted[executor]
	if len(l.records) > 0 || at < l.adoption.until {
		return false
	}
	delete(t.adopted, executor)
	t.bytes -= int64(len(l.adoption.chunks)) * chunkBytes
	return true
}
