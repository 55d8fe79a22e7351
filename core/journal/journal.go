// Package journal keeps a bounded record of typed decisions about requests and
// targets in memory, so that operators can ask why something happened.
//
// The journal never grows beyond the number of entries given at construction.
// It prefers what operators ask about: refused critical requests and unknown
// outcomes push out other refusals, which push out completed requests.
//
// A Journal is not safe for concurrent use; one task owns it.
package journal

import (
	"slices"
	"strings"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// MaxDetailBytes is the length to which Entry.Detail is cut.
const MaxDetailBytes = 160

// DefaultSampleEvery is the default of Config.SampleEvery.
const DefaultSampleEvery = 64

// reservedShare is the part of the journal, as a divisor, that each lower rank
// keeps when higher ranks fill the journal.
const reservedShare = 16

// RootID identifies a root request. The zero value means that an entry concerns
// no request.
type RootID [outcome.RootIDBytes]byte

// Entry is one decision. The strings are retained, so they should be shared,
// for example with the catalogue snapshot.
type Entry struct {
	Time time.Time
	// Part is the part of the node that decided, for example "gate".
	Part      string
	Root      RootID
	Service   string
	Operation string
	// Target is the name of the VM of the target, empty if none was chosen.
	Target string
	// Event names the decision, for example "admitted" or "ejected".
	Event string
	// Outcome is zero for decisions that do not end the request.
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Class   outcome.Class
	Detail  string
}

// Proto returns the schema message of the entry as recorded at node.
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

// Priority orders entries by what is kept longest.
type Priority uint8

// Ranks, first to be pushed out first.
const (
	// Ordinary entries are completed requests and steps of requests. They are
	// sampled by root id.
	Ordinary Priority = iota
	// Notable entries are refusals, and decisions about targets.
	Notable
	// Important entries are refused critical requests and unknown outcomes,
	// except those by a fault of the caller, which could otherwise push the
	// others out at will.
	Important

	ranks = 3
)

// PriorityOf returns the rank of an entry.
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

// Config bounds a journal.
type Config struct {
	// MaxEntries is the number of entries held; at least one is.
	MaxEntries int
	// SampleEvery keeps the ordinary entries of one root request in so many.
	// The choice depends only on the root id, so all nodes keep the same
	// requests. Zero means DefaultSampleEvery, one keeps all.
	SampleEvery uint32
}

// Dropped counts entries that are not in the journal.
type Dropped struct {
	// SampledOut entries were ordinary and not chosen.
	SampledOut uint64
	// Evicted entries left because of the bound, by rank.
	Evicted [ranks]uint64
}

// Total is the number of all entries that were dropped.
func (d Dropped) Total() uint64 {
	total := d.SampledOut
	for _, count := range d.Evicted {
		total += count
	}
	return total
}

// none ends a list of slots.
const none = int32(-1)

// slot holds one entry; next is the next newer entry of the same rank.
type slot struct {
	entry    Entry
	sequence uint64
	next     int32
}

// queue is a list of slots of one rank, oldest first.
type queue struct {
	oldest int32
	newest int32
	length int
}

// Journal is the record. Use New.
type Journal struct {
	slots       []slot
	queues      [ranks]queue
	capacity    int
	sampleEvery uint32
	sequence    uint64
	dropped     Dropped
}

// New returns an empty journal. Memory for entries is taken as they come.
func New(config Config) *Journal {
	j := &Journal{capacity: max(config.MaxEntries, 1), sampleEvery: config.SampleEvery}
	if j.sampleEvery == 0 {
		j.sampleEvery = DefaultSampleEvery
	}
	for rank := range j.queues {
		j.queues[rank] = queue{oldest: none, newest: none}
	}
	return j
}

// Record adds an entry that was decided at now.
func (j *Journal) Record(now time.Time, e Entry) {
	rank := PriorityOf(e)
	if rank == Ordinary && !j.sampled(e.Root) {
		j.dropped.SampledOut++
		return
	}
	e.Time = now
	e.Detail = cut(e.Detail)
	index := j.freeSlot()
	j.sequence++
	j.slots[index] = slot{entry: e, sequence: j.sequence, next: none}
	j.push(rank, index)
}

// sampled tells whether the ordinary entries of a root request are kept. It
// uses other bytes than the cohort, so that all cohorts are represented.
func (j *Journal) sampled(root RootID) bool {
	value := uint32(root[0])<<24 | uint32(root[1])<<16 | uint32(root[2])<<8 | uint32(root[3])
	return value%j.sampleEvery == 0
}

func cut(detail string) string {
	if len(detail) <= MaxDetailBytes {
		return detail
	}
	// The copy lets go of the long text; a cut character is removed.
	return strings.ToValidUTF8(strings.Clone(detail[:MaxDetailBytes]), "")
}

// freeSlot returns an unused slot and pushes out an entry if there is none.
func (j *Journal) freeSlot() int32 {
	if len(j.slots) < j.capacity {
		j.slots = append(j.slots, slot{})
		return int32(len(j.slots) - 1)
	}
	rank := j.victim()
	j.dropped.Evicted[rank]++
	return j.pop(rank)
}

// victim returns the lowest rank that holds more than its reserve.
func (j *Journal) victim() Priority {
	reserve := j.capacity / reservedShare
	for rank := Ordinary; rank < Important; rank++ {
		if j.queues[rank].length > reserve {
			return rank
		}
	}
	if j.queues[Important].length > 0 {
		return Important
	}
	return j.longest()
}

func (j *Journal) longest() Priority {
	best := Ordinary
	for rank := Ordinary; rank <= Important; rank++ {
		if j.queues[rank].length > j.queues[best].length {
			best = rank
		}
	}
	return best
}

func (j *Journal) push(rank Priority, index int32) {
	q := &j.queues[rank]
	q.length++
	if q.newest == none {
		q.oldest = index
	} else {
		j.slots[q.newest].next = index
	}
	q.newest = index
}

func (j *Journal) pop(rank Priority) int32 {
	q := &j.queues[rank]
	index := q.oldest
	q.length--
	q.oldest = j.slots[index].next
	if q.oldest == none {
		q.newest = none
	}
	return index
}

// ByRoot returns the entries of a root request, oldest first. If there are more
// than limit, the newest ones are returned; zero means no limit.
func (j *Journal) ByRoot(root RootID, limit int) []Entry {
	return j.find(limit, func(e *Entry) bool { return e.Root == root })
}

// ByTarget returns the entries about a target, as ByRoot does.
func (j *Journal) ByTarget(target string, limit int) []Entry {
	return j.find(limit, func(e *Entry) bool { return e.Target == target })
}

// find scans all entries. Questions are rare and the journal is bounded, so an
// index would cost more on each Record than it saves here.
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

// Len is the number of entries held.
func (j *Journal) Len() int { return len(j.slots) }

// Dropped returns the counts of entries that are not in the journal.
func (j *Journal) Dropped() Dropped { return j.dropped }
