package roster

import (
	"fmt"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// The topic of the members may also be written by other programs, so a record
// is accepted only within these bounds.
const (
	// maxNameBytes is the maximum length of each name.
	maxNameBytes = 255
	// maxSlots is the maximum number of slots of a target. A target with a much
	// larger number, announced by mistake, would receive nearly all requests.
	maxSlots = 1 << 20
	// maxCounter is the exclusive upper bound of incarnations and revisions.
	// Incarnations are Unix times in nanoseconds. A node that receives an
	// announcement about itself with a higher incarnation switches to the next
	// number, so a next number must exist.
	maxCounter = 1 << 62
	// maxDrainedTargets is the maximum number of other targets that have drained.
	maxDrainedTargets = 64
)

// ErrInvalidRecord reports a record that does not hold a valid announcement.
var ErrInvalidRecord = errors.New("roster: the record is not a valid announcement; correct the program that wrote it (records of other members stay in effect)")

// Encode returns the record of an announcement for the store.
func Encode(m *pb.RelayMember) ([]byte, error) { return proto.Marshal(m) }

// Decode decodes the record that the store holds under a key, which is the name
// of a VM. A returned error matches ErrInvalidRecord.
func Decode(key string, record []byte) (*pb.RelayMember, error) {
	m := &pb.RelayMember{}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(record, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
	}
	if m.GetVm() != key {
		return nil, fmt.Errorf("%w: the VM in the record differs from the key of the record", ErrInvalidRecord)
	}
	if err := validate(m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
	}
	return m, nil
}

// validate returns an error that says why an announcement cannot be used.
func validate(m *pb.RelayMember) error {
	for name, value := range map[string]string{
		"vm": m.GetVm(), "zone": m.GetZone(), "region": m.GetRegion(), "address": m.GetAddress(),
		"service": m.GetService(), "target_id": m.GetTargetId(),
	} {
		if len(value) > maxNameBytes {
			return errors.Newf("%s is longer than %d bytes", name, maxNameBytes)
		}
	}
	if m.GetVm() == "" {
		return errors.New("vm is missing")
	}
	if err := validateAddress(m.GetAddress()); err != nil {
		return err
	}
	if m.GetSlots() > maxSlots {
		return errors.Newf("%d slots are more than %d", m.GetSlots(), maxSlots)
	}
	if len(m.GetDrainedTargets()) > maxDrainedTargets {
		return errors.Newf("%d targets that have drained are more than %d", len(m.GetDrainedTargets()), maxDrainedTargets)
	}
	for _, d := range m.GetDrainedTargets() {
		if len(d.GetTargetId()) > maxNameBytes {
			return errors.Newf("the ID of a target that has drained is longer than %d bytes", maxNameBytes)
		}
	}
	if m.GetIncarnation() >= maxCounter || m.GetRevision() >= maxCounter {
		return errors.Newf("incarnation %d or revision %d is out of range", m.GetIncarnation(), m.GetRevision())
	}
	return nil
}

func validateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrapf(err, "address %q", address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 || host == "" {
		return errors.Newf("address %q has no host or no port from 1 to 65535", address)
	}
	return nil
}
