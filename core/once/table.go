package once

import (
	"fmt"
	"slices"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// DefaultStartWindow is the age above which a key is no longer started.
	DefaultStartWindow = 10 * time.Minute
	// DefaultMaxClockSkew is how far in the future of the executor a key may have
	// been issued. It covers the difference between the clocks of VMs.
	DefaultMaxClockSkew = time.Minute
	// DefaultMaxRetention bounds the retention that a call may ask for.
	DefaultMaxRetention = 24 * time.Hour
	// DefaultMaxBytes bounds the memory of all records of a table.
	DefaultMaxBytes = 16 << 20
	// DefaultMaxResponseBytes bounds one kept answer.
	DefaultMaxResponseBytes = 256 << 10
	// DefaultMinEvictionAge is the age of a key below which its record is never
	// dropped for lack of memory. Retries after a lost answer come within it.
	DefaultMinEvictionAge = time.Minute
	// DefaultChunkBytes bounds the answers in one chunk of a handover.
	DefaultChunkBytes = 256 << 10
	// DefaultMaxAdopted bounds the incarnations that one table answers for.
	DefaultMaxAdopted = 64

	// recordBytes is what one record costs without its answer: the record, its
	// slot in the map and in the heap, and the result.
	recordBytes = 320
	// answerReserveBytes is set aside for the answer of a running operation, so
	// that typical answers still fit when the table is nearly full.
	answerReserveBytes = 1 << 10
	// answerShare is the part of MaxBytes, as a divisor, up to which answers
	// have precedence over old records. Without it, the records of a fast
	// service fill the table and no answer is kept even for a moment.
	answerShare = 4
)

// Config describes a table. Zero values select the defaults.
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
	// MinEvictionAge is the age of a key below which its record is never dropped
	// for lack of memory.
	MinEvictionAge time.Duration
	ChunkBytes     int64
	MaxAdopted     int
}

func orDefault[T int | int64 | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
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

// Table is the at-most-once table of one executor.
type Table struct {
	config Config
	// created carries the monotonic reading that later times are compared with.
	created time.Time
	// latest is the latest time seen, in nanoseconds since 1970.
	latest  int64
	own     *ledger
	adopted map[uint64]*ledger
	// order lists the adopted incarnations in the order of adoption.
	order []uint64
	// bytes is the charge of everything; answers is the part of kept answers.
	bytes, answers int64
	running        int
	// answered lists the records with an answer, oldest first.
	answered answerQueue
}

// New returns an empty table. now must carry a monotonic reading in production,
// as time.Now does.
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

// Bytes returns the memory that the records are charged with.
func (t *Table) Bytes() int64 { return t.bytes }

// Closed reports whether the table accepts no new key.
func (t *Table) Closed() bool { return t.own.closed }

// Begin decides about an attempt. retention is how long the result is kept
// beyond the start window; it is bounded by Config.MaxRetention. If the kind is
// Start, the owner must call Finish or MarkNotStarted exactly once for the key.
//
// Errors of a refusal: key_malformed and key_conflict (not run), key_expired
// (not run if that is proved, otherwise unknown), executor_gone (unknown: the
// key names another incarnation), draining (not run: the table is closed, or
// the key was never run by the incarnation that left), overloaded (not run: the
// table is full).
func (t *Table) Begin(now time.Time, key string, fp Fingerprint, retention time.Duration) Decision {
	at := t.advance(now)
	l, k, decided := t.lookUp(at, key, fp)
	if decided.Kind != 0 {
		return decided
	}
	r, refusal := t.add(at, l, k, fp)
	if refusal != nil {
		return refuse(refusal)
	}
	r.running = true
	r.until = int64(min(max(retention, 0), t.config.MaxRetention))
	t.running++
	t.bytes += answerReserveBytes
	return Decision{Kind: Start}
}

// Resolve asks for the outcome of a key and starts nothing. A key that has not
// been started gets the final outcome not run, reason cancelled, so that a
// delayed attempt can't run after the answer.
func (t *Table) Resolve(now time.Time, key string, fp Fingerprint) Decision {
	at := t.advance(now)
	l, k, decided := t.lookUp(at, key, fp)
	if decided.Kind != 0 {
		return decided
	}
	r, refusal := t.add(at, l, k, fp)
	if refusal != nil {
		return refuse(refusal)
	}
	t.finish(at, l, r, Result{Outcome: outcome.NotRun, Reason: outcome.Cancelled})
	return Decision{Kind: Replay, Result: r.result}
}

// Finish records the final outcome of a started key. It returns false, and
// changes nothing, if the key is not running; after an Export that settled the
// key, the owner may still return the answer to the attempt that got it.
//
// An answer that is larger than Config.MaxResponseBytes, or for which there is no
// room, is not kept: the record then has the outcome, the status and
// BodyOmitted.
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

// MarkNotStarted records that the gate refused a started key before any byte went
// to the target. The refusal is final for the key. It returns false if the key
// is not running.
func (t *Table) MarkNotStarted(now time.Time, key string, reason outcome.Reason) bool {
	return t.Finish(now, key, Result{Outcome: outcome.NotRun, Reason: reason})
}

// Expire drops the records that are due. The owner calls it about once a
// second; a late call keeps memory occupied and has no other effect.
func (t *Table) Expire(now time.Time) {
	t.expire(t.advance(now))
}

// Close makes the table accept no new key. Running keys finish as usual. A
// closed table is never opened again.
func (t *Table) Close(now time.Time) {
	t.advance(now)
	t.own.closed = true
}

// advance returns the time of the executor in nanoseconds since 1970.
func (t *Table) advance(now time.Time) int64 {
	at := t.created.UnixNano() + int64(now.Sub(t.created))
	t.latest = max(t.latest, at)
	return t.latest
}

// lookUp finds the ledger of a key. The decision has no kind if the key has no
// record and may be added.
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
		return l, k, decideKnown(r, fp)
	}
	if err := t.decideAbsent(at, l, k); err != nil {
		return l, k, refuse(err)
	}
	return l, k, Decision{}
}

