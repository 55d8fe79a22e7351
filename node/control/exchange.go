package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/membership"
	"github.com/primrosemount/primrosemount/core/spread"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// maxFollowUps is the maximum number of exchanges that follow one comparison
	// of applied offsets. Together they carry up to 2 MB of records.
	maxFollowUps = 32
	// maxStatesPerSecond limits the full states that a node sends to peers,
	// because each may have several megabytes. A starting node that receives
	// none repeats its request.
	maxStatesPerSecond = 8
	// One in randomPeerEvery comparisons is with a random member instead of a
	// partner. This reconnects groups of nodes that have partners only within
	// their own group.
	randomPeerEvery = 30
	// maxPeerBackoff is the maximum delay of the next exchange with a peer after
	// failed ones.
	maxPeerBackoff = 30 * time.Second
)

// links holds the partners of the node and the state of the exchanges with all
// peers.
type links struct {
	partners []*membership.Member
	// state holds the link to each address.
	state map[string]*link
	// partnerIndex and seedIndex are the indexes of the latest partner and seed
	// in round-robin order; comparisons counts the comparisons.
	partnerIndex int
	comparisons  int
	seedIndex    int
	// nextDue is the time of the next comparison.
	nextDue time.Time
	// stateTokens is the number of full states that may be sent now, up to
	// maxStatesPerSecond. It was computed at refilledAt.
	stateTokens float64
	refilledAt  time.Time
}

// A link is the state of the exchanges with one address. It is busy while an
// exchange is in progress. After failures, the next one starts at retryAt at the
// earliest.
type link struct {
	busy     bool
	failures int
	retryAt  time.Time
}

func newLinks() links {
	return links{state: map[string]*link{}, stateTokens: maxStatesPerSecond}
}

// setPartners replaces the partners. It discards the links to other addresses,
// except those that are busy.
func (l *links) setPartners(partners []*membership.Member) {
	l.partners = partners
	kept := map[string]*link{}
	for _, m := range partners {
		if old := l.state[m.Address]; old != nil {
			kept[m.Address] = old
		}
	}
	for address, old := range l.state {
		if old.busy {
			kept[address] = old
		}
	}
	l.state = kept
}

// get returns the link to an address and creates it if necessary.
func (l *links) get(address string) *link {
	if l.state[address] == nil {
		l.state[address] = &link{}
	}
	return l.state[address]
}

// available reports whether an exchange with an address may start now.
func (l *links) available(address string, now time.Time) bool {
	state := l.state[address]
	return state == nil || (!state.busy && !now.Before(state.retryAt))
}

// takeStateToken reports whether a full state may be sent now, and counts it
// against the limit if so.
func (l *links) takeStateToken(now time.Time) bool {
	elapsed := now.Sub(l.refilledAt).Seconds()
	l.refilledAt = now
	l.stateTokens = min(maxStatesPerSecond, l.stateTokens+elapsed*maxStatesPerSecond)
	if l.stateTokens < 1 {
		return false
	}
	l.stateTokens--
	return true
}

// exchangeIfDue compares applied offsets with the next peer if it is time.
func (t *task) exchangeIfDue(now time.Time) {
	if now.Before(t.links.nextDue) {
		return
	}
	address, incarnation, ok := t.nextPeer(now)
	t.links.nextDue = now.Add(t.exchangeInterval())
	if ok {
		t.sendExchange(address, incarnation, t.request(), 0)
	}
}

