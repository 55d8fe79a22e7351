package once

import (
	"fmt"
	"slices"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// DefaultStartWindow is the age from which a key is no longer started.
	DefaultStartWindow = 10 * time.Minute
	// DefaultMaxClockSkew is the maximum time by which the issue time of a key
	// may be ahead of the clock of its executor. It covers the clock
	// differences between VMs.
	DefaultMaxClockSkew = time.Minute
	// DefaultMaxRetention limits the retention that a call may request.
	DefaultMaxRetention = 24 * time.Hour
	// DefaultMaxBytes limits the memory of all records of a table.
	DefaultMaxBytes = 16 << 20
	// DefaultMaxResponseBytes limits the size of one stored response.
	DefaultMaxResponseBytes = 256 << 10
	// DefaultMinEvictionAge is the age that a key must have reached before its
	// record can be evicted for lack of memory. Retries after a lost response
	// arrive within this time.
	DefaultMinEvictionAge = time.Minute
	// DefaultChunkBytes limits the size of the records in one chunk of a
	// handover.
	DefaultChunkBytes = 256 << 10
	// DefaultMaxAdopted limits the number of incarnations whose tables one
	// table adopts.
	DefaultMaxAdopted = 64

	// recordBytes is the memory charge of one record without its response: the
	// record, its entries in the map and in the heap, and the result.
	recordBytes = 320
	// responseReserveBytes is reserved for the response of each running
	// operation, so that typical responses still fit when the table is nearly
	// full.
	responseReserveBytes = 1 << 10
	// responseQuotaDivisor is the divisor of MaxBytes that gives the memory up to
	// which responses are kept in preference to old records. Without this
	// share, the records of a service with a high request rate would fill the
	// table, and no response would be kept even briefly.
	responseQuotaDivisor = 4
)

// A Config configures a table. Numbers that are zero or negative select the
// defaults; the comments of the Default constants describe them.
type Config struct {
	// Service is the service of the executor.
	Service string
	// Executor is the incarnation that the table belongs to. An incarnation
	// must never be used for a second table.
	Executor         uint64
	StartWindow      time.Duration
	MaxClockSkew     time.Duration
	MaxRetention     time.Duration
	MaxBytes         int64
	MaxResponseBytes int64
	// MinEvictionAge is the age that a key must have reached before its record
	// can be evicted for lack of memory.
	MinEvictionAge time.Duration
	ChunkBytes     int64
	MaxAdopted     int
}

// orDefault returns value if it is positive, and fallback otherwise.
func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

func (c Config) withDefaults() Config {
	c.StartWindow = orDefault(c.StartWindow, DefaultStartWindow)
	c.MaxClockSkew = orDefault(c.MaxClockSkew, DefaultMaxClockSkew)
	c.MaxRetention = orDefault(c.MaxRetention, DefaultMaxRetention)
	c.MaxBytes = orDefault(c.MaxBytes, DefaultMaxBytes)
	c.MaxResponseBytes = orDefault(c.MaxResponseBytes, DefaultMaxResponseBytes)
	c.MinEvictionAge = orDefault(c.MinEvictionAge, DefaultMinEvictionAge)
	c.ChunkBytes = orDefault(c.ChunkBytes, DefaultChunkBytes)
	c.MaxAdopted = orDefault(c.MaxAdopted, DefaultMaxAdopted)
	return c
}

// A Table is the deduplication table of one executor.
type Table struct {
	config Config
	// created carries the monotonic reading that later times are compared with.
	created time.Time
	// latest is the latest time that was passed to the table, in nanoseconds
	// since 1970.
	latest int64
	// own is the ledger of the table's own executor. adopted holds the ledgers of
	// other incarnations.
	own     *ledger
	adopted map[uint64]*ledger
	// adoptionOrder lists the adopted incarnations in the order of adoption.
	adoptionOrder []uint64
	// bytes is the total memory charge; totalResponseBytes is the part of it
	// that stored responses account for.
	bytes, totalResponseBytes int64
	running                   int
	// responses lists the records with a response, oldest first.
	responses responseQueue
}

// New returns an empty table. In production, now must carry a monotonic
// reading, as the result of time.Now does.
func New(config Config, now time.Time) *Table {
	return &Table{
		config:  config.withDefaults(),
		created: now,
		latest:  now.UnixNano(),
		own:     newLedger(config.Executor),
		adopted: make(map[uint64]*ledger),
	}
}

// Running returns the number of started keys without a final outcome.
func (t *Table) Running() int { return t.running }

// Records returns the number of records, including those of adopted tables.
func (t *Table) Records() int {
	n := len(t.own.records)
	for _, l := range t.adopted {
		n += len(l.records)
	}
	return n
}

// Bytes returns the memory charge of the table, which is compared with
// Config.MaxBytes.
func (t *Table) Bytes() int64 { return t.bytes }

// Closed reports whether the table has been closed and starts no new keys.
func (t *Table) Closed() bool { return t.own.closed }

