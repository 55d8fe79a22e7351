package once

import (
	"fmt"
	"iter"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// MaxChunks is the maximum number of chunks of one handed-over table.
	MaxChunks = 1 << 16
	// chunkBytes is the memory charged to the table for each received chunk.
	chunkBytes = 64
)

// adoption records which chunks of another incarnation's table have been
// received.
type adoption struct {
	chunks map[uint32]struct{}
	// last is the number of the last chunk. It is valid only if lastKnown is
	// set.
	last      uint32
	lastKnown bool
	// expiresAt is the time from which the adopted table may be removed once it
	// has no records, in nanoseconds since 1970.
	expiresAt int64
}

// complete reports whether all chunks have been received.
func (a *adoption) complete() bool {
	return a.lastKnown && len(a.chunks) == int(a.last)+1
}

// Export returns the handover messages of the table and of the tables that it
// adopted, in the order in which they must be sent. It yields nothing unless
// the table is closed. Keys that are still running get the final outcome
// unknown; a later Finish returns false for them.
//
// The first call fixes the assignment of records to chunks. Later calls, for
// the same or for another successor, yield the same chunks with less remaining
// time, so that a successor can combine the chunks of an interrupted handover
// with those of a repeated one.
//
// Refusals are not exported: a key that is absent from a complete table never
// ran. An expired record is exported with no remaining time; it raises the
// dropped-up-to watermark of the successor.
func (t *Table) Export(now time.Time) iter.Seq[*pb.HandoverRequest] {
	at := t.advance(now)
	return func(yield func(*pb.HandoverRequest) bool) {
		if !t.own.closed {
			return
		}
		t.markRunningUnknown(at)
		for _, l := range t.ledgers() {
			t.assignChunks(l)
			if !t.exportLedger(at, l, yield) {
				return
			}
		}
	}
}

// Adopt takes over one chunk of the table of another incarnation of the same
// service. Chunks may arrive in any order and more than once. A chunk that is
// not accepted changes nothing. Until the last missing chunk has arrived, the
// table decides only about keys that have a record; afterward it decides about
// every key of that incarnation.
func (t *Table) Adopt(now time.Time, request *pb.HandoverRequest) *pb.HandoverResponse {
	at := t.advance(now)
	if detail := t.checkChunk(request); detail != "" {
		return &pb.HandoverResponse{Detail: detail}
	}
	l := t.adopted[request.GetIncarnation()]
	if l != nil && l.adoption.hasChunk(request.GetChunk()) {
		return &pb.HandoverResponse{Accepted: true}
	}
	records, detail := t.decodeChunk(at, request)
	if detail != "" {
		return &pb.HandoverResponse{Detail: detail}
	}
	if !t.ensureSpaceForChunk(at, chunkBytes+sizeOf(records)) {
		return &pb.HandoverResponse{Detail: "the at-most-once table of the successor is full; choose another successor"}
	}
	// Freeing memory may have removed an expired adoption.
	l = t.adoptedLedger(request.GetIncarnation())
	t.insert(at, l, records)
	l.adoption.addChunk(request, at+int64(t.config.StartWindow))
	t.bytes += chunkBytes
	return &pb.HandoverResponse{Accepted: true}
}

// Adopted reports whether the table has received the complete table of an
// incarnation.
func (t *Table) Adopted(incarnation uint64) bool {
	l := t.adopted[incarnation]
	return l != nil && l.complete()
}

// ledgers returns the table's own ledger, followed by the adopted ledgers in
// the order of adoption.
func (t *Table) ledgers() []*ledger {
	out := []*ledger{t.own}
	for _, executor := range t.adoptionOrder {
		out = append(out, t.adopted[executor])
	}
	return out
}

