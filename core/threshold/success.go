package threshold

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Starting requests of an operation is wasteful if most of them fail because their
// calls fail: with eight calls that succeed with a probability of 70 % each, only 6 %
// of the requests succeed, and the others load the deep service without benefit. The
// gates of the deep service do not reveal this, because its targets reject or fail
// requests without being full.
const (
	// minAdjustInterval is the minimum time between two adjustments.
	minAdjustInterval = 100 * time.Millisecond
	// minRequests is the number of finished requests needed for an adjustment. After
	// slowAdjustInterval, minRequestsSlow requests are enough, because a node in a
	// large fleet receives few requests of an operation.
	minRequests        = 8
	minRequestsSlow    = 3
	slowAdjustInterval = 500 * time.Millisecond
	// lowerAboveShare is the share of requests that fail because of a call above which
	// fewer requests are admitted. Below it, most of the completed work is useful.
	lowerAboveShare = 0.5
	// raiseBelowShare is the share of failures below which more requests are admitted.
	raiseBelowShare = 0.2
	// lowerGain scales an adjustment down: the removed part of the admitted range is
	// lowerGain times the share of failed requests.
	lowerGain = 0.5
	// minLowering is the minimum size of an adjustment down, in levels.
	minLowering = 24
	// successHoldTime is how long a threshold stays unchanged without an adjustment,
	// and successRiseRate is how fast it rises afterward, in levels per second. It
	// admits all classes again within 2 s if no more requests finish. The hold time
	// allows the few requests of a node in a large fleet to show whether the fault
	// persists.
	successHoldTime = time.Second
	successRiseRate = 4 * outcome.Cohorts
	// initialRaise is the size of the first adjustment up, in levels, when admitted
	// requests succeed. Each consecutive adjustment up is twice as large, so that the
	// whole range is admitted again within a second, and only a few requests too many
	// are admitted if the fault persists.
	initialRaise = outcome.Cohorts / 4
)

// A successRate tracks how many requests of one operation fail because of a call, and
// the threshold that follows from it.
type successRate struct {
	// level is the threshold at the time adjustedAt; zero admits every level.
	level outcome.Level
	// maxLevel and minLevel are the highest and the lowest level of the counted
	// requests. No requests arrive above maxLevel, so lowering starts there, or below
	// the class of minLevel, so lowering ends there.
	maxLevel outcome.Level
	minLevel outcome.Level
	finished int
	failed   int
	// countStart is the time of the first counted request.
	countStart time.Time
	adjustedAt time.Time
	// nextRaise is the size of the next adjustment up, in levels.
	nextRaise outcome.Level
}

// record counts a finished request. Assured requests are admitted regardless of the
// threshold, so they are not counted.
func (s *successRate) record(now time.Time, level outcome.Level, callFailed bool) {
	if level.Class() == outcome.Assured {
		return
	}
	if s.finished == 0 {
		s.countStart, s.maxLevel, s.minLevel = now, level, level
	}
	s.finished++
	s.maxLevel, s.minLevel = max(s.maxLevel, level), min(s.minLevel, level)
	if callFailed {
		s.failed++
	}
	if s.adjustmentDue(now) {
		s.adjust(now)
	}
}

// adjustmentDue reports whether enough requests were counted for an adjustment.
func (s *successRate) adjustmentDue(now time.Time) bool {
	if s.finished >= minRequests {
		return now.Sub(s.adjustedAt) >= minAdjustInterval
	}
	return s.finished >= minRequestsSlow && now.Sub(s.countStart) >= slowAdjustInterval
}

// adjust moves the threshold according to the share of failed requests and starts a new
// count.
func (s *successRate) adjust(now time.Time) {
	share := float64(s.failed) / float64(s.finished)
	switch {
	case share > lowerAboveShare:
		s.level = s.lowered(min(s.at(now), s.maxLevel), share)
		s.nextRaise = initialRaise
	case share < raiseBelowShare:
		s.level = min(s.at(now)+s.nextRaise, outcome.MaxLevel)
		s.nextRaise = min(2*s.nextRaise, outcome.MaxLevel)
	default:
		s.nextRaise = initialRaise
	}
	s.finished, s.failed, s.adjustedAt = 0, 0, now
}

// lowered returns a threshold lowered by a part of the admitted range that grows with
// the share of failed requests. The first levels of the most important class that
// receives requests are always admitted, because their results show when the fault has
// ended.
func (s *successRate) lowered(from outcome.Level, share float64) outcome.Level {
	floor := outcome.LevelOf(s.minLevel.Class(), 0) + 1
	step := max(minLowering, outcome.Level(share*lowerGain*float64(from-min(from, floor))))
	if from < floor+step {
		return floor
	}
	return from - step
}

// at returns the threshold at a time. It rises with the time since the last adjustment.
func (s *successRate) at(now time.Time) outcome.Level {
	if s.level == 0 {
		return outcome.MaxLevel
	}
	age := max(now.Sub(s.adjustedAt)-successHoldTime, 0)
	rise := age.Seconds() * successRiseRate
	return outcome.Level(min(float64(s.level)+rise, float64(outcome.MaxLevel)))
}
