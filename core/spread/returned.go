package spread

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/era"
)

// The log may return from a copy that lacks its latest records, and give their offsets out
// again; see package era. A replica then compares the records before the end of the log
// with its own. If they agree, the log lacks nothing or only records that the replica has,
// which are appended again at their offsets, so that all replicas stay the same. If they
// differ, other records have taken these offsets, and the replica applies nothing more.

// ErrLogDiverged reports that the log has returned from a copy and that other records have
// taken the offsets of records that the replica has applied.
var ErrLogDiverged = errors.New("spread: the log has returned from a copy and holds other records at offsets that were applied; the state stays in force and takes no changes: restart the node, and apply the changes of the last seconds before the return again")

// maxComparedRecords is the maximum number of records that are compared after a return.
const maxComparedRecords = 16

// returned is the state of a replica after the log has returned from a copy, until it is
// known whether it has the same records.
type returned struct {
	// era is the new era of the log, or era.Unknown if the log has not returned.
	era era.Era
	// diverged is set if the log has other records.
	diverged bool
	// lost is set while the log lacks records of the replica.
	lost bool
}

// Era returns the era of the log in which the offsets of the replica hold.
func (r *Replica) Era() era.Era { return r.era }

// Verifying reports whether the log has returned from a copy and its records have not
// been found to agree yet. Nothing must be appended meanwhile, since the log may have lost
// records that belong there.
func (r *Replica) Verifying() bool { return r.returned.era != era.Unknown }

// observeEra records the era of a read. A replica without state has nothing to compare.
func (r *Replica) observeEra(e era.Era) {
	if !r.hasState || r.era == era.Unknown {
		if e != era.Unknown {
			r.era = e
		}
		return
	}
	if !r.era.Same(e) && r.returned.era != e {
		r.returned = returned{era: e}
	}
}

// compareFrom returns the offset of the first record to compare with the log, given the
// offset before which both have records.
func (r *Replica) compareFrom() uint64 {
	before := min(r.Next(), r.end)
	return max(r.buffer.oldest(), before-min(before, maxComparedRecords))
}

// verify compares the records read from compareFrom with those of the replica.
func (r *Replica) verify(from uint64, records []Record) error {
	if r.returned.diverged {
		return errors.Wrapf(ErrLogDiverged, "stream %s", r.stream)
	}
	before := min(r.Next(), r.end)
	if from != r.compareFrom() {
		// The read began before the end was known.
		return nil
	}
	if before > 0 && !r.agree(records, before) {
		r.returned.diverged = true
		return errors.Wrapf(ErrLogDiverged, "stream %s, offsets %d to %d", r.stream, from, before)
	}
	r.returned.lost = r.end < r.Next()
	if !r.returned.lost {
		r.era = r.returned.era
		r.returned = returned{}
	}
	return nil
}

// agree reports whether the records of the log up to an offset are those of the replica,
// the last one was compared, and one that is no checkpoint. Checkpoints may differ in form.
func (r *Replica) agree(records []Record, before uint64) bool {
	if len(records) == 0 || records[len(records)-1].Offset+1 < before {
		return false
	}
	compared := false
	for _, record := range records {
		if record.Offset >= before {
			break
		}
		own := r.buffer.from(record.Offset, 1)
		if len(own) == 0 {
			return false
		}
		_, ownCheckpoint := r.fold.CheckpointOffset(own[0].Data)
		_, checkpoint := r.fold.CheckpointOffset(record.Data)
		if checkpoint != ownCheckpoint || !checkpoint && !bytes.Equal(own[0].Data, record.Data) {
			return false
		}
		compared = compared || !checkpoint
	}
	return compared
}

// LostRecords returns the records that the log has lost, if the replica has all of them,
// and the offset at which they are to be appended. The log must end there.
func (r *Replica) LostRecords() (records [][]byte, end uint64) {
	if !r.Verifying() || !r.returned.lost || !r.HasRecordsFrom(r.end) {
		return nil, 0
	}
	for _, record := range r.buffer.from(r.end, MaxBufferBytes) {
		data := record.Data
		if _, checkpoint := r.fold.CheckpointOffset(data); checkpoint {
			// The buffer holds it without its state. One of the present state covers
			// later records, so that no reader uses it.
			data = r.fold.CheckpointRecord()
		}
		records = append(records, data)
	}
	return records, r.end
}