// markRunningUnknown gives all running keys the final outcome unknown.
func (t *Table) markRunningUnknown(at int64) {
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

// assignChunks distributes the records of a ledger over chunks, unless an
// earlier call has done so.
func (t *Table) assignChunks(l *ledger) {
	if l.exportChunks != nil {
		return
	}
	l.exportChunks = [][]*record{l.watermarkRecord()}
	var size int64
	for _, r := range l.mayHaveRun() {
		size += recordBytes + r.result.responseBytes()
		if size > t.config.ChunkBytes {
			l.exportChunks = append(l.exportChunks, nil)
			size = recordBytes + r.result.responseBytes()
		}
		last := len(l.exportChunks) - 1
		l.exportChunks[last] = append(l.exportChunks[last], r)
	}
}

// watermarkRecord returns a record without remaining time that carries the
// dropped-up-to watermark, or nil if no record was dropped.
func (l *ledger) watermarkRecord() []*record {
	if l.droppedUpTo < 0 {
		return nil
	}
	return []*record{{
		id:     id{issued: l.droppedUpTo},
		result: &Result{Outcome: outcome.Unknown, Reason: outcome.KeyExpired},
	}}
}

// exportLedger yields the chunks of one ledger. It returns false if yield did.
func (t *Table) exportLedger(at int64, l *ledger, yield func(*pb.HandoverRequest) bool) bool {
	for i, records := range l.exportChunks {
		request := &pb.HandoverRequest{
			Service:     t.config.Service,
			Incarnation: l.executor,
			Chunk:       uint32(i),
			// The last chunk of an incomplete table is not marked, so the table
			// stays incomplete at the successor.
			Last: i == len(l.exportChunks)-1 && l.complete(),
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
		RemainingNanos: max(r.expiresAt-at, 0),
	}
	if r.result.BodyOmitted {
		out.Reason = outcome.TooLarge.Proto()
	}
	return out
}

// checkChunk returns the reason why a chunk is not accepted, or "" if it is.
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

// fits reports whether a chunk is consistent with the chunks received so far
// and with the number of the last chunk, if that is known.
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

func (a *adoption) hasChunk(chunk uint32) bool {
	_, ok := a.chunks[chunk]
	return ok
}

func (a *adoption) addChunk(request *pb.HandoverRequest, expiresAt int64) {
	a.chunks[request.GetChunk()] = struct{}{}
	a.expiresAt = expiresAt
	if request.GetLast() {
		a.last = request.GetChunk()
		a.lastKnown = true
	}
}

// decodeChunk decodes all records of a chunk. If one is invalid, it returns the
// reason.
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

// decode converts a valid message into a record. It limits the remaining time
// and drops a response that is too large to store.
func (t *Table) decode(at int64, k Key, message *pb.KeyRecord) *record {
	maxRemaining := int64(t.config.StartWindow + t.config.MaxClockSkew + t.config.MaxRetention)
	remaining := min(max(message.GetRemainingNanos(), 0), maxRemaining)
	r := &record{id: idOf(k), expiresAt: at + remaining}
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
	if result.responseBytes() > t.config.MaxResponseBytes {
		result = result.withoutResponse()
	}
	r.result = &result
	return r
}

// sizeOf returns the memory charge of the records.
func sizeOf(records []*record) int64 {
	var n int64
	for _, r := range records {
		n += recordBytes + r.result.responseBytes()
	}
	return n
}

// adoptedLedger returns the ledger of an adopted incarnation and creates it if
// necessary.
func (t *Table) adoptedLedger(incarnation uint64) *ledger {
	if l := t.adopted[incarnation]; l != nil {
		return l
	}
	l := newLedger(incarnation)
	l.closed = true
	l.adoption = &adoption{chunks: make(map[uint32]struct{})}
	t.adopted[incarnation] = l
	t.adoptionOrder = append(t.adoptionOrder, incarnation)
	return l
}

// insert adds the records of a chunk, except those that have expired or that
// the ledger already has.
func (t *Table) insert(at int64, l *ledger, records []*record) {
	for _, r := range records {
		if r.expiresAt <= at {
			l.skipExpired(r)
			continue
		}
		if _, ok := l.records[r.id]; ok {
			continue
		}
		l.records[r.id] = r
		l.addFinal(r)
		t.bytes += recordBytes
		t.chargeResponse(r)
	}
}

// skipExpired updates the watermark for a record that had already expired when
// it was received.
func (l *ledger) skipExpired(r *record) {
	if r.result.Outcome != outcome.NotRun {
		l.droppedUpTo = max(l.droppedUpTo, r.id.issued)
	}
}

// removeExpiredAdoption removes an adopted table that has no records left and
// whose keys are too old to be retried. Its keys become unknown. It reports
// whether the table was removed.
func (t *Table) removeExpiredAdoption(at int64, executor uint64) bool {
	l := t.adopted[executor]
	if len(l.records) > 0 || at < l.adoption.expiresAt {
		return false
	}
	delete(t.adopted, executor)
	t.bytes -= int64(len(l.adoption.chunks)) * chunkBytes
	return true
}
