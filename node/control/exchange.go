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
	maxRounds = 32
	// statesPerSecond bounds the whole states that a node passes on, because
	// each has megabytes; starting nodes ask again.
	statesPerSecond = 8
	// randomPeerEvery is the number of comparisons after which one goes to a
	// random member instead of a partner, so that groups of partners which lost
	// each other find together.
	randomPeerEvery = 30
	// maxPeerBackoff bounds the wait after failed exchanges with one partner.
	maxPeerBackoff = 30 * time.Second
)

// links holds the partners of the node and what is known about them.
type links struct {
	partners []*membership.Member
	state    map[string]*link
	turn     int
	count    int
	seedTurn int
	due      time.Time
	states   float64
	statesAt time.Time
}

// link is the state of the exchange with one address.
type link struct {
	busy    bool
	failed  int
	retryAt time.Time
}

func newLinks() links {
	return links{state: map[string]*link{}, states: statesPerSecond}
}

// set takes the partners over and forgets addresses without partner.
func (l *links) set(partners []*membership.Member) {
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

func (l *links) at(address string) *link {
	if l.state[address] == nil {
		l.state[address] = &link{}
	}
	return l.state[address]
}

func (l *links) ready(address string, now time.Time) bool {
	state := l.state[address]
	return state == nil || (!state.busy && !now.Before(state.retryAt))
}

// takeState counts a whole state against the bound.
func (l *links) takeState(now time.Time) bool {
	elapsed := now.Sub(l.statesAt).Seconds()
	l.statesAt = now
	l.states = min(statesPerSecond, l.states+elapsed*statesPerSecond)
	if l.states < 1 {
		return false
	}
	l.states--
	return true
}

// exchangeDue compares positions with the next partner.
func (t *task) exchangeDue(now time.Time) {
	if now.Before(t.links.due) {
		return
	}
	address, incarnation, ok := t.nextPeer(now)
	t.links.due = now.Add(t.nextExchange())
	if ok {
		t.exchange(address, incarnation, t.request(), 0)
	}
}

// nextPeer returns a partner, now and then any member. While the node lacks a
// state it prefers holders of it, then seeds.
func (t *task) nextPeer(now time.Time) (string, uint64, bool) {
	l := &t.links
	l.count++
	if holder, ok := t.takeHolder(now); ok {
		return holder, 0, true
	}
	if t.lacksState() && l.count%2 == 0 {
		if seed, ok := t.nextSeed(now); ok {
			return seed, 0, true
		}
	}
	if l.count%randomPeerEvery == 0 {
		if m := t.randomMember(); m != nil && l.ready(m.Address, now) {
			return m.Address, m.Incarnation, true
		}
	}
	for range l.partners {
		l.turn = (l.turn + 1) % len(l.partners)
		m := l.partners[l.turn]
		if l.ready(m.Address, now) {
			return m.Address, m.Incarnation, true
		}
	}
	seed, ok := t.nextSeed(now)
	return seed, 0, ok
}

func (t *task) nextSeed(now time.Time) (string, bool) {
	for range t.cfg.Seeds {
		t.links.seedTurn = (t.links.seedTurn + 1) % len(t.cfg.Seeds)
		seed := t.cfg.Seeds[t.links.seedTurn]
		if seed != t.self.GetNodeAddress() && t.links.ready(seed, now) {
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
		if !s.replica.CaughtUp() {
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
func (t *task) exchange(address string, incarnation uint64, request *pb.ExchangeRequest, round int) {
	t.links.at(address).busy = true
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
	state := t.links.at(m.address)
	state.busy = false
	t.registrationSent(m)
	if m.err != nil {
		state.failed++
		state.retryAt = now.Add(t.jitter(backoff(t.cfg.Intervals.Exchange, state.failed, maxPeerBackoff)))
		t.suspect(now, m.incarnation)
		return
	}
	state.failed = 0
	t.answered(now, m.response.GetResponder())
	if m.response.GetResponder() != m.incarnation {
		t.suspect(now, m.incarnation)
	}
	t.take(m.response.GetPositions(), m.response.GetRecords(), m.response.GetStates())
	t.hurry(now, m.response.GetStateHolders())
	t.followUp(m)
}

// answered notes that a peer is alive.
func (t *task) answered(now time.Time, incarnation uint64) {
	if m, ok := t.mem.State.Member(incarnation); ok {
		t.evictor.ReportAlive(now, m)
	}
}

func (t *task) suspect(now time.Time, incarnation uint64) {
	if m, ok := t.mem.State.Member(incarnation); ok {
		t.evictor.ReportSuspect(now, m, nil)
	}
}

// take folds what a peer has passed on.
func (t *task) take(positions []*pb.StreamPosition, records []*pb.StreamRecord, states []*pb.StreamState) {
	for _, p := range positions {
		if s := t.stream(p.GetStream()); s != nil && s.replica.ObservePeerPosition(p) {
			t.moved(s, 0, false)
		}
	}
	for _, state := range states {
		t.takeState(state)
	}
	for _, s := range t.streams {
		before, known := s.replica.Next(), s.replica.CaughtUp()
		if s.replica.ApplyPeerRecords(records) {
			t.moved(s, before, known)
		}
	}
}

func (t *task) takeState(state *pb.StreamState) {
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
		t.moved(s, before, false)
	}
}

// followUp continues with the same peer while one side lacks records and the
// last message made progress.
func (t *task) followUp(m exchangeDone) {
	if m.round >= maxRounds {
		return
	}
	request := t.request()
	behind := false
	for _, p := range m.response.GetPositions() {
		s := t.stream(p.GetStream())
		if s == nil {
			continue
		}
		behind = behind || (s.replica.Next() < p.GetNextOffset() && t.progressed(m.request, s))
		request.Records = append(request.Records, t.lackedBy(p, s, m)...)
	}
	if behind || len(request.Records) > 0 {
		t.exchange(m.address, m.incarnation, request, m.round+1)
	}
}

// progressed tells whether the node has advanced since it sent the request.
func (t *task) progressed(request *pb.ExchangeRequest, s *stream) bool {
	for _, p := range request.GetPositions() {
		if p.GetStream() == s.name {
			return s.replica.Next() > p.GetNextOffset()
		}
	}
	_, has := s.replica.Position()
	return has
}

// lackedBy returns the records that the peer lacks. A peer that ignored the
// same records in the last message does not get them again.
func (t *task) lackedBy(p *pb.StreamPosition, s *stream, m exchangeDone) []*pb.StreamRecord {
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

type exchangeIn struct {
	request *pb.ExchangeRequest
	reply   chan<- *pb.ExchangeResponse
}

func (exchangeIn) kind() Kind { return KindExchangeIn }

func (m exchangeIn) handle(t *task) {
	now := time.Now()
	t.answered(now, m.request.GetSender())
	t.take(m.request.GetPositions(), m.request.GetRecords(), nil)
	response := &pb.ExchangeResponse{Responder: t.self.GetIncarnation()}
	response.RegistrationsAccepted = t.accept(now, m.request.GetRegistrations())
	t.fill(response, m.request, now)
	t.nameHolders(response, m.request)
	t.noteServed(response, m.request.GetSenderAddress())
	response.Positions = t.positions()
	t.c.stats.message(KindExchangeIn, proto.Size(m.request), proto.Size(response), nil)
	m.reply <- response
	t.askSender(now, m.request)
}

// fill adds what the sender lacks.
func (t *task) fill(response *pb.ExchangeResponse, request *pb.ExchangeRequest, now time.Time) {
	for _, s := range t.streams {
		next, has := nextOf(request.GetPositions(), s.name)
		if has && next >= s.replica.Next() {
			continue
		}
		if s.replica.HasRecordsFrom(next) {
			response.Records = append(response.Records, s.replica.Records(next, spread.MaxMessageBytes)...)
			continue
		}
		if !request.GetWantState() || !s.replica.CaughtUp() || !t.links.takeState(now) {
			continue
		}
		response.States = append(response.States, s.replica.State())
	}
}

func nextOf(positions []*pb.StreamPosition, stream string) (uint64, bool) {
	for _, p := range positions {
		if p.GetStream() == stream {
			return p.GetNextOffset(), true
		}
	}
	return 0, false
}

// askSender asks a sender that is ahead and did not pass on all it has.
func (t *task) askSender(now time.Time, request *pb.ExchangeRequest) {
	address := request.GetSenderAddress()
	if address == "" || address == t.self.GetNodeAddress() || !t.links.ready(address, now) {
		return
	}
	for _, p := range request.GetPositions() {
		s := t.stream(p.GetStream())
		if s != nil && s.replica.Next() < p.GetNextOffset() {
			t.exchange(address, request.GetSender(), t.request(), 0)
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
	for _, m := range t.pushTargets() {
		request := t.request()
		request.WantState = false
		request.Records = records
		t.exchange(m.Address, m.Incarnation, request, 0)
	}
}

// pushTargets draws some partners without an exchange in progress.
func (t *task) pushTargets() []*membership.Member {
	now := time.Now()
	var targets []*membership.Member
	for _, i := range t.rng.Perm(len(t.links.partners)) {
		m := t.links.partners[i]
		if len(targets) < spread.Fanout && t.links.ready(m.Address, now) {
			targets = append(targets, m)
		}
	}
	return targets
}

// errNoAnswer stands for a probe that another incarnation answered.
var errNoAnswer = errors.New("control: another incarnation answered")
