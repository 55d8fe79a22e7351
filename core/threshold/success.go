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
	// successCount is the number of finished requests that a move needs, and
	// fewCount the number that is enough after fewWindow: in a large fleet, a node
	// sees few requests of an operation.
	successCount = 8
	fewCount     = 3
	fewWindow    = 500 * time.Millisecond
	// wastedShare is the share of requests that fail because of a call from
	// which on fewer are let in. Below it, most of the work done is of use.
	wastedShare = 0.5
	// soundShare is the share below which more are let in.
	soundShare = 0.2
	// successFall is the part of the admitted range that one move takes away, for
	// each part of the requests that fails.
	successFall = 0.5
	// leastFall is the least move down in levels.
	leastFall = 24
	// successHold is how long a threshold stays as it is without a move, and
	// successRise how fast it rises by itself afterwards, in levels per second. It
	// opens all classes within 2 s when nothing is let in any more. The hold lasts
	// until the few requests of a node in a large fleet have shown whether the fault
	// goes on.
	successHold = time.Second
	successRise = 4 * outcome.Cohorts
	// firstRise is the first move up in levels when requests that are let in
	// succeed. Each further one in a row is twice as large, so that the whole
	// range is open again within a second, and a fault that lasts lets in only a
	// few too many.
	firstRise = outcome.Cohorts / 4
)

// success follows how many requests of one operation fail because of a call.
type success struct {
	level outcome.Level
	// top and bottom are the highest and the lowest level of the requests that were
	// counted. Above top nothing comes, so a move down begins there; below the
	// class of bottom nothing comes either, so it ends there.
	top      outcome.Level
	bottom   outcome.Level
	finished int
	failed   int
	// since is when the count began.
	since time.Time
	moved time.Time
	// rise is the next move up.
	rise outcome.Level
}

// note counts a finished request. Assured requests are let in whatever the
// threshold, so they say nothing about its place.
func (s *success) note(now time.Time, level outcome.Level, callFailed bool) {
	if level.Class() == outcome.Assured {
		return
	}
	if s.finished == 0 {
		s.since, s.top, s.bottom = now, level, level
	}
	s.finished++
	s.top, s.bottom = max(s.top, level), min(s.bottom, level)
	if callFailed {
		s.failed++
	}
	if s.due(now) {
		s.move(now)
	}
}

// due tells whether enough requests were counted for a move.
func (s *success) due(now time.Time) bool {
	if s.finished >= successCount {
		return now.Sub(s.moved) >= successWindow
	}
	return s.finished >= fewCount && now.Sub(s.since) >= fewWindow
}

func (s *success) move(now time.Time) {
	share := float64(s.failed) / float64(s.finished)
	switch {
	case share > wastedShare:
		s.level = s.fall(min(s.at(now), s.top), share)
		s.rise = firstRise
	case share < soundShare:
		s.level = min(s.at(now)+s.rise, outcome.MaxLevel)
		s.rise = min(2*s.rise, outcome.MaxLevel)
	default:
		s.rise = firstRise
	}
	s.finished, s.failed, s.moved = 0, 0, now
}

// fall lowers a threshold by a part that grows with the share that failed. The
// first levels of the lowest class that comes are always let in, so that they
// show when the fault is over.
func (s *success) fall(from outcome.Level, share float64) outcome.Level {
	lowest := outcome.LevelOf(s.bottom.Class(), 0) + 1
	step := max(leastFall, outcome.Level(share*successFall*float64(from-min(from, lowest))))
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
	age := max(now.Sub(s.moved)-successHold, 0)
	rise := age.Seconds() * successRise
	return outcome.Level(min(float64(s.level)+rise, float64(outcome.MaxLevel)))
}
