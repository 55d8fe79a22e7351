package threshold

import (
	"maps"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// shortageGap is the time without evidence of a shortage after which it has ended. A
// threshold may rise to all levels for a moment while a shortage lasts, because the
// aging of thresholds and the moves of gates try the refused levels again.
const shortageGap = time.Second

// Shortages tracks how long operations have been refused for some level. A shortage that
// has lasted some time is expected to last as long again. It is safe for concurrent use.
type Shortages struct {
	mu     sync.Mutex
	byCall map[Dependency]shortage
	swept  time.Time
}

// shortage is a period in which an operation was refused for some level.
type shortage struct{ since, latest time.Time }

// NewShortages returns a Shortages without evidence.
func NewShortages() *Shortages { return &Shortages{byCall: make(map[Dependency]shortage)} }

// Observe records the threshold of an operation and the age of its shortage as reported
// by another node, and returns the age. A threshold of zero is not known and changes
// nothing. A reported age of zero, as from earlier versions, lets the shortage begin
// when it is first observed.
func (s *Shortages) Observe(now time.Time, called Dependency, threshold outcome.Level, reported time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, active := s.active(now, called)
	if threshold == 0 || threshold >= outcome.MaxLevel {
		return known.age(now)
	}
	since := now.Add(-reported)
	if active && known.since.Before(since) {
		since = known.since
	}
	if !active && len(s.byCall) >= maxOperations && !s.sweep(now) {
		return reported
	}
	s.byCall[called] = shortage{since: since, latest: now}
	return now.Sub(since)
}

// Age returns how long the operation has been refused for some level, or zero if it is
// not.
func (s *Shortages) Age(now time.Time, called Dependency) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, _ := s.active(now, called)
	return known.age(now)
}

// active returns the shortage of an operation and removes it if it has ended.
func (s *Shortages) active(now time.Time, called Dependency) (shortage, bool) {
	known, found := s.byCall[called]
	if found && now.Sub(known.latest) > shortageGap {
		delete(s.byCall, called)
		return shortage{}, false
	}
	return known, found
}

// sweep removes the shortages that have ended, at most once per shortageGap. It reports
// whether there is space for another one.
func (s *Shortages) sweep(now time.Time) bool {
	if now.Sub(s.swept) < shortageGap {
		return false
	}
	s.swept = now
	maps.DeleteFunc(s.byCall, func(_ Dependency, known shortage) bool { return now.Sub(known.latest) > shortageGap })
	return len(s.byCall) < maxOperations
}

// age returns the time since the shortage began; zero if there is none.
func (s shortage) age(now time.Time) time.Duration {
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}