func (t *Table) ledgerOf(k Key) (*ledger, *outcome.Error) {
	l := t.own
	if k.Executor != t.own.executor {
		l = t.adopted[k.Executor]
	}
	if l == nil {
		return nil, outcome.New(outcome.Unknown, outcome.ExecutorGone, "this node does not answer for the executor of the key")
	}
	if k.Service != t.config.Service {
		return nil, malformed("it names another service than its executor")
	}
	return l, nil
}

func decideKnown(r *record, fp Fingerprint) Decision {
	if r.fingerprint != fp {
		return refuse(outcome.New(outcome.NotRun, outcome.KeyConflict, "the key was used for a request with other content"))
	}
	if r.running {
		return Decision{Kind: Wait}
	}
	return Decision{Kind: Replay, Result: r.result}
}

// decideAbsent returns why a key without a record is not started, or nil if it
// may be. Only a refusal that stays in force for the key has outcome not run.
func (t *Table) decideAbsent(at int64, l *ledger, k Key) *outcome.Error {
	issued := k.Issued.UnixNano()
	window := int64(t.config.StartWindow)
	switch {
	case !l.complete():
		return outcome.New(outcome.Unknown, outcome.ExecutorGone, "the table of the executor was handed over only in part")
	case issued <= l.forgotten:
		return outcome.New(outcome.Unknown, outcome.KeyExpired, "the record of the key may have been dropped")
	case l.closed:
		return outcome.New(outcome.NotRun, outcome.Draining, "the executor of the key is leaving and never ran it; use a new key")
	case issued-at > int64(t.config.MaxClockSkew):
		return outcome.New(outcome.Unknown, outcome.KeyMalformed, fmt.Sprintf("the key was issued %s ahead of the clock of its executor", time.Duration(issued-at)))
	case issued <= at-window:
		return outcome.New(outcome.NotRun, outcome.KeyExpired, "the key was never run and is too old to be started; use a new key")
	case issued <= l.floor:
		return outcome.New(outcome.NotRun, outcome.Overloaded, "the key was issued before the at-most-once table was full; use a new key")
	default:
		return nil
	}
}

// add puts a new record into the ledger, or refuses the key for good if there
// is no room.
func (t *Table) add(at int64, l *ledger, k Key, fp Fingerprint) (*record, *outcome.Error) {
	if !t.makeRoom(at, recordBytes+answerReserveBytes) {
		l.floor = max(l.floor, k.Issued.UnixNano())
		return nil, t.full(at)
	}
	r := &record{id: idOf(k), fingerprint: fp}
	l.records[r.id] = r
	t.bytes += recordBytes
	return r, nil
}

// full returns the refusal of a full table. The wait that it suggests ends when
// the record that is due first may be dropped.
func (t *Table) full(at int64) *outcome.Error {
	err := outcome.New(outcome.NotRun, outcome.Overloaded, "the at-most-once table of the target is full; use a new key")
	if len(t.own.kept) > 0 {
		first := t.own.kept[0]
		free := min(first.until, first.id.issued+int64(t.config.MinEvictionAge))
		err.RetryAfter = time.Duration(max(free-at, 0))
	}
	return err
}

func (t *Table) stopRunning(r *record) {
	r.running = false
	t.running--
	t.bytes -= answerReserveBytes
}

// finish makes a record final. r.until holds its retention.
func (t *Table) finish(at int64, l *ledger, r *record, result Result) {
	base := max(at, r.id.issued) + int64(t.config.StartWindow)
	switch result.Outcome {
	case outcome.Completed:
		r.until = base + r.until
		r.result = t.keepAnswer(at, result)
	case outcome.NotRun:
		r.until = base
		r.result = &Result{Outcome: outcome.NotRun, Reason: result.Reason}
	default:
		r.until = base + r.until
		r.result = &Result{Outcome: outcome.Unknown, Reason: result.Reason}
	}
	l.settle(r)
	t.holdAnswer(r)
}

// keepAnswer returns the result as it is kept, with or without its answer.
func (t *Table) keepAnswer(at int64, result Result) *Result {
	size := result.answerBytes()
	if size > t.config.MaxResponseBytes || !t.makeRoomForAnswer(at, size) {
		result = result.withoutAnswer()
	}
	return &result
}

func (t *Table) expire(at int64) {
	t.expireLedger(at, t.own)
	for _, executor := range t.order {
		t.expireLedger(at, t.adopted[executor])
	}
	t.order = slices.DeleteFunc(t.order, func(executor uint64) bool {
		return t.dropAdopted(at, executor)
	})
	t.answered.trim()
}

func (t *Table) expireLedger(at int64, l *ledger) {
	for len(l.kept) > 0 && l.kept[0].until <= at {
		t.release(l.dropKept())
	}
	for len(l.refused) > 0 && l.refused[0].until <= at {
		t.release(l.dropRefused())
	}
}
