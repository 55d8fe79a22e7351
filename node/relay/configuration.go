package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/freshness"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/telemetry"
)

// configuration holds the version in force. It never goes back to an older one.
type configuration struct {
	decode func(document []byte) (*ingress.Table, error)
	logger *zap.Logger
	table  atomic.Pointer[ingress.Table]
	// fresh tells as of when the version in force is the newest.
	tracker *freshness.Tracker
	// unreadable tells that the newest document of the store was refused, so that an
	// earlier version is in force.
	decodeFailed atomic.Bool
	mu           sync.Mutex
	// document is the source of table, for nodes that cannot reach the store.
	document []byte
}

func newConfiguration(decode func([]byte) (*ingress.Table, error), start time.Time, logger *zap.Logger) *configuration {
	return &configuration{decode: decode, logger: logger, tracker: freshness.NewTracker(start)}
}

// version returns the version in force, 0 if none is known.
func (c *configuration) version() uint64 {
	if table := c.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// connections returns how many connections a target of a service accepts, 0 if
// that is not known.
func (c *configuration) maxConnections(service string) int {
	table := c.table.Load()
	if table == nil {
		return 0
	}
	known, _ := table.Service(service)
	return known.MaxConnections
}

// origin is where a document came from.
type origin struct {
	// name is "store", or "peer" for another node.
	name string
	// address of the other node.
	address string
	// age of the other node's copy when it answered.
	age time.Duration
}

var storeOrigin = origin{name: "store"}

// fields are the log fields of an origin.
func (o origin) fields() []zap.Field {
	if o.address == "" {
		return []zap.Field{zap.String("from", o.name)}
	}
	return []zap.Field{zap.String("from", o.name), zap.String("address", o.address), ageField("age_there", o.age)}
}

// ageField is the log field of an age; it is left out if the age is unknown.
func ageField(name string, age time.Duration) zap.Field {
	if age == freshness.Unknown {
		return zap.Skip()
	}
	return zap.Duration(name, age)
}

// ages are the log fields that tell how current the version in force is.
func (c *configuration) ageFields() []zap.Field {
	now := time.Now()
	return []zap.Field{ageField("config_age", c.tracker.Age(now)), ageField("store_age", c.tracker.StoreAge(now))}
}

// offer puts a document in force if it is newer. A document that cannot be read
// leaves the version in force as it is.
func (c *configuration) offer(document []byte, from origin) {
	table, err := c.decode(document)
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
	before := c.version()
	if c.table.Load() != nil && table.Version <= before {
		return
	}
	c.document = document
	c.table.Store(table)
	fields := append(from.fields(), zap.Uint64("version", table.Version), zap.Uint64("before", before), zap.Int("routes", table.Routes()))
	c.logger.Info("A configuration is in force.", append(fields, c.ageFields()...)...)
}

// apply takes in records of the store.
func (c *configuration) apply(records []Record) {
	for _, record := range records {
		if len(record.Value) > 0 {
			c.offer(record.Value, storeOrigin)
		}
	}
}

// heard notes an answer of the store which showed the version in force to be the
// newest as of a moment, unless its newest document could not be read.
func (c *configuration) recordResponse(asOf, respondedAt time.Time) {
	c.tracker.Answered(respondedAt)
	if !c.decodeFailed.Load() && !asOf.IsZero() {
		c.tracker.ConfirmStore(asOf)
	}
}

// newerThan returns the document if its version is above the given one.
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
	return telemetry.ConfigurationSample{Version: c.version(), Age: c.tracker.Age(now), StoreAge: c.tracker.StoreAge(now)}
}
