package once

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"math"
	"slices"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// id is the part of a key that distinguishes the keys of one ledger.
type id struct {
	// issued is in nanoseconds since 1970.
	issued int64
	random [RandomBytes]byte
}

func idOf(k Key) id { return id{issued: k.Issued.UnixNano(), random: k.Random} }

func compareIDs(a, b id) int {
	if c := cmp.Compare(a.issued, b.issued); c != 0 {
		return c
	}
	return slices.Compare(a.random[:], b.random[:])
}

// record is the state of one key.
type record struct {
	id          id
	fingerprint Fingerprint
	// expiresAt is the time from which the record may be dropped, in
	// nanoseconds since 1970. While the operation runs, it holds the requested
	// retention instead.
	expiresAt int64
	running   bool
	// dropped is set when the record has been removed from its ledger.
	dropped bool
	// result points to a value that is replaced but never modified, because
	// earlier decisions share it.
	result *Result
}

// ledger holds the records of one incarnation: either that of the table itself,
// or one that the table adopted. A closed ledger cannot start a key.
type ledger struct {
	executor uint64
	records  map[id]*record
	// possiblyRun and notRun hold the final records in order of expiry:
	// possiblyRun those with outcome completed or unknown, notRun the refusals.
	possiblyRun, notRun expiryHeap
	// startFloor and droppedUpTo are the watermarks described in the package
	// comment, in nanoseconds since 1970.
	startFloor, droppedUpTo int64
	closed                  bool
	// adoption is nil for the ledger of the table itself.
	adoption *adoption
	// exportChunks is the assignment of records to handover chunks; it is nil
	// before the first export.
	exportChunks [][]*record
}

func newLedger(executor uint64) *ledger {
	return &ledger{
		executor:    executor,
		records:     make(map[id]*record),
		startFloor:  math.MinInt64,
		droppedUpTo: math.MinInt64,
	}
}

// complete reports whether the absence of a key from the ledger proves that the
// key never ran.
func (l *ledger) complete() bool { return l.adoption == nil || l.adoption.complete() }

// addFinal adds a final record to the expiry order.
func (l *ledger) addFinal(r *record) {
	if r.result.Outcome == outcome.NotRun {
		heap.Push(&l.notRun, r)
		return
	}
	heap.Push(&l.possiblyRun, r)
}

// dropPossiblyRun removes the record in possiblyRun that expires first.
func (l *ledger) dropPossiblyRun() *record {
	r := heap.Pop(&l.possiblyRun).(*record)
	r.dropped = true
	delete(l.records, r.id)
	l.droppedUpTo = max(l.droppedUpTo, r.id.issued)
	return r
}

// evictPossiblyRun removes a record before its expiry, namely the one in
// possiblyRun that expires first. Its key may be younger than the start window,
// so the start floor rises too: only the watermarks prevent the key from
// starting again.
func (l *ledger) evictPossiblyRun() *record {
	r := l.dropPossiblyRun()
	l.startFloor = max(l.startFloor, r.id.issued)
	return r
}

// dropNotRun removes the refusal that expires first and raises the start floor,
// so that its key still cannot start.
func (l *ledger) dropNotRun() *record {
	r := heap.Pop(&l.notRun).(*record)
	r.dropped = true
	delete(l.records, r.id)
	l.startFloor = max(l.startFloor, r.id.issued)
	return r
}

// mayHaveRun returns all records except those with outcome not run, ordered by
// id.
func (l *ledger) mayHaveRun() []*record {
	out := make([]*record, 0, len(l.possiblyRun))
	for _, r := range l.records {
		if r.running || r.result.Outcome != outcome.NotRun {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int { return compareIDs(a.id, b.id) })
	return out
}

// expiryHeap implements heap.Interface. The record that expires first is at
// index 0.
type expiryHeap []*record

func (h expiryHeap) Len() int { return len(h) }

// Less breaks ties by the random part of the key, so that the order is the same
// in every run with the same input.
func (h expiryHeap) Less(i, j int) bool {
	if h[i].expiresAt != h[j].expiresAt {
		return h[i].expiresAt < h[j].expiresAt
	}
	return binary.BigEndian.Uint64(h[i].id.random[:]) < binary.BigEndian.Uint64(h[j].id.random[:])
}

func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*record)) }

func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
