package threshold

import "github.com/primrosemount/primrosemount/core/outcome"

// A request that makes several calls needs all of them, and a threshold moves by
// tens of levels while they are made. Calls of requests of which more is done
// therefore come first: what is shed then has cost the least. The lead has to grow
// with the calls done. An equal lead for all calls changes nothing between them.

// BoostPerCall is the number of levels that each completed call puts the further
// calls of its root request ahead. Five of them are a whole class.
const BoostPerCall = outcome.Level(24)

// PriorityBoost returns the number of levels by which a call comes before first calls of its
// level, by the number of calls that were completed for its root request.
func PriorityBoost(completedCalls uint32) outcome.Level {
	return BoostPerCall * outcome.Level(min(completedCalls, outcome.Cohorts))
}
