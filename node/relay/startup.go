package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// A node that starts does not know whether the store has returned from a copy lately, so
// what it reads there may be older than what other nodes know. It compares with some of
// them before it puts its first configuration in force, and before it relies on the record
// of its earlier incarnation unless the store cannot have lost a later one.

const (
	// startupPeers is the number of random nodes with which a starting node compares.
	// One of them may be starting itself or lack the newest version.
	startupPeers = 3
	// startupTimeout limits how long the first configuration is held back.
	startupTimeout = time.Second
)

// startupQueries are the comparisons of a node that starts. The zero value has not
// started yet.
type startupQueries struct {
	started, ended bool
	// pending holds the addresses of the nodes that have not responded yet, and asked
	// those of all that were asked.
	pending, asked map[string]bool
	// failed is set if a holder of what the earlier incarnation had announced has not
	// responded, or had no configuration in force because it was starting too.
	failed bool
	// endedAt is when the comparisons ended.
	endedAt time.Time
	// answered is set once all holders have responded, or any node later on.
	answered bool
	// heldSince is when the first configuration was seen to be held back.
	heldSince time.Time
}

// startQueries compares with other nodes as soon as some are known. If the store has no
// records of others, it may have lost them, so others may report themselves.
func (t *membersTask) startQueries(ctx context.Context) {
	if t.queries.started || t.queries.ended || !t.loaded && !t.config.isHolding() {
		return
	}
	if t.loaded && t.loadedEra == era.Unknown {
		// The store has lost nothing.
		t.finishQueries(false)
		return
	}
	others := slices.DeleteFunc(t.roster.Members(), t.isSelf)
	if len(others) == 0 {
		return
	}
	t.queries.started, t.queries.failed = true, false
	t.queries.pending, t.queries.asked = make(map[string]bool), make(map[string]bool)
	t.queryHolders(ctx)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(len(others), startupPeers)] {
		t.query(ctx, other.GetAddress())
	}
}

// queryHolders compares with the holders of what the earlier incarnation had announced.
func (t *membersTask) queryHolders(ctx context.Context) {
	for _, holder := range t.roster.Holders(t.vm, t.self.GetZone()) {
		t.query(ctx, holder.GetAddress())
	}
}

// isHolder reports whether the node at an address is a holder of what the earlier
// incarnation had announced.
func (t *membersTask) isHolder(address string) bool {
	return slices.ContainsFunc(t.roster.Holders(t.vm, t.self.GetZone()), func(m *pb.RelayMember) bool { return m.GetAddress() == address })
}

// query compares with a node unless it has been asked already.
func (t *membersTask) query(ctx context.Context, address string) {
	if t.queries.asked[address] {
		return
	}
	t.queries.pending[address], t.queries.asked[address] = true, true
	t.syncWith(ctx, address, "")
}

// startupQueryDone records the end of a comparison. answered is true if the node has
// responded and has a configuration in force.
func (t *membersTask) startupQueryDone(ctx context.Context, address string, answered bool) {
	if t.queries.ended {
		// What the holders had has reached other nodes after a while.
		t.queries.answered = t.queries.answered || answered && time.Since(t.queries.endedAt) > syncInterval
		return
	}
	if !t.queries.pending[address] {
		return
	}
	t.queries.failed = t.queries.failed || !answered && t.isHolder(address)
	delete(t.queries.pending, address)
	// The responses may have told of members that the store has lost.
	t.queryHolders(ctx)
	if len(t.queries.pending) == 0 {
		t.endQueries()
	}
}

// endQueries puts the newest configuration in force after the last response. While the
// members have not been read, the nodes that were asked may not be the right ones, so the
// comparisons start again.
func (t *membersTask) endQueries() {
	if t.loaded {
		t.finishQueries(!t.queries.failed)
		return
	}
	if !t.queries.failed {
		t.config.release()
	}
	t.queries.started = false
}

// finishQueries makes the node use what it knows by now. answered is true if the holders
// have responded.
func (t *membersTask) finishQueries(answered bool) {
	t.queries.ended, t.queries.endedAt, t.queries.answered = true, time.Now(), answered
	t.config.release()
	t.restorePrevious()
}

// releaseOverdue puts the newest configuration in force if the comparisons have not
// ended in time, because the store does not respond or other nodes do not.
func (t *membersTask) releaseOverdue(now time.Time) {
	if !t.config.isHoldingVersion() {
		return
	}
	if t.queries.heldSince.IsZero() {
		t.queries.heldSince = now
	}
	if now.Sub(t.queries.heldSince) < startupTimeout {
		return
	}
	t.logger.Info("The first configuration comes into force before the node could compare with others.", zap.Int("pending", len(t.queries.pending)))
	if t.loaded {
		t.finishQueries(false)
		return
	}
	t.config.release()
}
