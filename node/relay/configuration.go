package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/core/freshness"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/telemetry"
)

// configuration holds the version in force. The version never decreases.
type configuration struct {
	decode func(document []byte) (*ingress.Table, error)
	// redact removes the keys of client accounts from a document.
	redact func(document []byte) ([]byte, error)
	logger *zap.Logger
	table  atomic.Pointer[ingress.Table]
	// tracker records the time as of which the version in force is known to be the
	// newest.
	tracker *freshness.Tracker
	// storeEra is the latest era of the store that this node has seen.
	storeEra era.Latest
	// decodeFailed is set if the newest document on the store was rejected, so that
	// an older version is in force.
	decodeFailed atomic.Bool
	mu           sync.Mutex
	// document is the encoded form of table, with digests in place of keys. It is passed
	// on to nodes that cannot reach the store.
	document []byte
	// holding is set while versions are held back until the node has compared with
	// others, and held is the newest of them.
	holding bool
	held    *heldVersion
}

// heldVersion is a version that is known but not in force yet.
type heldVersion struct {
	table    *ingress.Table
	document []byte
	from     origin
}

func newConfiguration(decode func([]byte) (*ingress.Table, error), start time.Time, logger *zap.Logger) *configuration {
	return &configuration{decode: decode, logger: logger, tracker: freshness.NewTracker(start)}
}

// version returns the version in force, or 0 if there is none.
func (c *configuration) version() uint64 {
	if table := c.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// maxConnections returns the number of connections that a target of a service
// accepts, or 0 if it is unknown.
func (c *configuration) maxConnections(service string) int {
	table := c.table.Load()
	if table == nil {
		return 0
	}
	known, _ := table.Service(service)
	return known.MaxConnections
}

// origin identifies where a document came from.
type origin struct {
	// name is "store", or "peer" for another node.
	name string
	// address is the address of the peer.
	address string
	// age is the staleness of the peer's replica when it responded.
	age time.Duration
}

var storeOrigin = origin{name: "store"}

// fields returns the log fields of an origin.
func (o origin) fields() []zap.Field {
	if o.address == "" {
		return []zap.Field{zap.String("from", o.name)}
	}
	return []zap.Field{zap.String("from", o.name), zap.String("address", o.address), ageField("age_there", o.age)}
}

// ageField returns the log field of a staleness, or no field if it is unknown.
func ageField(name string, age time.Duration) zap.Field {
	if age == freshness.Unknown {
		return zap.Skip()
	}
	return zap.Duration(name, age)
}

// ageFields returns the log fields for the staleness of the version in force and for the
// era of the store.
func (c *configuration) ageFields() []zap.Field {
	now := time.Now()
	return []zap.Field{ageField("config_age", c.tracker.Age(now)), ageField("store_age", c.tracker.StoreAge(now)),
		zap.Uint64("store_era", uint64(c.storeEra.Get()))}
}

// offer puts a document in force if its version is newer. A document that cannot be
// decoded has no effect.
func (c *configuration) offer(document []byte, from origin) {
	table, document, err := c.read(document)
	if from.name == storeOrigin.name {
		c.decodeFailed.Store(err != nil)
	}
	if err != nil {
		c.logger.Warn("A configuration was refused; the earlier one stays in force.",
			append(from.fields(), telemetry.ErrorField(err))...)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	offered := heldVersion{table: table, document: document, from: from}
	if c.storeEra.Get() == era.Unknown {
		// A store that does not tell its era loses nothing.
		c.endHold()
	}
	if !c.holding {
		c.install(offered)
		return
	}
	if c.held == nil || table.Version > c.held.table.Version {
		c.held = &offered
		c.logger.Info("A configuration waits until the node has compared with others.",
			append(from.fields(), zap.Uint64("version", table.Version), zap.Uint64("store_era", uint64(c.storeEra.Get())))...)
	}
}

// read decodes a document, and returns it as it may be kept and passed on.
func (c *configuration) read(document []byte) (*ingress.Table, []byte, error) {
	table, err := c.decode(document)
	if err != nil || table.Accounts == nil {
		return table, document, err
	}
	redacted, err := c.redact(document)
	return table, redacted, err
}

// install puts a version in force if it is newer. c.mu must be held.
func (c *configuration) install(v heldVersion) {
	before := c.version()
	if c.table.Load() != nil && v.table.Version <= before {
		return
	}
	c.document = v.document
	c.table.Store(v.table)
	fields := append(v.from.fields(), zap.Uint64("version", v.table.Version), zap.Uint64("before", before), zap.Int("routes", v.table.RouteCount()))
	c.logger.Info("A configuration is in force.", append(fields, c.ageFields()...)...)
}

// hold keeps versions back until release is called. A node that starts after the store
// has returned from a copy would otherwise serve an older version than the other nodes,
// and confirm it to them.
func (c *configuration) hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding = true
	c.tracker.Suspend(maxTime)
}

// maxTime is later than any time that a process measures.
var maxTime = time.Now().Add(freshness.Unknown / 2)

// release puts the newest version that was held back in force.
func (c *configuration) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endHold()
}

// endHold is release with c.mu held.
func (c *configuration) endHold() {
	if !c.holding {
		return
	}
	c.holding = false
	c.tracker.Suspend(time.Now())
	if c.held != nil {
		c.install(*c.held)
	}
	c.held = nil
}

// isHolding reports whether versions are held back.
func (c *configuration) isHolding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holding
}

// isHoldingVersion reports whether a version is held back.
func (c *configuration) isHoldingVersion() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held != nil
}

// knownVersion returns the newest version that the node knows, whether or not it is in
// force.
func (c *configuration) knownVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held != nil {
		return c.held.table.Version
	}
	return c.version()
}

// startEra makes the configuration unconfirmed until the given time, because the store
// has returned from a copy.
func (c *configuration) startEra(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holding {
		c.tracker.Suspend(until)
	}
}

// apply offers the records of the store.
func (c *configuration) apply(records []Record) {
	for _, record := range records {
		if len(record.Value) > 0 {
			c.offer(record.Value, storeOrigin)
		}
	}
}

// recordResponse records a response of the store received at respondedAt. It showed
// that the version in force was the newest as of asOf, unless the newest document
// could not be decoded. A zero asOf means that the response did not cover all
// records.
func (c *configuration) recordResponse(asOf, respondedAt time.Time) {
	c.tracker.StoreResponded(respondedAt)
	if !c.decodeFailed.Load() && !asOf.IsZero() {
		c.tracker.ConfirmStore(asOf)
	}
}

// documentNewerThan returns the document in force if its version is higher than the
// given one, and nil otherwise.
func (c *configuration) documentNewerThan(version uint64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version() > version {
		return c.document
	}
	return nil
}

// sample returns the values of the metrics.
func (c *configuration) sample() telemetry.ConfigurationSample {
	now := time.Now()
	return telemetry.ConfigurationSample{Version: c.version(), Age: c.tracker.Age(now), StoreAge: c.tracker.StoreAge(now), StoreEra: c.storeEra.Get().Number()}
}
