// Package streamlog holds the interface to an append-only log with offsets.
package streamlog

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Names of the streams on the platform's log.
const (
	CatalogueStream = "catalogue"
	MembersStream   = "members"
)

// Record is one record of a stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Batch is the result of one read. Earliest is the lowest offset that the log
// still retains and Next is the offset that the next append will get.
type Batch struct {
	Records  []Record
	Earliest uint64
	Next     uint64
}

// Log is the platform's append-only log service. Implementations are safe for
// concurrent use.
type Log interface {
	// Append adds one record and returns its offset. An error that matches
	// ErrAppendUnknown means that the append may have taken effect; an error
	// that matches ErrRefused means that it has not.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns at most limit records from offset from on. A from below
	// the earliest retained offset yields records from the earliest one; the
	// caller compares Batch.Earliest.
	Read(ctx context.Context, stream string, from uint64, limit int) (Batch, error)
}

// Kinds of errors of the log; match them with errors.Is.
var (
	// ErrAppendUnknown marks an append whose answer was lost.
	ErrAppendUnknown = errors.New("log service: the append may have taken effect; look for the record before you repeat it")
	// ErrRefused marks a request that the log refused and that had no effect.
	ErrRefused = errors.New("log service: the request was refused and had no effect; send it again later")
	// ErrUnavailable marks a read that failed.
	ErrUnavailable = errors.New("log service: the service did not answer; reads go on when it is back")
)
