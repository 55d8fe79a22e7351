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
	successWindow = 100 * time.Millisecond
	// successCount is the number of finished requests that a move needs.
	successCount = 8
	// wastedShare is the share of requests that fail because of a call from
	// which on fewer are let in. Below it, most of the work done is of use.
	wastedShare = 0.5
	// soundShare is the share below which more are let in.
	soundShare = 0.2
	// successFall is the part of the admitted range that one move takes away.
	successFall = 0.25
	// leastFall is the least move down in levels.
	leastFall = 24
	// successRise is how fast the threshold rises by itself, in levels per second.
	// It finds the end of a fault within 1.5 s when nothing is let in any more.
	successRise = 2 * outcome.Cohorts
	// soundRise is the rise with each window in which the requests that are let
	// in succeed: the whole range is open again within a second.
	soundRise = outcome.Cohorts / 2
)

// success follows how many requests of one operation fail because of a call.
type success struct {
	level    outcome.Level
	finished int
	failed   int
	moved    time.Time
}

// note counts a finished request.
func (s *success) note(now time.Time, callFailed bool) {
	s.finished++
	if callFailed {
		s.failed++
	}
	if now.Sub(s.moved) >= successWindow && s.finished >= successCount {
		s.move(now)
	}
}

func (s *success) move(now time.Time) {
	share := float64(s.failed) / float64(s.finished)
	switch {
	case share > wastedShare:
		s.level = s.fall(s.at(now))
	case share < soundShare:
		s.level = min(s.at(now)+soundRise, outcome.MaxLevel)
	default:
		s.level = s.at(s.moved)
	}
	s.finished, s.failed, s.moved = 0, 0, now
}

// fall lowers a threshold, but never below the first levels, so that some
// requests show when the fault is over.
func (s *success) fall(from outcome.Level) outcome.Level {
	lowest := outcome.LevelOf(outcome.Critical, 0) + 1
	step := max(leastFall, outcome.Level(successFall*float64(from-min(from, lowest))))
	if from < lowest+step {
		return lowest
	}
	return from - step
}

// at returns the threshold at a time. It rises with its age.
func (s *success) at(now time.Time) outcome.Level {
	if s.level == 0 {
		return outcome.MaxLevel
	}
	age := max(now.Sub(s.moved), 0)
	rise := age.Seconds() * successRise
	return outcome.Level(min(float64(s.level)+rise, float64(outcome.MaxLevel)))
}
