package threshold

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// An operation whose requests fail because their calls do is not worth starting:
// with eight calls that succeed in 70 % each, 6 % of the requests succeed, and
// the others use the deep service for nothing. The gates of the deep service do
// not show this, because its targets refuse or fail without being full.
const (
	// successWindow is the shortest time between two moves.
	minAdjustInterval = 100 * time.Millisecond
	// successCount is the number of finished requests that a move needs, and
	// fewCount the number that is enough after fewWindow: in a large fleet, a node
	// sees few requests of an operation.
	minRequests        = 8
	minRequestsSlow    = 3
	slowAdjustInterval = 500 * time.Millisecond
	// wastedShare is the share of requests that fail because of a call from
	// which on fewer are let in. Below it, most of the work done is of use.
	lowerAboveShare = 0.5
	// soundShare is the share below which more are let in.
	raiseBelowShare = 0.2
	// successFall is the part of the admitted range that one move takes away, for
	// each part of the requests that fails.
	lowerGain = 0.5
	// leastFall is the least move down in levels.
	minLowering = 24
	// successHold is how long a threshold stays as it is without a move, and
	// successRise how fast it rises by itself afterwards, in levels per second. It
	// opens all classes within 2 s when nothing is let in any more. The hold lasts
	// until the few requests of a node in a large fleet have shown whether the fault
	// goes on.
	successHoldTime = time.Second
	successRiseRate = 4 * outcome.Cohorts
	// firstRise is the first move up in levels when requests that are let in
	// succeed. Each further one in a row is twice as large, so that the whole
	// range is open again within a second, and a fault that lasts lets in only a
	// few too many.
	initialRaise = outcome.Cohorts / 4
)

// success follows how many requests of one operation fail because of a call.
type successRate struct {
	level outcome.Level
	// top and bottom are the highest and the lowest level of the requests that were
	// counted. Above top nothing comes, so a move down begins there; below the
	// class of bottom nothing comes either, so it ends there.
	maxLevel outcome.Level
	minLevel outcome.Level
	finished int
	failed   int
	// since is when the count began.
	countStart time.Time
	adjustedAt time.Time
	// rise is the next move up.
	nextRaise outcome.Level
}

// note counts a finished request. Assured requests are let in whatever the
// threshold, so they say nothing about its place.
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

// due tells whether enough requests were counted for a move.
func (s *successRate) adjustmentDue(now time.Time) bool {
	if s.finished >= minRequests {
		return now.Sub(s.adjustedAt) >= minAdjustInterval
	}
	return s.finished >= minRequestsSlow && now.Sub(s.countStart) >= slowAdjustInterval
}

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

// fall lowers a threshold by a part that grows with the share that failed. The
// first levels of the lowest class that comes are always let in, so that they
// show when the fault is over.
func (s *successRate) lowered(from outcome.Level, share float64) outcome.Level {
	floor := outcome.LevelOf(s.minLevel.Class(), 0) + 1
	step := max(minLowering, outcome.Level(share*lowerGain*float64(from-min(from, floor))))
	if from < floor+step {
		return floor
	}
	return from - step
}

// at returns the threshold at a time. It rises with its age.
func (s *successRate) at(now time.Time) outcome.Level {
	if s.level == 0 {
		return outcome.MaxLevel
	}
	age := max(now.Sub(s.adjustedAt)-successHoldTime, 0)
	rise := age.Seconds() * successRiseRate
	return outcome.Level(min(float64(s.level)+rise, float64(outcome.MaxLevel)))
}
