package once

// answerQueue lists records with an answer, oldest first. Records that were
// dropped or lost their answer stay in it until they come first.
type answerQueue struct {
	records []*record
	head    int
}

// minQueue is the least number of places for further records after a queue was
// compacted.
const minQueue = 64

func (q *answerQueue) push(r *record) {
	if len(q.records) == cap(q.records) {
		q.compact()
	}
	q.records = append(q.records, r)
}

// compact removes all records without an answer, so that a record with a long
// retention at the front does not keep the dropped ones behind it in memory.
func (q *answerQueue) compact() {
	live := 0
	for _, r := range q.records[q.head:] {
		if !r.stale() {
			live++
		}
	}
	compacted := make([]*record, 0, 2*live+minQueue)
	for _, r := range q.records[q.head:] {
		if !r.stale() {
			compacted = append(compacted, r)
		}
	}
	q.records = compacted
	q.head = 0
}

// first returns the oldest record that still has an answer, or nil.
func (q *answerQueue) first() *record {
	q.trim()
	if q.head == len(q.records) {
		return nil
	}
	return q.records[q.head]
}

// trim removes records without an answer from the front.
func (q *answerQueue) trim() {
	for q.head < len(q.records) && q.records[q.head].stale() {
		q.records[q.head] = nil
		q.head++
	}
}

// stale reports that the record has no answer that could be dropped.
func (r *record) stale() bool { return r.dropped || r.result.answerBytes() == 0 }

// holdAnswer charges the answer of a record that has become final.
func (t *Table) holdAnswer(r *record) {
	size := r.result.answerBytes()
	if size == 0 {
		return
	}
	t.bytes += size
	t.answers += size
	t.answered.push(r)
}

// release returns the charge of a dropped record.
func (t *Table) release(r *record) {
	size := r.result.answerBytes()
	t.bytes -= recordBytes + size
	t.answers -= size
}

// dropAnswer drops the oldest answer; outcome and status of its key stay.
func (t *Table) dropAnswer() {
	r := t.answered.first()
	size := r.result.answerBytes()
	without := r.result.withoutAnswer()
	r.result = &without
	t.bytes -= size
	t.answers -= size
}

func (t *Table) fits(need int64) bool { return t.bytes+need <= t.config.MaxBytes }

// guaranteed is the memory up to which answers have precedence over old
// records.
func (t *Table) guaranteed() int64 { return t.config.MaxBytes / answerShare }

// makeRoom reports whether need bytes fit, after it has dropped what the
// package comment allows. It never drops a running record, or a record that
// may have run and whose key is younger than the protected age.
func (t *Table) makeRoom(at, need int64) bool {
	if t.fits(need) {
		return true
	}
	t.expire(at)
	t.dropAnswers(need, t.guaranteed())
	t.dropRefusals(need)
	t.dropOldRecords(at, need)
	t.dropAnswers(need, 0)
	return t.fits(need)
}

// makeRoomForAnswer does the same for an answer. An answer above the guaranteed
// share is kept only if there is room without dropping anything.
func (t *Table) makeRoomForAnswer(at, size int64) bool {
	if t.fits(size) {
		return true
	}
	if size > t.guaranteed() {
		return false
	}
	return t.makeRoom(at, size)
}

// makeRoomForChunk does the same for a chunk of a handover, but drops no record
// that may have run, because another successor may have room. It drops nothing
// if the chunk does not fit in the end.
func (t *Table) makeRoomForChunk(at, need int64) bool {
	if t.fits(need) {
		return true
	}
	t.expire(at)
	droppable := max(t.answers-t.guaranteed(), 0) + int64(len(t.own.refused))*recordBytes
	if !t.fits(need - droppable) {
		return false
	}
	t.dropAnswers(need, t.guaranteed())
	t.dropRefusals(need)
	return true
}

// dropAnswers drops answers, oldest first, until need bytes fit or the answers
// occupy no more than keep.
func (t *Table) dropAnswers(need, keep int64) {
	for !t.fits(need) && t.answers > keep {
		t.dropAnswer()
	}
}

func (t *Table) dropRefusals(need int64) {
	for !t.fits(need) && len(t.own.refused) > 0 {
		t.release(t.own.dropRefused())
	}
}

// dropOldRecords drops records whose keys are older than the protected age,
// those that are due first.
func (t *Table) dropOldRecords(at, need int64) {
	for !t.fits(need) {
		l := t.ledgerDueFirst()
		if l == nil || l.kept[0].id.issued > at-int64(t.config.MinEvictionAge) {
			return
		}
		t.release(l.dropKeptEarly())
	}
}

// ledgerDueFirst returns the ledger whose first kept record is due before those
// of the others, or nil.
func (t *Table) ledgerDueFirst() *ledger {
	var first *ledger
	if len(t.own.kept) > 0 {
		first = t.own
	}
	for _, executor := range t.order {
		l := t.adopted[executor]
		if len(l.kept) == 0 {
			continue
		}
		if first == nil || l.kept[0].until < first.kept[0].until {
			first = l
		}
	}
	return first
}