// nextPeer returns the address and incarnation of the peer for the next
// comparison: a partner, or a random member for one in randomPeerEvery. A node
// that lacks a state first tries a holder, a node that probably has the state, and
// otherwise a seed every second time. The incarnation of a holder or seed is not
// known and returned as 0.
func (t *task) nextPeer(now time.Time) (string, uint64, bool) {
	l := &t.links
	l.comparisons++
	if holder, ok := t.takeHolder(now); ok {
		return holder, 0, true
	}
	if t.lacksState() && l.comparisons%2 == 0 {
		if seed, ok := t.nextSeed(now); ok {
			return seed, 0, true
		}
	}
	if l.comparisons%randomPeerEvery == 0 {
		if m := t.randomMember(); m != nil && l.available(m.Address, now) {
			return m.Address, m.Incarnation, true
		}
	}
	for range l.partners {
		l.partnerIndex = (l.partnerIndex + 1) % len(l.partners)
		m := l.partners[l.partnerIndex]
		if l.available(m.Address, now) {
			return m.Address, m.Incarnation, true
		}
	}
	seed, ok := t.nextSeed(now)
	return seed, 0, ok
}

// nextSeed returns the next available seed in round-robin order.
func (t *task) nextSeed(now time.Time) (string, bool) {
	for range t.cfg.Seeds {
		t.links.seedIndex = (t.links.seedIndex + 1) % len(t.cfg.Seeds)
		seed := t.cfg.Seeds[t.links.seedIndex]
		if seed != t.self.GetNodeAddress() && t.links.available(seed, now) {
			return seed, true
		}
	}
	return "", false
}

// randomMember returns a random member of a random zone, or nil if that is this
// node or if there are no members.
func (t *task) randomMember() *membership.Member {
	members := t.members()
	zones := members.Zones()
	if len(zones) == 0 {
		return nil
	}
	zone := members.Zone(zones[t.rng.IntN(len(zones))])
	m := zone[t.rng.IntN(len(zone))]
	if m.Incarnation == t.self.GetIncarnation() || m.Address == t.self.GetNodeAddress() {
		return nil
	}
	return m
}

// lacksState reports whether the node does not have the state of some stream
// yet.
func (t *task) lacksState() bool {
	for _, s := range t.streams {
		if !s.replica.Known() {
			return true
		}
	}
	return false
}

// request returns a new request that compares applied offsets and accepts full
// states.
func (t *task) request() *pb.ExchangeRequest {
	request := &pb.ExchangeRequest{
		Sender:        t.self.GetIncarnation(),
		SenderAddress: t.self.GetNodeAddress(),
		WantState:     true,
	}
	request.Positions = t.positions()
	return request
}

// positions returns the positions of all streams of which the node has a state. A
// position holds the applied offset and the oldest buffered offset.
func (t *task) positions() []*pb.StreamPosition {
	var positions []*pb.StreamPosition
	for _, s := range t.streams {
		if p, ok := s.replica.Position(); ok {
			positions = append(positions, p)
		}
	}
	return positions
}

// sendExchange starts an exchange with a peer. round is the number of earlier
// exchanges that belong to the same comparison.
func (t *task) sendExchange(address string, incarnation uint64, request *pb.ExchangeRequest, round int) {
	t.links.get(address).busy = true
	peers, timeout := t.cfg.Peers, t.cfg.Intervals.PeerTimeout
	t.spawn(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		response, err := peers.Exchange(ctx, address, request)
		t.c.stats.message(KindExchangeOut, proto.Size(response), proto.Size(request), err)
		return exchangeDone{address, incarnation, request, response, round, err}
	})
}

// exchangeDone is the result of an exchange that this node started.
type exchangeDone struct {
	address     string
	incarnation uint64
	request     *pb.ExchangeRequest
	response    *pb.ExchangeResponse
	round       int
	err         error
}

func (exchangeDone) kind() Kind { return KindExchangeOut }

func (m exchangeDone) handle(t *task) {
	now := time.Now()
	state := t.links.get(m.address)
	state.busy = false
	t.handleRegistrationResult(m)
	if m.err != nil {
		state.failures++
		state.retryAt = now.Add(t.jitter(backoff(t.cfg.Intervals.Exchange, state.failures, maxPeerBackoff)))
		t.reportSuspect(now, m.incarnation)
		return
	}
	state.failures = 0
	t.reportAlive(now, m.response.GetResponder())
	if m.response.GetResponder() != m.incarnation {
		t.reportSuspect(now, m.incarnation)
	}
	t.applyPeerData(m.response.GetPositions(), m.response.GetRecords(), m.response.GetStates())
	t.advanceNextExchange(now, m.response.GetStateHolders())
	t.followUp(m)
}

