package roster

import (
	"fmt"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Others may write to the topic of the members as well, so a record is believed
// only within these bounds.
const (
	// maxName bounds each name in bytes.
	maxName = 255
	// maxSlots bounds the slots of a target. One with more would draw all requests.
	maxSlots = 1 << 20
	// maxNumber bounds incarnation and revision. Incarnations are Unix times in
	// nanoseconds, and a node that is told a later one of itself takes the next
	// number, which must exist.
	maxNumber = 1 << 62
)

// ErrInvalidRecord marks a record that announces no member.
var ErrInvalidRecord = errors.New("roster: the record announces no member; whoever wrote it must correct it, the others hold")

// Encode returns the record of an announcement for the store.
func Encode(m *pb.RelayMember) ([]byte, error) { return proto.Marshal(m) }

// Decode reads the record of a key of the store, which is the name of a VM. Errors
// match ErrRecord.
func Decode(key string, record []byte) (*pb.RelayMember, error) {
	m := &pb.RelayMember{}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(record, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
	}
	if m.GetVm() != key {
		return nil, fmt.Errorf("%w: it is of another VM than its key", ErrInvalidRecord)
	}
	if err := check(m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
	}
	return m, nil
}

// check tells why an announcement cannot be used.
func check(m *pb.RelayMember) error {
	for name, value := range map[string]string{
		"vm": m.GetVm(), "zone": m.GetZone(), "region": m.GetRegion(), "address": m.GetAddress(),
		"service": m.GetService(), "target_id": m.GetTargetId(),
	} {
		if len(value) > maxName {
			return errors.Newf("%s is longer than %d bytes", name, maxName)
		}
	}
	if m.GetVm() == "" {
		return errors.New("vm is missing")
	}
	if err := checkAddress(m.GetAddress()); err != nil {
		return err
	}
	if m.GetSlots() > maxSlots {
		return errors.Newf("%d slots are more than %d", m.GetSlots(), maxSlots)
	}
	if m.GetIncarnation() >= maxNumber || m.GetRevision() >= maxNumber {
		return errors.Newf("incarnation %d or revision %d is out of range", m.GetIncarnation(), m.GetRevision())
	}
	return nil
}

func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrapf(err, "address %q", address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 || host == "" {
		return errors.Newf("address %q has no host or no port from 1 to 65535", address)
	}
	return nil
}
