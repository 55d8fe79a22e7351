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
	// MaxRetired is the number of retired incarnations that are remembered. It
	// covers about four days of 2,100 restarts each, far longer than
	// idempotency keys are kept.
	MaxRetired = 8192
	// MaxMembers limits the size of the table to twice the planned number of
	// members.
	MaxMembers = 20_000
	// MaxNameBytes is the maximum length of a name in a member record.
	MaxNameBytes = 253
	// MaxBatch is the maximum number of records in one append, about 60 KB of
	// joins.
	MaxBatch = 512
)

// Errors returned by this package; match them with errors.Is.
var (
	// ErrGap reports a record whose offset is above the next one to apply.
	ErrGap = errors.New("membership: records are missing before this one; read from the next offset, or install a full state")
	// ErrSkipped reports a record that had no effect, or only a partial one,
	// because it is not valid.
	ErrSkipped = errors.New("membership: the record is not valid and was skipped; check who writes to the stream")
	// ErrBadState reports an encoded state that cannot be decoded or is not
	// valid.
	ErrBadState = errors.New("membership: the encoded state is not valid; request it from another peer, or rebuild it from the stream")
	// ErrInvalidMember reports a member that must not be announced.
	ErrInvalidMember = errors.New("membership: the member is not valid; correct the settings of the node or the announcement of its target")
)

// A Member is one node and the target beside it. Equal strings of different
// members share their memory.
type Member struct {
	Incarnation uint64
	Joined      int64
	VM          string
	Service     string
	Zone        string
	Region      string
	// Address is the address on which the node listens for other nodes, as
	// IP:port.
	Address     string
	Slots       uint32
	Connections uint32
}

// A Removal is a member that a record removed from the table.
type Removal struct {
	Member  *Member
	Evicted bool
}

// An Effect describes what applying one record has changed.
type Effect struct {
	Joined  []*Member
	Removed []Removal
	// Checkpoint is true if the record is a checkpoint. CheckpointOffset is
	// then the offset up to which the checkpoint covers the stream.
	Checkpoint       bool
	CheckpointOffset uint64
	// Skipped matches ErrSkipped if the record or a part of it is not valid.
	Skipped error
}

// A State is the state that results from applying the members stream. The zero
// value is not usable; call NewState.
type State struct {
	next         uint64
	table        table
	retired      []*pb.Leave
	retiredIndex cowIndex[*pb.Leave]
	// address maps a node address to the incarnation of the member that has it.
	address map[string]uint64
	// interned holds one copy of each name, so that members share equal strings.
	interned map[string]string
	view     *Snapshot
}

// NewState returns the state before offset 0 of the stream.
func NewState() *State {
	return &State{
		table:    newTable(),
		address:  map[string]uint64{},
		interned: map[string]string{},
	}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// Member returns the member with the given incarnation.
func (s *State) Member(incarnation uint64) (*Member, bool) {
	return s.table.members.get(incarnation)
}

// Retired reports whether an incarnation has left, was evicted or was replaced.
// It also returns the successor that holds the idempotency keys of that
// incarnation, or 0 if there is none.
func (s *State) Retired(incarnation uint64) (successor uint64, retired bool) {
	l, ok := s.retiredIndex.get(incarnation)
	return l.GetSuccessor(), ok
}

// Apply applies the record at the given offset. A record below Next has no
// effect. A record above Next changes nothing and returns an error that matches
// ErrGap.
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

// record applies one item of a batch.
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
		return errors.New("the record is of an unknown kind")
	}
}

// ValidateMember checks a member before it is announced and when its join is
// applied. A returned error matches ErrInvalidMember and names the field.
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

// join adds a member or updates its announcement. It has no effect on a retired
// incarnation.
func (s *State) join(j *pb.Join, effect *Effect) error {
	m := j.GetMember()
	if err := ValidateMember(m); err != nil {
		return err
	}
	if _, retired := s.retiredIndex.get(m.GetIncarnation()); retired {
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

// update replaces a member by a newer announcement of the same incarnation.
// Both announcement times come from the clock of the same node, so comparing
// them detects a repeated older record.
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

// replaceAddress removes the member that has the given node address.
func (s *State) replaceAddress(address string, effect *Effect) {
	if old, ok := s.table.members.get(s.address[address]); ok {
		s.remove(old, 0, false, effect)
	}
}

func (s *State) add(m *pb.Member, effect *Effect) {
	member := s.memberFromProto(m)
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

// remove removes a member and retires its incarnation.
func (s *State) remove(m *Member, successor uint64, evicted bool, effect *Effect) {
	s.unindex(m)
	s.retire(m.Incarnation, successor)
	effect.Removed = append(effect.Removed, Removal{Member: m, Evicted: evicted})
}

// leave removes a member that has stopped. It also retires an incarnation that
// is not in the table, so that a delayed join cannot add it.
func (s *State) leave(l *pb.Leave, effect *Effect) error {
	if l.GetIncarnation() == 0 {
		return errors.New("the leave has no incarnation")
	}
	if m, ok := s.table.members.get(l.GetIncarnation()); ok {
		s.remove(m, l.GetSuccessor(), false, effect)
		return nil
	}
	s.retire(l.GetIncarnation(), l.GetSuccessor())
	return nil
}

// evict has no effect on an incarnation that is not in the table, so a repeated
// or late eviction cannot remove the next incarnation of the same VM.
func (s *State) evict(e *pb.Evict, effect *Effect) error {
	if e.GetIncarnation() == 0 {
		return errors.New("the eviction has no incarnation")
	}
	if m, ok := s.table.members.get(e.GetIncarnation()); ok {
		s.remove(m, 0, true, effect)
	}
	return nil
}

// retire remembers a removed incarnation. A leave that arrives after an
// eviction still sets the successor.
func (s *State) retire(incarnation, successor uint64) {
	if old, ok := s.retiredIndex.get(incarnation); ok {
		if old.GetSuccessor() == 0 && successor != 0 {
			s.setSuccessor(old, successor)
		}
		return
	}
	l := &pb.Leave{Incarnation: incarnation, Successor: successor}
	s.retired = append(s.retired, l)
	s.retiredIndex.put(incarnation, l)
	if len(s.retired) > MaxRetired {
		s.retiredIndex.remove(s.retired[0].GetIncarnation())
		s.retired[0] = nil
		s.retired = s.retired[1:]
	}
}

// setSuccessor replaces the record instead of modifying it, because snapshots
// share it.
func (s *State) setSuccessor(old *pb.Leave, successor uint64) {
	l := &pb.Leave{Incarnation: old.GetIncarnation(), Successor: successor}
	s.retired[slices.Index(s.retired, old)] = l
	s.retiredIndex.put(l.GetIncarnation(), l)
}

func (s *State) memberFromProto(m *pb.Member) *Member {
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
	if shared, ok := s.interned[name]; ok {
		return shared
	}
	s.interned[name] = name
	return name
}

// Proto returns the member as a schema message.
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

// String returns the service, VM and incarnation of the member.
func (m *Member) String() string {
	return fmt.Sprintf("%s on %s (%016x)", m.Service, m.VM, m.Incarnation)
}
