package control

import (
	"math"
	"slices"
	"time"

	"github.com/primrosemount/primrosemount/core/membership"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// maxListedHolders is the maximum number of members that a response lists as
	// holders of the full states.
	maxListedHolders = 8
	// maxRecentlyServed is the number of nodes remembered for that list because
	// they have recently received a full state from this node.
	maxRecentlyServed = 32
	// maxKnownHolders is the maximum number of holders that a starting node
	// remembers.
	maxKnownHolders = 64
	// holderInterval is the time between two requests for the state by a starting
	// node that has addresses of holders. Without any, it waits Intervals.Exchange
	// between requests, because all starting nodes may share the same seeds.
	holderInterval = 200 * time.Millisecond
	// maxStartDelay is the maximum time for which a starting node with seeds does
	// not read the log while it looks for a peer that has the state.
	maxStartDelay = 5 * time.Second
	// startSpread is the natural logarithm of the number of nodes that may start
	// at the same time without many of them reading the log. For 9,600 nodes,
	// that is 9.2.
	startSpread = 9.5
)

// startup holds the data with which a starting node looks for a peer that has the
// state, and with which a running node directs starting nodes to such peers.
type startup struct {
	// readLogAt is the time from which the node reads the log even if it has not
	// received a state from a peer.
	readLogAt time.Time
	// holders are addresses of nodes that probably have the state, according to
	// peers.
	holders []string
	// recentlyServed is a ring buffer of the nodes that most recently received a
	// full state from this one. servedIndex is the next element to overwrite.
	recentlyServed []string
	servedIndex    int
}

// scheduleFirstRead sets the time until which the node only looks for a peer that
// has the state. A node without seeds, or one that is a seed, reads the log at
// once.
func (t *task) scheduleFirstRead(now time.Time) {
	if len(t.cfg.Seeds) == 0 || slices.Contains(t.cfg.Seeds, t.self.GetNodeAddress()) {
		return
	}
	t.startup.readLogAt = now.Add(startDelay(t.rng.Float64()))
}

// startDelay returns the start delay for a uniform random number from [0, 1). The
// delays have a truncated exponential distribution that grows towards
// maxStartDelay: whatever the number of nodes, few of their delays are short, so
// that the state that the first nodes read from the log reaches the others before
// these would read the log.
func startDelay(random float64) time.Duration {
	fraction := math.Log1p(random*math.Expm1(startSpread)) / startSpread
	return time.Duration(fraction * float64(maxStartDelay))
}

// defersLogRead reports whether the node does not read a stream from the log yet,
// because it may still receive the state from a peer.
func (t *task) defersLogRead(s *stream, now time.Time) bool {
	_, hasState := s.replica.Position()
	return !hasState && now.Before(t.startup.readLogAt)
}

// addHolders adds holders listed by a peer, or discards all holders if the node
// has the states of all streams.
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

// advanceNextExchange adds holders listed by a peer and makes the next comparison
// earlier, so that the shorter interval of a node with holders takes effect at
// once.
func (t *task) advanceNextExchange(now time.Time, addresses []string) {
	t.addHolders(addresses)
	if len(t.startup.holders) == 0 {
		return
	}
	if next := now.Add(t.exchangeInterval()); next.Before(t.links.nextDue) {
		t.links.nextDue = next
	}
}

// takeHolder removes a random available holder from the list and returns it. A
// holder that does not have the state is thus not tried repeatedly.
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

// exchangeInterval returns the time until the next comparison.
func (t *task) exchangeInterval() time.Duration {
	if len(t.startup.holders) > 0 && t.lacksState() {
		return t.jitter(holderInterval)
	}
	return t.jitter(t.cfg.Intervals.Exchange)
}

// addStateHolders lists members that probably have the state in the response to a
// sender that lacks the state of a stream: nodes that have recently received it
// from this node, and random members.
func (t *task) addStateHolders(response *pb.ExchangeResponse, request *pb.ExchangeRequest) {
	if !request.GetWantState() || !t.senderLacksStream(request) || t.lacksState() {
		return
	}
	var listed []string
	add := func(address string) {
		excluded := address == t.self.GetNodeAddress() || address == request.GetSenderAddress()
		if address != "" && !excluded && !slices.Contains(listed, address) {
			listed = append(listed, address)
		}
	}
	for range maxListedHolders / 2 {
		add(t.randomRecentlyServed())
	}
	for range maxListedHolders - len(listed) {
		add(addressOf(t.randomMember()))
	}
	response.StateHolders = listed
}

// senderLacksStream reports whether the sender has no state of some stream.
func (t *task) senderLacksStream(request *pb.ExchangeRequest) bool {
	for _, s := range t.streams {
		if _, hasState := nextOffset(request.GetPositions(), s.name); !hasState {
			return true
		}
	}
	return false
}

// recordServed remembers a node that receives a full state. It replaces the oldest
// one if the ring buffer is full.
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

// randomRecentlyServed returns a random address from the ring buffer, or "" if it
// is empty.
func (t *task) randomRecentlyServed() string {
	if len(t.startup.recentlyServed) == 0 {
		return ""
	}
	return t.startup.recentlyServed[t.rng.IntN(len(t.startup.recentlyServed))]
}

// addressOf returns the address of a member, or "" if it is nil.
func addressOf(m *membership.Member) string {
	if m == nil {
		return ""
	}
	return m.Address
}