// reportAlive records that a message of a member has been received.
func (t *task) reportAlive(now time.Time, incarnation uint64) {
	if m, ok := t.mem.State.Member(incarnation); ok {
		t.evictor.ReportAlive(now, m)
	}
}

// reportSuspect records that this node suspects a member to have failed.
func (t *task) reportSuspect(now time.Time, incarnation uint64) {
	if m, ok := t.mem.State.Member(incarnation); ok {
		t.evictor.ReportSuspect(now, m, nil)
	}
}

// applyPeerData applies the positions, full states and records received from a
// peer.
func (t *task) applyPeerData(positions []*pb.StreamPosition, records []*pb.StreamRecord, states []*pb.StreamState) {
	if !t.sameEras(positions) {
		return
	}
	for _, p := range positions {
		if s := t.stream(p.GetStream()); s != nil && s.replica.ObservePeerPosition(p) {
			t.advanced(s, 0, false)
		}
	}
	for _, state := range states {
		t.installState(state)
	}
	for _, s := range t.streams {
		before, known := s.replica.Next(), s.replica.Known()
		if s.replica.ApplyPeerRecords(records) {
			t.advanced(s, before, known)
		}
	}
}

// sameEras reports whether the positions of a peer are of the same era of the log as those
// of this node. The offsets of different eras name different records.
func (t *task) sameEras(positions []*pb.StreamPosition) bool {
	for _, p := range positions {
		s := t.stream(p.GetStream())
		if s != nil && !s.replica.Era().Same(era.Era(p.GetEra())) {
			return false
		}
	}
	return true
}

func (t *task) installState(state *pb.StreamState) {
	s := t.stream(state.GetStream())
	if s == nil {
		return
	}
	before := s.replica.Next()
	installed, err := s.replica.InstallState(state)
	if err != nil {
		t.logger.Warn("control: the full state received from a peer is not valid")
	}
	if installed {
		t.advanced(s, before, false)
	}
}

// followUp starts another exchange with the same peer if one side still lacks
// records and the previous exchange has made progress.
func (t *task) followUp(m exchangeDone) {
	if m.round >= maxFollowUps || !t.sameEras(m.response.GetPositions()) {
		return
	}
	request := t.request()
	behind := false
	for _, p := range m.response.GetPositions() {
		s := t.stream(p.GetStream())
		if s == nil {
			continue
		}
		behind = behind || (s.replica.Next() < p.GetNextOffset() && t.advancedSince(m.request, s))
		request.Records = append(request.Records, t.missingRecords(p, s, m)...)
	}
	if behind || len(request.Records) > 0 {
		t.sendExchange(m.address, m.incarnation, request, m.round+1)
	}
}

// advancedSince reports whether the applied offset of a stream has advanced
// since the node sent the request.
func (t *task) advancedSince(request *pb.ExchangeRequest, s *stream) bool {
	for _, p := range request.GetPositions() {
		if p.GetStream() == s.name {
			return s.replica.Next() > p.GetNextOffset()
		}
	}
	_, hasPosition := s.replica.Position()
	return hasPosition
}

// missingRecords returns the records of a stream that the peer lacks according to
// its position p. It returns none if the previous request already contained them,
// because the peer did not apply them.
func (t *task) missingRecords(p *pb.StreamPosition, s *stream, m exchangeDone) []*pb.StreamRecord {
	if p.GetNextOffset() >= s.replica.Next() {
		return nil
	}
	for _, sent := range m.request.GetRecords() {
		if sent.GetStream() == s.name && sent.GetOffset() == p.GetNextOffset() {
			return nil
		}
	}
	return s.replica.Records(p.GetNextOffset(), spread.MaxMessageBytes)
}

