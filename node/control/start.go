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
	maxNamedHolders = 8
	// maxServed bounds the recently served nodes that are kept for that.
	maxRecentlyServed = 32
	// maxKnownHolders bounds the holders that a starting node remembers.
	maxKnownHolders = 64
	// holderInterval is the time between two requests of a starting node that
	// knows holders. Without holders it is Intervals.Exchange, because all
	// starting nodes share the seeds.
	holderInterval = 200 * time.Millisecond
	// startWait bounds the time for which a node with seeds leaves the log
	// alone while it looks for a peer that knows the state.
	maxStartDelay = 5 * time.Second
	// startSpread is the natural logarithm of the number of nodes for which
	// the waits are spread; 9,600 nodes have 9.2.
	startSpread = 9.5
)

// start is what a node keeps while it learns the state from peers, and what it
// needs to direct other starting nodes.
type startup struct {
	// readLogFrom is when the node reads the log even if no peer knows the state.
	readLogAt time.Time
	// holders are addresses that peers have named.
	holders []string
	// served are the last nodes that got a whole state from this one.
	recentlyServed []string
	servedIndex    int
}

// planStart sets the time until which the node looks for a peer. A node
// without seeds, or one that is a seed itself, reads the log at once.
func (t *task) scheduleFirstRead(now time.Time) {
	if len(t.cfg.Seeds) == 0 || slices.Contains(t.cfg.Seeds, t.self.GetNodeAddress()) {
		return
	}
	t.startup.readLogAt = now.Add(startDelay(t.rng.Float64()))
}

// startDelay turns a uniform draw into a wait with a truncated exponential
// distribution: few waits are short, whatever the number of nodes, so that the
// state of the first readers spreads before the others read.
func startDelay(random float64) time.Duration {
	fraction := math.Log1p(random*math.Expm1(startSpread)) / startSpread
	return time.Duration(fraction * float64(maxStartDelay))
}

// leavesLogAlone tells whether the node waits for a peer that knows a stream.
func (t *task) defersLogRead(s *stream, now time.Time) bool {
	_, hasState := s.replica.Position()
	return !hasState && now.Before(t.startup.readLogAt)
}

// learnHolders takes over the holders that a peer has named.
func (t *task) addHolders(addresses []string) {
	if !t.lacksState() {
		t.startup.holders = nil
		return
	}
	for _, address := range addresses {
		known := slices.Contains(t.startup.holders, address)
		if !known && address != t.self.GetNodeAddress() && len(t.startup.holders) < maxKnownHolders {
			t.startup.holders = append(t.startup.holders, address)
		}
	}
}

// hurry takes holders over and brings the next comparison forward, so that a
// node with new holders does not wait out the longer interval.
func (t *task) advanceNextExchange(now time.Time, addresses []string) {
	t.addHolders(addresses)
	if len(t.startup.holders) == 0 {
		return
	}
	if next := now.Add(t.exchangeInterval()); next.Before(t.links.nextDue) {
		t.links.nextDue = next
	}
}

// takeHolder draws a holder and forgets it, so that one that does not have the
// state after all is not asked again and again.
func (t *task) takeHolder(now time.Time) (string, bool) {
	for len(t.startup.holders) > 0 {
		i := t.rng.IntN(len(t.startup.holders))
		address := t.startup.holders[i]
		t.startup.holders = slices.Delete(t.startup.holders, i, i+1)
		if t.links.available(address, now) {
			return address, true
		}
	}
	return "", false
}

// nextExchange returns the time until the next comparison.
func (t *task) exchangeInterval() time.Duration {
	if len(t.startup.holders) > 0 && t.lacksState() {
		return t.jitter(holderInterval)
	}
	return t.jitter(t.cfg.Intervals.Exchange)
}

// nameHolders names members that probably know the state to a sender that
// lacks a stream: nodes that were served lately, and members at random.
func (t *task) addStateHolders(response *pb.ExchangeResponse, request *pb.ExchangeRequest) {
	if !request.GetWantState() || !t.senderLacksStream(request) || t.lacksState() {
		return
	}
	var named []string
	add := func(address string) {
		excluded := address == t.self.GetNodeAddress() || address == request.GetSenderAddress()
		if address != "" && !excluded && !slices.Contains(named, address) {
			named = append(named, address)
		}
	}
	for range maxNamedHolders / 2 {
		add(t.randomRecentlyServed())
	}
	for range maxNamedHolders - len(named) {
		add(addressOf(t.randomMember()))
	}
	response.StateHolders = named
}

// lacksStream tells whether the sender has no position in some stream.
func (t *task) senderLacksStream(request *pb.ExchangeRequest) bool {
	for _, s := range t.streams {
		if _, hasState := nextOffset(request.GetPositions(), s.name); !hasState {
			return true
		}
	}
	return false
}

// noteServed remembers a node that gets a whole state, in place of the oldest.
func (t *task) recordServed(response *pb.ExchangeResponse, address string) {
	if len(response.GetStates()) == 0 || address == "" {
		return
	}
	if len(t.startup.recentlyServed) < maxRecentlyServed {
		t.startup.recentlyServed = append(t.startup.recentlyServed, address)
		return
	}
	t.startup.recentlyServed[t.startup.servedIndex] = address
	t.startup.servedIndex = (t.startup.servedIndex + 1) % maxRecentlyServed
}

func (t *task) randomRecentlyServed() string {
	if len(t.startup.recentlyServed) == 0 {
		return ""
	}
	return t.startup.recentlyServed[t.rng.IntN(len(t.startup.recentlyServed))]
}

func addressOf(m *membership.Member) string {
	if m == nil {
		return ""
	}
	return m.Address
}
