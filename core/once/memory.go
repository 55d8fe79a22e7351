package once

// responseQueue lists records with a response, oldest first. Records that were
// dropped, or whose response was evicted, stay in it until they reach the front
// or the queue is compacted.
type responseQueue struct {
	records []*record
	head    int
}

// minSpareCapacity is the minimum spare capacity of a queue after compaction.
const minSpareCapacity = 64

// push appends a record.
func (q *responseQueue) push(r *record) {
	if len(q.records) == cap(q.records) {
		q.compact()
	}
	q.records = append(q.records, r)
}

// compact removes all records without a response. Without it, a record with a
// long retention at the front would keep the dropped records behind it in
// memory.
func (q *responseQueue) compact() {
	live := 0
	for _, r := range q.records[q.head:] {
		if !r.hasNoResponse() {
			live++
		}
	}
	compacted := make([]*record, 0, 2*live+minSpareCapacity)
	for _, r := range q.records[q.head:] {
		if !r.hasNoResponse() {
			compacted = append(compacted, r)
		}
	}
	q.records = compacted
	q.head = 0
}

// first returns the oldest record that still has a response, or nil.
func (q *responseQueue) first() *record {
	q.trim()
	if q.head == len(q.records) {
		return nil
	}
	return q.records[q.head]
}

// trim removes records without a response from the front.
func (q *responseQueue) trim() {
	for q.head < len(q.records) && q.records[q.head].hasNoResponse() {
		q.records[q.head] = nil
		q.head++
	}
}

// hasNoResponse reports whether the record was dropped or has no response that
// could be evicted.
func (r *record) hasNoResponse() bool { return r.dropped || r.result.responseBytes() == 0 }

// chargeResponse adds the response of a final record to the memory charge.
func (t *Table) chargeResponse(r *record) {
	size := r.result.responseBytes()
	if size == 0 {
		return
	}
	t.bytes += size
	t.totalResponseBytes += size
	t.responses.push(r)
}

// release subtracts a dropped record and its response from the memory charge.
func (t *Table) release(r *record) {
	size := r.result.responseBytes()
	t.bytes -= recordBytes + size
	t.totalResponseBytes -= size
}

// evictResponse evicts the oldest response. The outcome and status of its key
// are kept.
func (t *Table) evictResponse() {
	r := t.responses.first()
	size := r.result.responseBytes()
	without := r.result.withoutResponse()
	r.result = &without
	t.bytes -= size
	t.totalResponseBytes -= size
}

// fits reports whether need more bytes are within the memory limit.
func (t *Table) fits(need int64) bool { return t.bytes+need <= t.config.MaxBytes }

// responseQuota returns the memory up to which responses are kept in preference
// to old records.
func (t *Table) responseQuota() int64 { return t.config.MaxBytes / responseQuotaDivisor }

// ensureSpace reports whether need bytes fit, after evicting what the package
// comment permits if necessary. It never evicts a running record, or a record
// whose operation may have run and whose key is younger than the minimum
// eviction age.
func (t *Table) ensureSpace(at, need int64) bool {
	if t.fits(need) {
		return true
	}
	t.expire(at)
	t.evictResponses(need, t.responseQuota())
	t.evictNotRun(need)
	t.evictOldRecords(at, need)
	t.evictResponses(need, 0)
	return t.fits(need)
}

// ensureSpaceForResponse is like ensureSpace, but for a response. A response
// larger than the response quota is stored only if nothing needs to be evicted
// for it.
func (t *Table) ensureSpaceForResponse(at, size int64) bool {
	if t.fits(size) {
		return true
	}
	if size > t.responseQuota() {
		return false
	}
	return t.ensureSpace(at, size)
}

// ensureSpaceForChunk is like ensureSpace, but for a chunk of a handover. It
// evicts no record whose operation may have run, because another successor may
// have free memory. If the chunk does not fit even so, it evicts nothing.
func (t *Table) ensureSpaceForChunk(at, need int64) bool {
	if t.fits(need) {
		return true
	}
	t.expire(at)
	droppable := max(t.totalResponseBytes-t.responseQuota(), 0) + int64(len(t.own.notRun))*recordBytes
	if !t.fits(need - droppable) {
		return false
	}
	t.evictResponses(need, t.responseQuota())
	t.evictNotRun(need)
	return true
}

// evictResponses evicts responses, oldest first, until need bytes fit or the
// responses occupy at most keep bytes.
func (t *Table) evictResponses(need, keep int64) {
	for !t.fits(need) && t.totalResponseBytes > keep {
		t.evictResponse()
	}
}

// evictNotRun evicts refusals of the table's own ledger until need bytes fit or
// none are left.
func (t *Table) evictNotRun(need int64) {
	for !t.fits(need) && len(t.own.notRun) > 0 {
		t.release(t.own.dropNotRun())
	}
}

// evictOldRecords evicts possibly run records in order of expiry until need
// bytes fit or the next key is younger than the minimum eviction age.
func (t *Table) evictOldRecords(at, need int64) {
	for !t.fits(need) {
		l := t.ledgerExpiringFirst()
		if l == nil || l.possiblyRun[0].id.issued > at-int64(t.config.MinEvictionAge) {
			return
		}
		t.release(l.evictPossiblyRun())
	}
}

// ledgerExpiringFirst returns the ledger whose possibly run records contain the
// one that expires first, or nil if there are no such records.
func (t *Table) ledgerExpiringFirst() *ledger {
	var first *ledger
	if len(t.own.possiblyRun) > 0 {
		first = t.own
	}
	for _, executor := range t.adoptionOrder {
		l := t.adopted[executor]
		if len(l.possiblyRun) == 0 {
			continue
		}
		if first == nil || l.possiblyRun[0].expiresAt < first.possiblyRun[0].expiresAt {
			first = l
		}
	}
	return first
}
