package once

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"math"
	"slices"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// id is the part of a key that differs within one ledger.
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

// record is one entry of a ledger.
type record struct {
	id          id
	fingerprint Fingerprint
	// until is when the record may be dropped, in nanoseconds since 1970. While
	// the operation runs it is the retention that was asked for.
	until   int64
	running bool
	// dropped is true once the record is no longer in its ledger.
	dropped bool
	// result is replaced and never changed, because earlier decisions share it.
	result *Result
}

// ledger holds the records of one incarnation: the own one of a table, or one
// that it adopted. A ledger can't start a key once it is closed.
type ledger struct {
	executor uint64
	records  map[id]*record
	// kept orders the final records that may have run by until, refused those
	// that were not run.
	kept, refused untilHeap
	// floor and forgotten are the watermarks of the package comment, in
	// nanoseconds since 1970.
	floor, forgotten int64
	closed           bool
	// adoption is nil for the own ledger.
	adoption *adoption
	frozen   [][]*record
}

func newLedger(executor uint64) *ledger {
	return &ledger{
		executor:  executor,
		records:   make(map[id]*record),
		floor:     math.MinInt64,
		forgotten: math.MinInt64,
	}
}

// complete reports whether absence from the ledger proves anything.
func (l *ledger) complete() bool { return l.adoption == nil || l.adoption.complete() }

// settle puts a final record into the order in which records are dropped.
func (l *ledger) settle(r *record) {
	if r.result.Outcome == outcome.NotRun {
		heap.Push(&l.refused, r)
		return
	}
	heap.Push(&l.kept, r)
}

// dropKept removes the record that is due first.
func (l *ledger) dropKept() *record {
	r := heap.Pop(&l.kept).(*record)
	r.dropped = true
	delete(l.records, r.id)
	l.forgotten = max(l.forgotten, r.id.issued)
	return r
}

// dropKeptEarly removes the record that is due first before its time. Its key
// may be younger than the start window, so only the watermarks keep the key
// from starting again.
func (l *ledger) dropKeptEarly() *record {
	r := l.dropKept()
	l.floor = max(l.floor, r.id.issued)
	return r
}

// dropRefused removes the refusal that is due first and raises the floor, so
// that the key still can't start.
func (l *ledger) dropRefused() *record {
	r := heap.Pop(&l.refused).(*record)
	r.dropped = true
	delete(l.records, r.id)
	l.floor = max(l.floor, r.id.issued)
	return r
}

// mayHaveRun returns the records that did not end as not run, in the order of
// their ids.
func (l *ledger) mayHaveRun() []*record {
	out := make([]*record, 0, len(l.kept))
	for _, r := range l.records {
		if r.running || r.result.Outcome != outcome.NotRun {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int { return compareIDs(a.id, b.id) })
	return out
}

// untilHeap implements heap.Interface; the record that is due first is at 0.
type untilHeap []*record

func (h untilHeap) Len() int { return len(h) }

// Less breaks ties by the random part so that the order is the same in every
// run with the same input.
func (h untilHeap) Less(i, j int) bool {
	if h[i].until != h[j].until {
		return h[i].until < h[j].until
	}
	return binary.BigEndian.Uint64(h[i].id.random[:]) < binary.BigEndian.Uint64(h[j].id.random[:])
}

func (h untilHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *untilHeap) Push(x any) { *h = append(*h, x.(*record)) }

func (h *untilHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
