package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/retry"
)

const (
	// limitLogInterval is the minimum time between two log lines about one service.
	limitLogInterval = time.Second
	// limitCheckInterval is the time between two comparisons of the state with the one
	// that was logged last.
	limitCheckInterval = 100 * time.Millisecond
	// limitLogStep is the smallest change of a limit that is logged, in levels.
	limitLogStep = outcome.Cohorts / 4
)

// limitLog writes log lines when the limit of a service begins, changes and ends.
type limitLog struct {
	mu sync.Mutex
	// logged is the limit in the latest line, or 0 if that line, if any, tells the end.
	logged  outcome.Level
	at      time.Time
	began   time.Time
	checked time.Time
}

// observe logs the state if it differs from the one that was logged last.
func (g *limitLog) observe(logger *zap.Logger, now time.Time, service string, state func(time.Time) retry.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.at) < limitLogInterval || now.Sub(g.checked) < limitCheckInterval {
		return
	}
	g.checked = now
	s := state(now)
	limited, before := s.Level < outcome.MaxLevel, g.logged != 0
	step := max(s.Level, g.logged) - min(s.Level, g.logged)
	message := "The retry budget admits other levels of the calls to a service."
	switch {
	case limited && !before:
		message = "The retry budget begins to limit the calls to a service."
		g.began = now
	case !limited && before:
		message = "The retry budget no longer limits the calls to a service."
	case !limited || step < limitLogStep:
		return
	}
	g.logged, g.at = s.Level, now
	if !limited {
		g.logged = 0
	}
	logger.Info(message, zap.String("called", service), zap.Uint16("limit", uint16(s.Level)),
		zap.Float64("refused_share", s.RefusalShare), zap.Duration("refused_for", s.RefusedFor),
		zap.Float64("retries_left", s.Left), zap.Duration("limited_for", now.Sub(g.began)))
}