// Begin decides about an attempt to run the operation of a key. The result is
// kept for the retention beyond the start window; the retention is limited to
// Config.MaxRetention. If the decision is Start, the owner must call Finish or
// MarkNotStarted exactly once for the key.
//
// A refusal has one of these errors:
//
//   - key_malformed: not run if the key cannot be parsed or names another
//     service, unknown if its issue time is too far in the future.
//   - key_conflict: not run; the key was used with another fingerprint.
//   - key_expired: not run if that is proven, otherwise unknown.
//   - executor_gone: unknown; the table does not have the complete table of the
//     incarnation that the key names.
//   - draining: not run; the table is closed, or the incarnation whose table was
//     adopted never ran the key.
//   - overloaded: not run; the table is full, or the key was issued at or before
//     the start floor.
func (t *Table) Begin(now time.Time, key string, fp Fingerprint, retention time.Duration) Decision {
	at := t.advance(now)
	l, k, decision := t.lookUp(at, key, fp)
	if decision.Kind != 0 {
		return decision
	}
	r, refusal := t.add(at, l, k, fp)
	if refusal != nil {
		return refuse(refusal)
	}
	r.running = true
	r.expiresAt = int64(min(max(retention, 0), t.config.MaxRetention))
	t.running++
	t.bytes += responseReserveBytes
	return Decision{Kind: Start}
}

// Resolve returns the outcome of a key without ever starting its operation. A
// key that has not been started gets the final outcome not run with reason
// cancelled, so that a delayed attempt cannot run after the caller has received
// this outcome.
func (t *Table) Resolve(now time.Time, key string, fp Fingerprint) Decision {
	at := t.advance(now)
	l, k, decision := t.lookUp(at, key, fp)
	if decision.Kind != 0 {
		return decision
	}
	r, refusal := t.add(at, l, k, fp)
	if refusal != nil {
		return refuse(refusal)
	}
	t.finish(at, l, r, Result{Outcome: outcome.NotRun, Reason: outcome.Cancelled})
	return Decision{Kind: Replay, Result: r.result}
}

// Finish records the final outcome of a started key. It returns false and changes
// nothing if the key is not running. This happens if Export has given the key the
// final outcome unknown; the owner may still return the response to the attempt
// that received it.
//
// A response that is larger than Config.MaxResponseBytes, or for which there is
// not enough memory, is not stored: the record then has the outcome, the status
// and BodyOmitted.
func (t *Table) Finish(now time.Time, key string, result Result) bool {
	at := t.advance(now)
	k, err := ParseKey(key)
	if err != nil || k.Executor != t.own.executor {
		return false
	}
	r := t.own.records[idOf(k)]
	if r == nil || !r.running {
		return false
	}
	t.stopRunning(r)
	t.finish(at, t.own, r, result)
	return true
}

// MarkNotStarted records that the gate refused a started key before any byte
// was sent to the target. The refusal is final for the key. It returns false if
// the key is not running.
func (t *Table) MarkNotStarted(now time.Time, key string, reason outcome.Reason) bool {
	return t.Finish(now, key, Result{Outcome: outcome.NotRun, Reason: reason})
}

// Expire drops expired records. The owner calls it about once a second; a late
// call only delays the release of memory.
func (t *Table) Expire(now time.Time) {
	t.expire(t.advance(now))
}

// Close stops the table from starting new keys. Running keys finish as usual. A
// closed table cannot be reopened.
func (t *Table) Close(now time.Time) {
	t.advance(now)
	t.own.closed = true
}

// advance returns the current time of the executor in nanoseconds since 1970. The
// returned times never decrease.
func (t *Table) advance(now time.Time) int64 {
	at := t.created.UnixNano() + int64(now.Sub(t.created))
	t.latest = max(t.latest, at)
	return t.latest
}

// lookUp finds the ledger of a key. The returned decision has no kind if the
// key has no record and may be added.
func (t *Table) lookUp(at int64, key string, fp Fingerprint) (*ledger, Key, Decision) {
	k, err := ParseKey(key)
	if err != nil {
		return nil, k, refuse(err)
	}
	l, err := t.ledgerOf(k)
	if err != nil {
		return nil, k, refuse(err)
	}
	if r := l.records[idOf(k)]; r != nil {
		return l, k, decideRecorded(r, fp)
	}
	if err := t.decideAbsent(at, l, k); err != nil {
		return l, k, refuse(err)
	}
	return l, k, Decision{}
}

// ledgerOf returns the ledger of the executor of a key.
func (t *Table) ledgerOf(k Key) (*ledger, *outcome.Error) {
	l := t.own
	if k.Executor != t.own.executor {
		l = t.adopted[k.Executor]
	}
	if l == nil {
		return nil, outcome.New(outcome.Unknown, outcome.ExecutorGone, "this node does not answer for the executor of the key")
	}
	if k.Service != t.config.Service {
		return nil, malformedKey("it names another service than its executor")
	}
	return l, nil
}

