package membership

import (
	"time"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// MinAppendInterval is the minimum time between two appends of one reader.
	// With 3 readers in each of 6 zones, it limits the fleet to 36 appends per
	// second.
	MinAppendInterval = 500 * time.Millisecond
	// MaxQueued is the maximum number of registrations queued at one reader.
	// Nodes retry the registrations that are rejected.
	MaxQueued = 4096
)

// A Batcher collects registrations (joins, leaves and evictions) for the next
// append to the members stream. A later registration of the same kind and
// incarnation replaces the queued one. A batch may be up to MaxBatch records
// long.
type Batcher struct {
	queue []*pb.MembersRecord
	index map[batchKey]int
	last  time.Time
}

type batchKey struct {
	kind        byte
	incarnation uint64
}

// NewBatcher returns an empty Batcher.
func NewBatcher() *Batcher {
	return &Batcher{index: map[batchKey]int{}}
}

// Add queues a registration. It returns false if the queue is full or if the
// record is not a registration.
func (b *Batcher) Add(record *pb.MembersRecord) bool {
	key, ok := keyOf(record)
	if !ok {
		return false
	}
	if at, queued := b.index[key]; queued {
		b.queue[at] = record
		return true
	}
	if len(b.queue) >= MaxQueued {
		return false
	}
	b.index[key] = len(b.queue)
	b.queue = append(b.queue, record)
	return true
}

// Len returns the number of queued registrations.
func (b *Batcher) Len() int { return len(b.queue) }

// TakeBatch removes and returns the next batch. It returns nil if the queue is
// empty or if less than MinAppendInterval has passed since the previous batch.
func (b *Batcher) TakeBatch(now time.Time) []*pb.MembersRecord {
	if len(b.queue) == 0 || now.Sub(b.last) < MinAppendInterval {
		return nil
	}
	b.last = now
	n := min(len(b.queue), MaxBatch)
	batch := b.queue[:n:n]
	b.queue = b.queue[n:]
	clear(b.index)
	for i, record := range b.queue {
		key, _ := keyOf(record)
		b.index[key] = i
	}
	return batch
}

// keyOf returns the key by which a later registration replaces a queued one.
// It returns false if the record is not a registration.
func keyOf(record *pb.MembersRecord) (batchKey, bool) {
	switch r := record.GetRecord().(type) {
	case *pb.MembersRecord_Join:
		return batchKey{'j', r.Join.GetMember().GetIncarnation()}, r.Join.GetMember().GetIncarnation() != 0
	case *pb.MembersRecord_Leave:
		return batchKey{'l', r.Leave.GetIncarnation()}, r.Leave.GetIncarnation() != 0
	case *pb.MembersRecord_Evict:
		return batchKey{'e', r.Evict.GetIncarnation()}, r.Evict.GetIncarnation() != 0
	default:
		return batchKey{}, false
	}
}
