package relay

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
)

// rewriteDelay is how long a node waits at least before it writes its announcement again
// after the store has returned from a copy. A node that reads the members learns in this
// time whether the copy has it.
const rewriteDelay = 250 * time.Millisecond

// StoreRates are the calls per second that all nodes together may make to the store. 0
// means that there is no limit.
type StoreRates struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// observeStoreEra records the era of a response of the store. It must not be called by
// the task.
func (t *membersTask) observeStoreEra(seen era.Era) {
	if before, later := t.observeEra(seen, storeOrigin); later {
		t.events <- func() { t.startNextEra(before) }
	}
}

// observeReportedEra records the era that another node has reported.
func (t *membersTask) observeReportedEra(seen era.Era, address string) {
	if before, later := t.observeEra(seen, origin{name: "peer", address: address}); later {
		t.startNextEra(before)
	}
}

// observeEra records an era and makes the followers read their topics again if it is a
// later one. It returns the era before.
func (t *membersTask) observeEra(seen era.Era, from origin) (before era.Era, later bool) {
	before, later = t.config.storeEra.Observe(seen)
	if !later || before == era.Unknown {
		return before, later
	}
	t.logger.Warn("The store has returned from a copy.", zap.Stringer("era", seen), zap.Stringer("before", before),
		zap.String("from", from.name), zap.String("address", from.address), zap.Uint64("config", t.config.version()))
	t.startEra(seen)
	return before, later
}

// startNextEra invalidates what this node has learned from the store in the era before.
// The store may lack versions that it had acknowledged, so the node compares with others,
// which may have them, before it relies on the store again.
func (t *membersTask) startNextEra(before era.Era) {
	if before == era.Unknown {
		return
	}
	now := time.Now()
	t.returnSeen = now
	t.comparesUntil = now.Add(t.rules.EraCompare())
	t.config.startEra(t.comparesUntil)
	// The store may have lost the announcement of this node.
	t.published = 0
	t.rewriteRevision = t.self.GetRevision()
	t.rewriteAfter = now.Add(rewriteDelay + rand.N(era.Spread(t.roster.Len(), t.storeRates.WritesPerSecond)+1))
}

// awaitsRewrite reports whether the announcement of this node is unchanged since the
// store has returned from a copy, and is not due to be written again yet.
func (t *membersTask) awaitsRewrite(now time.Time) bool {
	return t.self.GetRevision() == t.rewriteRevision && now.Before(t.rewriteAfter)
}

// sinceReturnField returns the log field for the time since this node saw that the store
// had returned from a copy, if an announcement is written again because of that.
func (t *membersTask) sinceReturnField(revision uint64) zap.Field {
	if t.rewriteAfter.IsZero() || revision != t.rewriteRevision {
		return zap.Skip()
	}
	return zap.Duration("since_return", time.Since(t.returnSeen))
}

// notePublished records that the store has acknowledged an announcement in an era. An
// acknowledgement of an earlier era proves nothing about the latest one.
func (t *membersTask) notePublished(revision uint64, e era.Era) {
	if e.Same(t.config.storeEra.Get()) {
		t.published = max(t.published, revision)
	}
}

// readSpread returns the time over which nodes distribute their reads of both topics
// after the store has returned from a copy.
func (t *membersTask) readSpread() time.Duration {
	const topics = 2
	return era.Spread(topics*int(t.members.Load()), t.storeRates.ReadsPerSecond)
}
