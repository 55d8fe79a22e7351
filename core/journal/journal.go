// Package journal keeps a bounded, typed record of decisions about requests and
// targets in memory, so that operators can find out why something happened.
//
// The journal never holds more entries than configured. When it is full, it
// evicts by priority: entries about refused critical requests and unknown
// outcomes displace those about other refusals, which displace those about
// completed requests. A reserve for each lower priority keeps it from being
// displaced entirely.
//
// A Journal is not safe for concurrent use; it is owned by one goroutine.
package journal

import (
	"slices"
	"strings"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// MaxDetailBytes is the length to which Entry.Detail is truncated.
const MaxDetailBytes = 160

// DefaultSampleEvery is the default of Config.SampleEvery.
const DefaultSampleEvery = 64

// reserveDivisor divides the capacity of the journal to give the reserve: the
// number of entries that each priority below Important keeps when higher
// priorities fill the journal.
const reserveDivisor = 16

// A RootID identifies a root request. The zero value means that an entry does
// not concern a request.
type RootID [outcome.RootIDBytes]byte

// An Entry is one decision. The journal retains the strings, so they should
// share memory with longer-lived data, for example with the catalogue snapshot.
type Entry struct {
	Time time.Time
	// Part is the component of the node that made the decision, for example
	// "gate".
	Part      string
	Root      RootID
	Service   string
	Operation string
	// Target is the name of the VM of the target. It is empty if no target was
	// chosen.
	Target string
	// Event is the name of the decision, for example "admitted" or "ejected".
	Event string
	// Outcome is zero for decisions that do not end the request.
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Class   outcome.Class
	Detail  string
}

// Proto returns the entry as a schema message, as recorded at the given node.
func (e Entry) Proto(node string) *pb.JournalEntry {
	message := &pb.JournalEntry{
		TimeUnixNanos: e.Time.UnixNano(),
		Node:          node,
		Part:          e.Part,
		Service:       e.Service,
		Operation:     e.Operation,
		Target:        e.Target,
		Event:         e.Event,
		Outcome:       e.Outcome.Proto(),
		Reason:        e.Reason.Proto(),
		Class:         e.Class.Proto(),
		Detail:        e.Detail,
	}
	if e.Root != (RootID{}) {
		message.RootId = e.Root[:]
	}
	return message
}

// A Priority determines the order in which entries are evicted.
type Priority uint8

// Priorities, in the order of eviction.
const (
	// Ordinary entries concern completed requests and single steps of requests.
	// They are sampled by root ID.
	Ordinary Priority = iota
	// Notable entries concern refusals, decisions about targets and errors of
	// the caller.
	Notable
	// Important entries concern refused critical requests and unknown outcomes.
	// Entries about errors of the caller are excluded, because a faulty caller
	// could otherwise evict all other important entries.
	Important

	priorityCount = 3
)

// PriorityOf returns the priority of an entry.
func PriorityOf(e Entry) Priority {
	switch {
	case e.Reason.IsCallerError():
		return Notable
	case e.Outcome == outcome.Unknown:
		return Important
	case e.Outcome == outcome.NotRun && e.Class == outcome.Critical:
		return Important
	case e.Outcome == outcome.NotRun:
		return Notable
	case e.Root == RootID{}:
		return Notable
	default:
		return Ordinary
	}
}

// A Config configures a journal.
type Config struct {
	// Entries is the maximum number of entries held. Values below 1 mean 1.
	Entries int
	// SampleEvery is the sampling interval of ordinary entries: those of one in
	// SampleEvery root requests are kept. The choice depends only on the root
	// ID, so that all nodes keep the same requests. Zero means
	// DefaultSampleEvery; 1 keeps all.
	SampleEvery uint32
}

// Dropped counts the entries that are not in the journal.
type Dropped struct {
	// SampledOut counts ordinary entries of root requests that were not
	// sampled.
	SampledOut uint64
	// Evicted counts the entries that were evicted because the journal was
	// full, by priority.
	Evicted [priorityCount]uint64
}

// Total returns the number of all entries that are not in the journal.
func (d Dropped) Total() uint64 {
	total := d.SampledOut
	for _, count := range d.Evicted {
		total += count
	}
	return total
}

// noSlot marks the end of a list of slots.
const noSlot = int32(-1)

// slot holds one entry. next is the index of the next newer entry of the same
// priority.
type slot struct {
	entry    Entry
	sequence uint64
	next     int32
}

// queue is a list of the slots of one priority, oldest first.
type queue struct {
	oldest int32
	newest int32
	length int
}

// A Journal is a bounded record of entries. Use [New] to create one.
type Journal struct {
	slots       []slot
	queues      [priorityCount]queue
	capacity    int
	sampleEvery uint32
	sequence    uint64
	dropped     Dropped
}

// New returns an empty journal. Memory for entries is allocated as they are
// recorded.
func New(config Config) *Journal {
	j := &Journal{capacity: max(config.Entries, 1), sampleEvery: config.SampleEvery}
	if j.sampleEvery == 0 {
		j.sampleEvery = DefaultSampleEvery
	}
	for priority := range j.queues {
		j.queues[priority] = queue{oldest: noSlot, newest: noSlot}
	}
	return j
}

// Record adds an entry about a decision made at the time now.
func (j *Journal) Record(now time.Time, e Entry) {
	priority := PriorityOf(e)
	if priority == Ordinary && !j.isSampled(e.Root) {
		j.dropped.SampledOut++
		return
	}
	e.Time = now
	e.Detail = truncate(e.Detail)
	index := j.freeSlot()
	j.sequence++
	j.slots[index] = slot{entry: e, sequence: j.sequence, next: noSlot}
	j.push(priority, index)
}

// isSampled reports whether the ordinary entries of a root request are kept. It
// uses other bytes of the ID than the cohort does, so that all cohorts are
// represented.
func (j *Journal) isSampled(root RootID) bool {
	value := uint32(root[0])<<24 | uint32(root[1])<<16 | uint32(root[2])<<8 | uint32(root[3])
	return value%j.sampleEvery == 0
}

// truncate limits a detail to MaxDetailBytes.
func truncate(detail string) string {
	if len(detail) <= MaxDetailBytes {
		return detail
	}
	// The clone allows the longer text to be garbage collected. A character
	// that was split at the end is removed.
	return strings.ToValidUTF8(strings.Clone(detail[:MaxDetailBytes]), "")
}

// freeSlot returns an unused slot; it evicts an entry if there is none.
func (j *Journal) freeSlot() int32 {
	if len(j.slots) < j.capacity {
		j.slots = append(j.slots, slot{})
		return int32(len(j.slots) - 1)
	}
	priority := j.priorityToEvict()
	j.dropped.Evicted[priority]++
	return j.pop(priority)
}

// priorityToEvict returns the priority whose oldest entry is evicted next: the
// lowest one that exceeds its reserve. If none does, it is Important, or the
// one with the most entries if there are no important ones.
func (j *Journal) priorityToEvict() Priority {
	reserve := j.capacity / reserveDivisor
	for priority := Ordinary; priority < Important; priority++ {
		if j.queues[priority].length > reserve {
			return priority
		}
	}
	if j.queues[Important].length > 0 {
		return Important
	}
	return j.longestQueue()
}

// longestQueue returns the priority with the most entries.
func (j *Journal) longestQueue() Priority {
	longest := Ordinary
	for priority := Ordinary; priority <= Important; priority++ {
		if j.queues[priority].length > j.queues[longest].length {
			longest = priority
		}
	}
	return longest
}

// push appends a slot to the queue of its priority.
func (j *Journal) push(priority Priority, index int32) {
	q := &j.queues[priority]
	q.length++
	if q.newest == noSlot {
		q.oldest = index
	} else {
		j.slots[q.newest].next = index
	}
	q.newest = index
}

// pop removes the oldest slot of a priority and returns its index.
func (j *Journal) pop(priority Priority) int32 {
	q := &j.queues[priority]
	index := q.oldest
	q.length--
	q.oldest = j.slots[index].next
	if q.oldest == noSlot {
		q.newest = noSlot
	}
	return index
}

// ByRoot returns the entries of a root request, oldest first. If there are more
// than limit, it returns the newest ones; zero means no limit.
func (j *Journal) ByRoot(root RootID, limit int) []Entry {
	return j.find(limit, func(e *Entry) bool { return e.Root == root })
}

// ByTarget returns the entries about a target, in the same order and with the
// same limit as ByRoot.
func (j *Journal) ByTarget(target string, limit int) []Entry {
	return j.find(limit, func(e *Entry) bool { return e.Target == target })
}

// find scans all entries. Queries are rare and the journal is bounded, so an
// index would cost more on each Record than it would save here.
func (j *Journal) find(limit int, match func(*Entry) bool) []Entry {
	var found []*slot
	for i := range j.slots {
		if match(&j.slots[i].entry) {
			found = append(found, &j.slots[i])
		}
	}
	slices.SortFunc(found, func(a, b *slot) int {
		return int(int64(a.sequence) - int64(b.sequence))
	})
	if limit > 0 && len(found) > limit {
		found = found[len(found)-limit:]
	}
	entries := make([]Entry, len(found))
	for i, s := range found {
		entries[i] = s.entry
	}
	return entries
}

// Len returns the number of entries held.
func (j *Journal) Len() int { return len(j.slots) }

// Dropped returns the counts of entries that are not in the journal.
func (j *Journal) Dropped() Dropped { return j.dropped }
