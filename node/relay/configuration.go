package relay

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/telemetry"
)

// configuration holds the version in force. It never goes back to an older one.
type configuration struct {
	decode func(document []byte) (*ingress.Table, error)
	logger *zap.Logger
	table  atomic.Pointer[ingress.Table]
	mu     sync.Mutex
	// document is the source of table, for nodes that cannot reach the store.
	document []byte
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
func (c *configuration) connections(service string) int {
	table := c.table.Load()
	if table == nil {
		return 0
	}
	known, _ := table.Service(service)
	return known.MaxConnections
}

// offer puts a document in force if it is newer. A document that cannot be read
// leaves the version in force as it is.
func (c *configuration) offer(document []byte, from string) {
	table, err := c.decode(document)
	if err != nil {
		c.logger.Warn("A configuration was refused; the earlier one stays in force.",
			zap.String("from", from), telemetry.ErrorField(err))
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
	c.logger.Info("A configuration is in force.", zap.String("from", from),
		zap.Uint64("version", table.Version), zap.Uint64("before", before), zap.Int("routes", table.Routes()))
}

// newerThan returns the document if its version is above the given one.
func (c *configuration) newerThan(version uint64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version() > version {
		return c.document
	}
	return nil
}
