package relay

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemount/primrosemount/core/fairshare"
)

// cohort returns the cohort of a root request within its class. Without a client account,
// it depends on the ID of the attempt only. A cohort for an account is drawn at random,
// so that clients cannot choose IDs with a low one.
func (e *entry) cohort(from *sender, now time.Time) uint32 {
	if from.account == nil {
		return uint32(xxhash.Sum64String(from.AttemptID))
	}
	var load fairshare.Load
	if from.account.Limited() {
		load.Relative, load.Known = e.quotas.load(now, from.account)
	}
	return e.fair.Cohort(now, from.account.Name, load, rand.Float64())
}
