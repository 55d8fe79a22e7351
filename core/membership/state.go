package membership

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// MaxRetired bounds the gone incarnations kept: about four days of 2,100
	// restarts each, far longer than a key is kept.
	MaxRetired = 8192
	// MaxMembers bounds the table, twice the number of members planned.
	MaxMembers = 20_000
	// MaxNameBytes bounds the names in a member record.
	MaxNameBytes = 253
	// MaxBatch bounds the records of one append, about 60 KB of joins.
	MaxBatch = 512
)

// Kinds of errors; match them with errors.Is.
var (
	// ErrGap marks a record above the next offset.
	ErrGap = errors.New("membership: records are missing before this one; read from the next offset, or install a whole state")
	// ErrSkipped marks a record without effect because it is not valid.
	ErrSkipped = errors.New("membership: the record is not valid and was skipped; check who writes to the stream")
	// ErrBadState marks a whole state that cannot be used.
	ErrBadState = errors.New("membership: the encoded state is not valid; ask another peer, or fold the stream")
	// ErrInvalidMember marks a member that must not be announced.
	ErrInvalidMember = errors.New("membership: the member is not valid; correct the settings of the node or the announcement of its target")
)

// Member is one node and the target beside it. Equal strings are shared.
type Member struct {
	Incarnation uint64
	Joined      int64
	VM          string
	Service     string
	Zone        string
	Region      string
	// Address is the listener for nodes, IP:port.
	Address     string
	Slots       uint32
	Connections uint32
}

// Removal is a member that the fold removed.
type Removal struct {
	Member  *Member
	Evicted bool
}

// Effect is what the fold did with one record.
type Effect struct {
	Joined  []*Member
	Removed []Removal
	// Checkpoint is set for a checkpoint record, and Covered is its offset.
	Checkpoint       bool
	CheckpointOffset uint64
	// Skipped matches ErrSkipped when the record or part of it is not valid.
	Skipped error
}

// State is the fold of the members stream; see NewState.
type State struct {
	next    uint64
	table   table
	gone    []*pb.Leave
	goneBy  index[*pb.Leave]
	address map[string]uint64
	names   map[string]string
	view    *Snapshot
}

// NewState returns the state before offset 0.
func NewState() *State {
	return &State{
		table:   newTable(),
		address: map[string]uint64{},
		names:   map[string]string{},
	}
}

// Next returns the offset after the last folded record.
func (s *State) Next() uint64 { return s.next }

// Member returns a present member.
func (s *State) Member(incarnation uint64) (*Member, bool) {
	return s.table.members.get(incarnation)
}

// Retired tells whether an incarnation has left, was evicted or was replaced, and
// which successor holds its keys; 0 means none.
func (s *State) Retired(incarnation uint64) (successor uint64, gone bool) {
	l, ok := s.goneBy.get(incarnation)
	return l.GetSuccessor(), ok
}

// Apply folds the record at offset. A record below Next has no effect; a
// record above it yields an error that matches ErrGap and changes nothing.
func (s *State) Apply(offset uint64, data []byte) (Effect, error) {
	if offset < s.next {
		return Effect{}, nil
	}
	if offset > s.next {
		return Effect{}, errors.Wrapf(ErrGap, "record %d after %d", offset, s.next)
	}
	s.next++
	batch := &pb.MembersBatch{}
	if err := proto.Unmarshal(data, batch); err != nil {
		return Effect{Skipped: errors.Wrapf(ErrSkipped, "record %d: %v", offset, err)}, nil
	}
	effect := Effect{}
	for i, record := range batch.GetRecords() {
		if err := s.record(record, &effect); err != nil {
			effect.Skipped = errors.Wrapf(ErrSkipped, "record %d, item %d: %v", offset, i, err)
		}
	}
	return effect, nil
}

func (s *State) record(record *pb.MembersRecord, effect *Effect) error {
	switch r := record.GetRecord().(type) {
	case *pb.MembersRecord_Join:
		return s.join(r.Join, effect)
	case *pb.MembersRecord_Leave:
		return s.leave(r.Leave, effect)
	case *pb.MembersRecord_Evict:
		return s.evict(r.Evict, effect)
	case *pb.MembersRecord_Checkpoint:
		effect.Checkpoint = true
		effect.CheckpointOffset = r.Checkpoint.GetNextOffset()
		return nil
	default:
		return errors.New("it has no known kind")
	}
}

// ValidateMember checks a member before it is announced and when it is folded.
// The error matches ErrInvalidMember and names the field.
func ValidateMember(m *pb.Member) error {
	if m.GetIncarnation() == 0 {
		return errors.Wrap(ErrInvalidMember, "incarnation is 0")
	}
	names := [][2]string{{"vm", m.GetVm()}, {"service", m.GetService()}, {"availability_zone", m.GetAvailabilityZone()}}
	for _, name := range names {
		if name[1] == "" || len(name[1]) > MaxNameBytes {
			return errors.Wrapf(ErrInvalidMember, "%s has %d bytes instead of 1 to %d", name[0], len(name[1]), MaxNameBytes)
		}
	}
	if len(m.GetRegion()) > MaxNameBytes {
		return errors.Wrapf(ErrInvalidMember, "region has %d bytes instead of at most %d", len(m.GetRegion()), MaxNameBytes)
	}
	if address, err := netip.ParseAddrPort(m.GetNodeAddress()); err != nil || address.Port() == 0 {
		return errors.Wrapf(ErrInvalidMember, "node_address %.60q is not IP:port", m.GetNodeAddress())
	}
	return nil
}

