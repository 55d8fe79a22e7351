package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/membership"
	"github.com/primrosemount/primrosemount/core/spread"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// maxRounds bounds the messages that follow one comparison, 2 MB of records.
	maxFollowUps = 32
	// statesPerSecond bounds the whole states that a node passes on, because
	// each has megabytes; starting nodes ask again.
	maxStatesPerSecond = 8
	// randomPeerEvery is the number of comparisons after which one goes to a
	// random member instead of a partner, so that groups of partners which lost
	// each other find together.
	randomPeerEvery = 30
	// maxPeerBackoff bounds the wait after failed exchanges with one partner.
	maxPeerBackoff = 30 * time.Second
)

// links holds the partners of the node and what is known about them.
type links struct {
	partners     []*membership.Member
	state        map[string]*link
	partnerIndex int
	comparisons  int
	seedIndex    int
	nextDue      time.Time
	stateTokens  float64
	refilledAt   time.Time
}

// link is the state of the exchange with one address.
type link struct {
	busy     bool
	failures int
	retryAt  time.Time
}

func newLinks() links {
	return links{state: map[string]*link{}, stateTokens: maxStatesPerSecond}
}

// set takes the partners over and forgets addresses without partner.
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

func (l *links) get(address string) *link {
	if l.state[address] == nil {
		l.state[address] = &link{}
	}
	return l.state[address]
}

func (l *links) available(address string, now time.Time) bool {
	state := l.state[address]
	return state == nil || (!state.busy && !now.Before(state.retryAt))
}

// takeState counts a whole state against the bound.
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

// exchangeDue compares positions with the next partner.
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

// nextPeer returns a partner, now and then any member. While the node lacks a
// state it prefers holders of it, then seeds.
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

// lacksState tells whether a stream is not known yet.
func (t *task) lacksState() bool {
	for _, s := range t.streams {
		if !s.replica.Known() {
			return true
		}
	}
	return false
}

// request returns a comparison of positions.
func (t *task) request() *pb.ExchangeRequest {
	request := &pb.ExchangeRequest{
		Sender:        t.self.GetIncarnation(),
		SenderAddress: t.self.GetNodeAddress(),
		WantState:     true,
	}
	request.Positions = t.positions()
	return request
}

func (t *task) positions() []*pb.StreamPosition {
	var positions []*pb.StreamPosition
	for _, s := range t.streams {
		if p, ok := s.replica.Position(); ok {
			positions = append(positions, p)
		}
	}
	return positions
}

// exchange sends a message to a peer. Round counts the messages that follow
// one comparison.
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

// answered notes that a peer is alive.
func (t *task) reportAlive(now time.Time, incarnation uint64) {
	if m, ok := t.mem.State.Member(incarnation); ok {
		t.evictor.ReportAlive(now, m)
	}
}

func (t *task) reportSuspect(now time.Time, incarnation uint64) {
	if m, ok := t.mem.State.Member(incarnation); ok {
		t.evictor.ReportSuspect(now, m, nil)
	}
}

// take folds what a peer has passed on.
func (t *task) applyPeerData(positions []*pb.StreamPosition, records []*pb.StreamRecord, states []*pb.StreamState) {
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

func (t *task) installState(state *pb.StreamState) {
	s := t.stream(state.GetStream())
	if s == nil {
		return
	}
	before := s.replica.Next()
	installed, err := s.replica.InstallState(state)
	if err != nil {
		t.logger.Warn("control: whole state of a peer is not valid")
	}
	if installed {
		t.advanced(s, before, false)
	}
}

// followUp continues with the same peer while one side lacks records and the
// last message made progress.
func (t *task) followUp(m exchangeDone) {
	if m.round >= maxFollowUps {
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

// progressed tells whether the node has advanced since it sent the request.
func (t *task) advancedSince(request *pb.ExchangeRequest, s *stream) bool {
	for _, p := range request.GetPositions() {
		if p.GetStream() == s.name {
			return s.replica.Next() > p.GetNextOffset()
		}
	}
	_, hasPosition := s.replica.Position()
	return hasPosition
}

// lackedBy returns the records that the peer lacks. A peer that ignored the
// same records in the last message does not get them again.
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
	t.addMissing(response, m.request, now)
	t.addStateHolders(response, m.request)
	t.recordServed(response, m.request.GetSenderAddress())
	response.Positions = t.positions()
	t.c.stats.message(KindExchangeIn, proto.Size(m.request), proto.Size(response), nil)
	m.reply <- response
	t.exchangeWithSender(now, m.request)
}

// fill adds what the sender lacks.
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

func nextOffset(positions []*pb.StreamPosition, stream string) (uint64, bool) {
	for _, p := range positions {
		if p.GetStream() == stream {
			return p.GetNextOffset(), true
		}
	}
	return 0, false
}

// askSender asks a sender that is ahead and did not pass on all it has.
func (t *task) exchangeWithSender(now time.Time, request *pb.ExchangeRequest) {
	address := request.GetSenderAddress()
	if address == "" || address == t.self.GetNodeAddress() || !t.links.available(address, now) {
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

// pushRecords passes new records on to some partners.
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

// pushTargets draws some partners without an exchange in progress.
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

// errNoAnswer stands for a probe that another incarnation answered.
var errOtherIncarnation = errors.New("control: another incarnation answered")