// incomingExchange is an exchange request of a peer.
type incomingExchange struct {
	request *pb.ExchangeRequest
	reply   chan<- *pb.ExchangeResponse
}

func (incomingExchange) kind() Kind { return KindExchangeIn }

func (m incomingExchange) handle(t *task) {
	now := time.Now()
	t.reportAlive(now, m.request.GetSender())
	t.applyPeerData(m.request.GetPositions(), m.request.GetRecords(), nil)
	response := &pb.ExchangeResponse{Responder: t.self.GetIncarnation()}
	response.RegistrationsAccepted = t.acceptRegistrations(now, m.request.GetRegistrations())
	if t.sameEras(m.request.GetPositions()) {
		t.addMissing(response, m.request, now)
	}
	t.addStateHolders(response, m.request)
	t.recordServed(response, m.request.GetSenderAddress())
	response.Positions = t.positions()
	t.c.stats.message(KindExchangeIn, proto.Size(m.request), proto.Size(response), nil)
	m.reply <- response
	t.exchangeWithSender(now, m.request)
}

// addMissing adds the records that the sender lacks to the response, or the full
// state of a stream if the replica has not buffered all of these records.
func (t *task) addMissing(response *pb.ExchangeResponse, request *pb.ExchangeRequest, now time.Time) {
	for _, s := range t.streams {
		next, hasPosition := nextOffset(request.GetPositions(), s.name)
		if hasPosition && next >= s.replica.Next() {
			continue
		}
		if s.replica.HasRecordsFrom(next) {
			response.Records = append(response.Records, s.replica.Records(next, spread.MaxMessageBytes)...)
			continue
		}
		if !request.GetWantState() || !s.replica.Known() || !t.links.takeStateToken(now) {
			continue
		}
		response.States = append(response.States, s.replica.State())
	}
}

// nextOffset returns the applied offset of a stream in a list of positions, and
// whether the list has one.
func nextOffset(positions []*pb.StreamPosition, stream string) (uint64, bool) {
	for _, p := range positions {
		if p.GetStream() == stream {
			return p.GetNextOffset(), true
		}
	}
	return 0, false
}

// exchangeWithSender starts an exchange with the sender of a request if this node
// is still behind it after applying the records of the request.
func (t *task) exchangeWithSender(now time.Time, request *pb.ExchangeRequest) {
	address := request.GetSenderAddress()
	if address == "" || address == t.self.GetNodeAddress() || !t.links.available(address, now) || !t.sameEras(request.GetPositions()) {
		return
	}
	for _, p := range request.GetPositions() {
		s := t.stream(p.GetStream())
		if s != nil && s.replica.Next() < p.GetNextOffset() {
			t.sendExchange(address, request.GetSender(), t.request(), 0)
			return
		}
	}
}

// pushRecords sends records that this node has newly applied to some partners.
func (t *task) pushRecords() {
	var records []*pb.StreamRecord
	for _, s := range t.streams {
		if s.pushing {
			records = append(records, s.replica.Records(s.pushFrom, spread.MaxMessageBytes)...)
		}
		s.pushing = false
	}
	if len(records) == 0 {
		return
	}
	for _, m := range t.choosePushPartners() {
		request := t.request()
		request.WantState = false
		request.Records = records
		t.sendExchange(m.Address, m.Incarnation, request, 0)
	}
}

// choosePushPartners returns up to spread.Fanout random partners with which an
// exchange may start now.
func (t *task) choosePushPartners() []*membership.Member {
	now := time.Now()
	var chosen []*membership.Member
	for _, i := range t.rng.Perm(len(t.links.partners)) {
		m := t.links.partners[i]
		if len(chosen) < spread.Fanout && t.links.available(m.Address, now) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// errOtherIncarnation is the error of a probe to which another incarnation than
// the probed one has responded.
var errOtherIncarnation = errors.New("control: another incarnation responded to the probe")
