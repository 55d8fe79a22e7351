package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
)

// A node that starts does not know whether the store has returned from a copy lately, so
// what it reads there may be older than what other nodes know. It compares with some of
// them before it puts its first configuration in force.

const (
	// startupPeers is the number of nodes with which a starting node compares. One of
	// them may be starting itself or lack the newest version.
	startupPeers = 3
	// startupTimeout limits how long the first configuration is held back.
	startupTimeout = time.Second
)

// startupQueries are the comparisons of a node that starts. The zero value has not
// started yet.
type startupQueries struct {
	started, ended bool
	// pending holds the addresses of the nodes that have not responded yet.
	pending map[string]bool
	// answered is set if a node that had a configuration in force has responded.
	answered bool
	// heldSince is when the first configuration was seen to be held back.
	heldSince time.Time
}

// startQueries compares with other nodes as soon as some are known. If the store has no
// records of others, it may have lost them, so others may report themselves.
func (t *membersTask) startQueries(ctx context.Context) {
	if t.queries.started {
		return
	}
	others := slices.DeleteFunc(t.roster.Members(), t.isSelf)
	if len(others) == 0 {
		if t.loaded && t.loadedEra == era.Unknown {
			t.finishQueries()
		}
		return
	}
	t.queries.started = true
	t.queries.pending = make(map[string]bool)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(len(others), startupPeers)] {
		t.queries.pending[other.GetAddress()] = true
		t.syncWith(ctx, other.GetAddress(), "")
	}
	t.endQueries()
}

// startupQueryDone records the end of a comparison. answered is true if the node has
// responded and has a configuration in force.
func (t *membersTask) startupQueryDone(address string, answered bool) {
	t.queries.answered = t.queries.answered || answered
	if !t.queries.started || t.queries.ended {
		return
	}
	delete(t.queries.pending, address)
	t.endQueries()
}

// endQueries puts the newest configuration in force if no response is pending. If the
// members have not been read and no node with a configuration has responded, others may
// be known at the next tick.
func (t *membersTask) endQueries() {
	if len(t.queries.pending) > 0 {
		return
	}
	if !t.loaded && !t.queries.answered {
		t.queries.started = false
		return
	}
	t.finishQueries()
}

// finishQueries makes the node use what it knows by now.
func (t *membersTask) finishQueries() {
	t.queries.started, t.queries.ended = true, true
	t.config.release()
	t.restorePrevious()
}

// releaseOverdue puts the newest configuration in force if the comparisons have not
// ended in time, because the store does not respond or other nodes do not.
func (t *membersTask) releaseOverdue(now time.Time) {
	holding, hasVersion := t.config.isHolding()
	if !holding || !hasVersion {
		return
	}
	if t.queries.heldSince.IsZero() {
		t.queries.heldSince = now
	}
	if now.Sub(t.queries.heldSince) >= startupTimeout {
		t.logger.Info("The first configuration comes into force before the node could compare with others.", zap.Int("pending", len(t.queries.pending)))
		t.finishQueries()
	}
}