func (s *State) join(j *pb.Join, effect *Effect) error {
	m := j.GetMember()
	if err := ValidateMember(m); err != nil {
		return err
	}
	if _, gone := s.goneBy.get(m.GetIncarnation()); gone {
		return nil
	}
	if old, ok := s.table.members.get(m.GetIncarnation()); ok {
		s.update(old, m, effect)
		return nil
	}
	if s.table.count >= MaxMembers {
		return errors.Errorf("the table has %d members already; remove nodes, or raise MaxMembers", MaxMembers)
	}
	if old, ok := s.table.members.get(j.GetReplaces()); ok && old.VM == m.GetVm() {
		s.remove(old, 0, false, effect)
	}
	s.replaceAddress(m.GetNodeAddress(), effect)
	s.add(m, effect)
	return nil
}

// update takes over a newer announcement of the same incarnation. The time is
// that of one node, so an older repeated record is recognised.
func (s *State) update(old *Member, m *pb.Member, effect *Effect) {
	if m.GetJoinedUnixNanos() <= old.Joined {
		return
	}
	if m.GetNodeAddress() != old.Address {
		s.replaceAddress(m.GetNodeAddress(), effect)
	}
	s.unindex(old)
	s.add(m, effect)
}

func (s *State) replaceAddress(address string, effect *Effect) {
	if old, ok := s.table.members.get(s.address[address]); ok {
		s.remove(old, 0, false, effect)
	}
}

func (s *State) add(m *pb.Member, effect *Effect) {
	member := s.compact(m)
	s.table.put(member)
	s.address[member.Address] = member.Incarnation
	effect.Joined = append(effect.Joined, member)
}

func (s *State) unindex(m *Member) {
	s.table.remove(m)
	if s.address[m.Address] == m.Incarnation {
		delete(s.address, m.Address)
	}
}

func (s *State) remove(m *Member, successor uint64, evicted bool, effect *Effect) {
	s.unindex(m)
	s.bury(m.Incarnation, successor)
	effect.Removed = append(effect.Removed, Removal{Member: m, Evicted: evicted})
}

func (s *State) leave(l *pb.Leave, effect *Effect) error {
	if l.GetIncarnation() == 0 {
		return errors.New("a leave names no incarnation")
	}
	if m, ok := s.table.members.get(l.GetIncarnation()); ok {
		s.remove(m, l.GetSuccessor(), false, effect)
		return nil
	}
	s.bury(l.GetIncarnation(), l.GetSuccessor())
	return nil
}

// evict has no effect on an incarnation that is not present, so a repeated or
// late eviction cannot hit the next incarnation of the same VM.
func (s *State) evict(e *pb.Evict, effect *Effect) error {
	if e.GetIncarnation() == 0 {
		return errors.New("an eviction names no incarnation")
	}
	if m, ok := s.table.members.get(e.GetIncarnation()); ok {
		s.remove(m, 0, true, effect)
	}
	return nil
}

// bury remembers a gone incarnation. A leave that arrives after an eviction
// still adds the successor.
func (s *State) bury(incarnation, successor uint64) {
	if old, ok := s.goneBy.get(incarnation); ok {
		if old.GetSuccessor() == 0 && successor != 0 {
			s.renew(old, successor)
		}
		return
	}
	l := &pb.Leave{Incarnation: incarnation, Successor: successor}
	s.gone = append(s.gone, l)
	s.goneBy.put(incarnation, l)
	if len(s.gone) > MaxRetired {
		s.goneBy.remove(s.gone[0].GetIncarnation())
		s.gone[0] = nil
		s.gone = s.gone[1:]
	}
}

// renew replaces the record instead of changing it, because snapshots share it.
func (s *State) renew(old *pb.Leave, successor uint64) {
	l := &pb.Leave{Incarnation: old.GetIncarnation(), Successor: successor}
	s.gone[slices.Index(s.gone, old)] = l
	s.goneBy.put(l.GetIncarnation(), l)
}

func (s *State) compact(m *pb.Member) *Member {
	return &Member{
		Incarnation: m.GetIncarnation(),
		Joined:      m.GetJoinedUnixNanos(),
		VM:          m.GetVm(),
		Service:     s.intern(m.GetService()),
		Zone:        s.intern(m.GetAvailabilityZone()),
		Region:      s.intern(m.GetRegion()),
		Address:     m.GetNodeAddress(),
		Slots:       m.GetSlots(),
		Connections: m.GetConnections(),
	}
}

func (s *State) intern(name string) string {
	if shared, ok := s.names[name]; ok {
		return shared
	}
	s.names[name] = name
	return name
}

// Proto returns the schema form of a member.
func (m *Member) Proto() *pb.Member {
	return &pb.Member{
		Incarnation:      m.Incarnation,
		Vm:               m.VM,
		Service:          m.Service,
		AvailabilityZone: m.Zone,
		Region:           m.Region,
		NodeAddress:      m.Address,
		Slots:            m.Slots,
		Connections:      m.Connections,
		JoinedUnixNanos:  m.Joined,
	}
}

// String returns service, VM and incarnation.
func (m *Member) String() string {
	return fmt.Sprintf("%s on %s (%016x)", m.Service, m.VM, m.Incarnation)
}
