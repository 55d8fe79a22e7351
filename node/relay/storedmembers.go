package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/roster"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/telemetry"
)

// Each node writes its own announcement to the store. A node that has been killed cannot,
// and one that the store refuses cannot either. If the store lacks an announcement that
// other nodes have, such as a drain that it lost when it returned from a copy, a node that
// reads the members writes it.

const (
	// repairDelay is how long an announcement is missing on the store before the first
	// reader of its zone writes it. The node itself needs less.
	repairDelay = 1500 * time.Millisecond
	// maxRepairRecords is the maximum number of announcements in one write.
	maxRepairRecords = 500
	// repairTicks is the number of ticks between two comparisons of the view with the
	// store.
	repairTicks = int(time.Second / tickInterval)
)

// storedMembers is what the store has of the members.
type storedMembers struct {
	// records holds the announcements on the store. A nil element is a record that was
	// deleted while this node was reading.
	records map[string]*pb.RelayMember
	// digest is the sum of the hashes of the announcements, as in package roster.
	digest uint64
	// next is the position up to which records holds the topic.
	next era.Position
	// missingSince is when an announcement was first seen to be missing.
	missingSince map[string]time.Time
	// writing is set while a write is in progress.
	writing bool
}

func newStoredMembers() storedMembers {
	return storedMembers{records: make(map[string]*pb.RelayMember), missingSince: make(map[string]time.Time)}
}

// resetStored forgets the topic because it is read completely.
func (t *membersTask) resetStored() {
	t.events <- func() {
		clear(t.stored.records)
		t.stored.digest = 0
	}
}

// apply records the announcements before a position of the topic, and which of the
// records are deletions.
func (s *storedMembers) apply(records []Record, announcements []*pb.RelayMember, next era.Position) {
	for _, record := range records {
		if len(record.Value) == 0 {
			s.set(record.Key, nil)
		}
	}
	for _, m := range announcements {
		s.set(m.GetVm(), m)
	}
	s.next = next
}

func (s *storedMembers) set(vm string, m *pb.RelayMember) {
	if known := s.records[vm]; known != nil {
		s.digest -= roster.AnnouncementHash(known)
	}
	if m != nil {
		s.digest += roster.AnnouncementHash(m)
	}
	s.records[vm] = m
}

// lacks reports whether the store has no announcement of the node or an older one. An
// announcement that was deleted is not missing.
func (s *storedMembers) lacks(m *pb.RelayMember) bool {
	known, present := s.records[m.GetVm()]
	if !present {
		return true
	}
	return known != nil && roster.Newer(m, known)
}

// repairStore writes announcements that the store has lacked for long enough.
func (t *membersTask) repairStore(ctx context.Context, now time.Time) {
	if t.ticks%repairTicks != 0 || t.stored.writing || !t.readsCurrentMembers() {
		return
	}
	if t.stored.digest == t.roster.Digest() {
		clear(t.stored.missingSince)
		return
	}
	var missing []*pb.RelayMember
	for _, m := range t.roster.Members() {
		if t.isMissingLongEnough(m, now) && len(missing) < maxRepairRecords {
			missing = append(missing, m)
		}
	}
	if len(missing) > 0 {
		t.stored.writing = true
		end := t.stored.next
		go t.writeMissing(ctx, missing, end)
	}
}

// readsCurrentMembers reports whether this node follows the members on the store in its
// latest era.
func (t *membersTask) readsCurrentMembers() bool {
	return t.loaded && t.role.active() && t.storeResponds() && t.stored.next.ValidIn(t.config.storeEra.Get())
}

// isMissingLongEnough reports whether the store has lacked an announcement for so long
// that this node writes it. The readers of its zone come first, one after the other, then
// all others that read the members, because no reader responds to them.
func (t *membersTask) isMissingLongEnough(m *pb.RelayMember, now time.Time) bool {
	if t.isSelf(m) || !t.stored.lacks(m) {
		delete(t.stored.missingSince, m.GetVm())
		return false
	}
	since, known := t.stored.missingSince[m.GetVm()]
	if !known {
		t.stored.missingSince[m.GetVm()] = now
		return false
	}
	readers := t.roster.Readers(m.GetZone())
	turn := slices.IndexFunc(readers, t.isSelf)
	if turn < 0 {
		turn = len(readers)
	}
	return now.Sub(since) >= time.Duration(turn+1)*repairDelay
}

// writeMissing writes announcements of other nodes, unless the topic has changed since it
// was read: the nodes may have written newer ones. The records do not tell an era,
// because this node does not know whether there was a newer one in an earlier era.
func (t *membersTask) writeMissing(ctx context.Context, missing []*pb.RelayMember, end era.Position) {
	records := make([]Record, 0, len(missing))
	for _, m := range missing {
		value, err := roster.Encode(m)
		if err != nil {
			t.logger.Warn("An announcement cannot be encoded and is not written to the store.", zap.String("vm", m.GetVm()), telemetry.ErrorField(err))
			continue
		}
		records = append(records, Record{Key: m.GetVm(), Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	err := t.topic.PutAll(ctx, records, end)
	switch {
	case errors.Is(err, ErrConflict):
		t.logger.Debug("The members have changed; missing announcements are compared again.")
	case err != nil:
		t.logger.Warn("Missing announcements of other nodes are not on the store yet.", zap.Int("records", len(records)), telemetry.ErrorField(err))
	default:
		t.logger.Info("Missing announcements of other nodes were written to the store.", zap.Int("records", len(records)),
			zap.String("first", records[0].Key), zap.Uint64("store_era", uint64(end.Era)))
	}
	t.events <- func() { t.stored.writing = false }
}
