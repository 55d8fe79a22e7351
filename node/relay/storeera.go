package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
)

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
	t.logger.Warn("The store has returned from a copy.", zap.Uint64("era", uint64(seen)), zap.Uint64("before", uint64(before)),
		zap.String("from", from.name), zap.String("address", from.address), zap.Uint64("config", t.config.version()))
	t.startEra(seen)
	return before, later
}

// startNextEra takes back what this node believed of the store in the era before. The
// store may lack versions that it had acknowledged, so the node compares with others,
// which may have them, before it relies on the store again.
func (t *membersTask) startNextEra(before era.Era) {
	if before == era.Unknown {
		return
	}
	t.comparesUntil = time.Now().Add(t.rules.EraCompare())
	t.config.startEra(t.comparesUntil)
}
