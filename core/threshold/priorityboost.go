package threshold

import "github.com/primrosemount/primrosemount/core/outcome"

// A request that makes several calls needs all of them to succeed, and a threshold may
// move by tens of levels while they are made. Calls of requests that have completed
// more work therefore get priority, so that shedding wastes the least work. The boost
// has to grow with the number of completed calls: an equal boost for all calls would
// not change their order.

// BoostPerCall is the number of levels by which each completed call raises the priority
// of the further calls of its root request. Five completed calls amount to 120 levels,
// almost a whole class.
const BoostPerCall = outcome.Level(24)

// PriorityBoost returns the number of levels by which a call precedes first calls of
// its level, given the number of calls completed for its root request.
func PriorityBoost(completedCalls uint32) outcome.Level {
	return BoostPerCall * outcome.Level(min(completedCalls, outcome.Cohorts))
}
