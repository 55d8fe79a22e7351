package control

import (
	"math"
	"slices"
	"time"

	"github.com/primrosemount/primrosemount/core/membership"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// maxHolders bounds the members that an answer names as holders of the state.
	maxHolders = 8
	// maxServed bounds the recently served nodes that are kept for that.
	maxServed = 32
	// maxKnownHolders bounds the holders that a starting node remembers.
	maxKnownHolders = 64
	// holderInterval is the time between two requests of a starting node that
	// knows holders. Without holders it is Intervals.Exchange, because all
	// starting nodes share the seeds.
	holderInterval = 200 * time.Millisecond
	// startWait bounds the time for which a node with seeds leaves the log
	// alone while it looks for a peer that knows the state.
	startWait = 5 * time.Second
	// startSpread is the natural logarithm of the number of nodes for which
	// the waits are spread; 9,600 nodes have 9.2.
	startSpread = 9.5
)

// start is what a node keeps while it learns the state from peers, and what it
// needs to direct other starting nodes.
type start struct {
	// readLogFrom is when the node reads the log even if no peer knows the state.
	readLogFrom time.Time
	// holders are addresses that peers have named.
	holders []string
	// served are the last nodes that got a whole state from this one.
	served   []string
	servedAt int
}

// planStart sets the time until which the node looks for a peer. A node
// without seeds, or one that is a seed itself, reads the log at once.
func (t *task) planStart(now time.Time) {
	if len(t.cfg.Seeds) == 0 || slices.Contains(t.cfg.Seeds, t.self.GetNodeAddress()) {
		return
	}
	t.start.readLogFrom = now.Add(startDelay(t.rng.Float64()))
}

// startDelay turns a uniform draw into a wait with a truncated exponential
// distribution: few waits are short, whatever the number of nodes, so that the
// state of the first readers spreads before the others read.
func startDelay(draw float64) time.Duration {
	share := math.Log1p(draw*math.Expm1(startSpread)) / startSpread
	return time.Duration(share * float64(startWait))
}

// leavesLogAlone tells whether the node waits for a peer that knows a stream.
func (t *task) leavesLogAlone(s *stream, now time.Time) bool {
	_, has := s.replica.Position()
	return !has && now.Before(t.start.readLogFrom)
}

// learnHolders takes over the holders that a peer has named.
func (t *task) learnHolders(addresses []string) {
	if !t.lacksState() {
		t.start.holders = nil
		return
	}
	for _, address := range addresses {
		known := slices.Contains(t.start.holders, address)
		if !known && address != t.self.GetNodeAddress() && len(t.start.holders) < maxKnownHolders {
			t.start.holders = append(t.start.holders, address)
		}
	}
}

// hurry takes holders over and brings the next comparison forward, so that a
// node with new holders does not wait out the longer interval.
func (t *task) hurry(now time.Time, addresses []string) {
	t.learnHolders(addresses)
	if len(t.start.holders) == 0 {
		return
	}
	if next := now.Add(t.nextExchange()); next.Before(t.links.due) {
		t.links.due = next
	}
}

// takeHolder draws a holder and forgets it, so that one that does not have the
// state after all is not asked again and again.
func (t *task) takeHolder(now time.Time) (string, bool) {
	for len(t.start.holders) > 0 {
		i := t.rng.IntN(len(t.start.holders))
		address := t.start.holders[i]
		t.start.holders = slices.Delete(t.start.holders, i, i+1)
		if t.links.ready(address, now) {
			return address, true
		}
	}
	return "", false
}

// nextExchange returns the time until the next comparison.
func (t *task) nextExchange() time.Duration {
	if len(t.start.holders) > 0 && t.lacksState() {
		return t.jitter(holderInterval)
	}
	return t.jitter(t.cfg.Intervals.Exchange)
}

// nameHolders names members that probably know the state to a sender that
// lacks a stream: nodes that were served lately, and members at random.
func (t *task) nameHolders(response *pb.ExchangeResponse, request *pb.ExchangeRequest) {
	if !request.GetWantState() || !t.lacksStream(request) || t.lacksState() {
		return
	}
	var named []string
	add := func(address string) {
		own := address == t.self.GetNodeAddress() || address == request.GetSenderAddress()
		if address != "" && !own && !slices.Contains(named, address) {
			named = append(named, address)
		}
	}
	for range maxHolders / 2 {
		add(t.randomServed())
	}
	for range maxHolders - len(named) {
		add(addressOf(t.randomMember()))
	}
	response.StateHolders = named
}

// lacksStream tells whether the sender has no position in some stream.
func (t *task) lacksStream(request *pb.ExchangeRequest) bool {
	for _, s := range t.streams {
		if _, has := nextOf(request.GetPositions(), s.name); !has {
			return true
		}
	}
	return false
}

// noteServed remembers a node that gets a whole state, in place of the oldest.
func (t *task) noteServed(response *pb.ExchangeResponse, address string) {
	if len(response.GetStates()) == 0 || address == "" {
		return
	}
	if len(t.start.served) < maxServed {
		t.start.served = append(t.start.served, address)
		return
	}
	t.start.served[t.start.servedAt] = address
	t.start.servedAt = (t.start.servedAt + 1) % maxServed
}

func (t *task) randomServed() string {
	if len(t.start.served) == 0 {
		return ""
	}
	return t.start.served[t.rng.IntN(len(t.start.served))]
}

func addressOf(m *membership.Member) string {
	if m == nil {
		return ""
	}
	return m.Address
}
