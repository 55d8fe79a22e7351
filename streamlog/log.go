// Package streamlog defines the interface to an append-only log service whose records
// are addressed by offset.
package streamlog

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/era"
)

// Names of the streams in the platform's log. CatalogueStream holds the changes of the
// catalogue, MembersStream the records of the nodes.
const (
	CatalogueStream = "catalogue"
	MembersStream   = "members"
)

// A Record is one record of a stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// A Batch is the result of one read. Earliest is the lowest offset that the log
// still retains, and Next is the offset of the next record to be appended. Era is the
// era of the log; see package era.
type Batch struct {
	Records  []Record
	Earliest uint64
	Next     uint64
	Era      era.Era
}

// A Log is the platform's append-only log service. Implementations are safe for
// concurrent use.
type Log interface {
	// Append appends one record and returns its offset. If the error matches
	// ErrAppendUnknown, the record may have been appended. If it matches ErrRefused,
	// the record was not appended.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// AppendAt appends all records if the stream ends at the offset end, and none
	// otherwise. If the error matches ErrConflict, the stream ends elsewhere; other
	// errors are those of Append.
	AppendAt(ctx context.Context, stream string, records [][]byte, end uint64) error
	// Read returns at most limit records, starting at offset from. If from is below
	// the earliest retained offset, Read starts at the earliest one; callers detect
	// this by comparing from with Batch.Earliest. If from is after the end, Read
	// returns no records.
	Read(ctx context.Context, stream string, from uint64, limit int) (Batch, error)
}

// Errors of a Log. Match them with errors.Is.
var (
	// ErrAppendUnknown is returned for an append whose response was lost, so that its
	// effect is unknown.
	ErrAppendUnknown = errors.New("log service: the append may have taken effect; look for the record before you repeat it")
	// ErrRefused is returned for a request that the log refused and that had no
	// effect.
	ErrRefused = errors.New("log service: the request was refused and had no effect; send it again later")
	// ErrConflict is returned by AppendAt if the stream ends at another offset.
	ErrConflict = errors.New("log service: the stream ends at another offset and nothing was appended; read what was appended first")
	// ErrUnavailable is returned for a read that failed.
	ErrUnavailable = errors.New("log service: the service did not respond; reads resume when it is available again")
)