// decideRecorded decides about a key that has a record.
func decideRecorded(r *record, fp Fingerprint) Decision {
	if r.fingerprint != fp {
		return refuse(outcome.New(outcome.NotRun, outcome.KeyConflict, "the key was used for a request with other content"))
	}
	if r.running {
		return Decision{Kind: Wait}
	}
	return Decision{Kind: Replay, Result: r.result}
}

// decideAbsent returns the reason why a key without a record is not started, or
// nil if it may be started. The outcome is not run only if the refusal remains
// in force for the key.
func (t *Table) decideAbsent(at int64, l *ledger, k Key) *outcome.Error {
	issued := k.Issued.UnixNano()
	window := int64(t.config.StartWindow)
	switch {
	case !l.complete():
		return outcome.New(outcome.Unknown, outcome.ExecutorGone, "the table of the executor was handed over only in part")
	case issued <= l.droppedUpTo:
		return outcome.New(outcome.Unknown, outcome.KeyExpired, "the record of the key may have been dropped")
	case l.closed:
		return outcome.New(outcome.NotRun, outcome.Draining, "the executor of the key is leaving and never ran it; use a new key")
	case issued-at > int64(t.config.MaxClockSkew):
		return outcome.New(outcome.Unknown, outcome.KeyMalformed, fmt.Sprintf("the key was issued %s ahead of the clock of its executor", time.Duration(issued-at)))
	case issued <= at-window:
		return outcome.New(outcome.NotRun, outcome.KeyExpired, "the key was never run and is too old to be started; use a new key")
	case issued <= l.startFloor:
		return outcome.New(outcome.NotRun, outcome.Overloaded, "the key was issued before the at-most-once table was full; use a new key")
	default:
		return nil
	}
}

// add adds a new record to the ledger. If there is not enough memory, it
// refuses the key permanently by raising the start floor.
func (t *Table) add(at int64, l *ledger, k Key, fp Fingerprint) (*record, *outcome.Error) {
	if !t.ensureSpace(at, recordBytes+responseReserveBytes) {
		l.startFloor = max(l.startFloor, k.Issued.UnixNano())
		return nil, t.fullError(at)
	}
	r := &record{id: idOf(k), fingerprint: fp}
	l.records[r.id] = r
	t.bytes += recordBytes
	return r, nil
}

// fullError returns the refusal of a full table. The suggested retry delay ends
// when the record that expires first may be dropped or evicted.
func (t *Table) fullError(at int64) *outcome.Error {
	err := outcome.New(outcome.NotRun, outcome.Overloaded, "the at-most-once table of the target is full; use a new key")
	if len(t.own.possiblyRun) > 0 {
		first := t.own.possiblyRun[0]
		freeAt := min(first.expiresAt, first.id.issued+int64(t.config.MinEvictionAge))
		err.RetryAfter = time.Duration(max(freeAt-at, 0))
	}
	return err
}

// stopRunning ends the running state of a record and frees its response
// reserve.
func (t *Table) stopRunning(r *record) {
	r.running = false
	t.running--
	t.bytes -= responseReserveBytes
}

// finish makes a record final. On entry, r.expiresAt holds the requested
// retention.
func (t *Table) finish(at int64, l *ledger, r *record, result Result) {
	base := max(at, r.id.issued) + int64(t.config.StartWindow)
	switch result.Outcome {
	case outcome.Completed:
		r.expiresAt = base + r.expiresAt
		r.result = t.storableResult(at, result)
	case outcome.NotRun:
		r.expiresAt = base
		r.result = &Result{Outcome: outcome.NotRun, Reason: result.Reason}
	default:
		r.expiresAt = base + r.expiresAt
		r.result = &Result{Outcome: outcome.Unknown, Reason: result.Reason}
	}
	l.addFinal(r)
	t.chargeResponse(r)
}

// storableResult returns the result as it is stored, with or without its
// response.
func (t *Table) storableResult(at int64, result Result) *Result {
	size := result.responseBytes()
	if size > t.config.MaxResponseBytes || !t.ensureSpaceForResponse(at, size) {
		result = result.withoutResponse()
	}
	return &result
}

// expire drops expired records and removes expired adoptions.
func (t *Table) expire(at int64) {
	t.expireLedger(at, t.own)
	for _, executor := range t.adoptionOrder {
		t.expireLedger(at, t.adopted[executor])
	}
	t.adoptionOrder = slices.DeleteFunc(t.adoptionOrder, func(executor uint64) bool {
		return t.removeExpiredAdoption(at, executor)
	})
	t.responses.trim()
}

// expireLedger drops the expired records of one ledger.
func (t *Table) expireLedger(at int64, l *ledger) {
	for len(l.possiblyRun) > 0 && l.possiblyRun[0].expiresAt <= at {
		t.release(l.dropPossiblyRun())
	}
	for len(l.notRun) > 0 && l.notRun[0].expiresAt <= at {
		t.release(l.dropNotRun())
	}
}
