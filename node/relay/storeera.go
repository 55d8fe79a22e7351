package relay

import (
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
)

// observeStoreEra records the era of a response of the store.
func (t *membersTask) observeStoreEra(seen era.Era) {
	before, later := t.config.storeEra.Observe(seen)
	if !later || before == era.Unknown {
		return
	}
	t.logger.Warn("The store has returned from a copy.", zap.Uint64("era", uint64(seen)), zap.Uint64("before", uint64(before)),
		zap.Uint64("config", t.config.version()))
	t.startEra(seen)
}
