package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestGrace limits the wait for accepted connections of callers on
// which no request has arrived yet.
const firstRequestGrace = time.Second

// activeConnections tracks the connections of one HTTP server that are new or
// have a request in progress. net/http drops a request that it reads after
// Shutdown was called, so a graceful shutdown waits for these connections
// first. It is safe for concurrent use.
type activeConnections struct {
	mutex  sync.Mutex
	active map[net.Conn]struct{}
}

func newActiveConnections() *activeConnections {
	return &activeConnections{active: make(map[net.Conn]struct{})}
}

// track is the ConnState hook of the server.
func (c *activeConnections) track(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.active[conn] = struct{}{}
	default:
		delete(c.active, conn)
	}
}

func (c *activeConnections) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.active)
}

// awaitIdle waits until no connection is active. It returns false if the
// context ends or firstRequestGrace elapses first.
func (c *activeConnections) awaitIdle(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, firstRequestGrace)
	defer cancel()
	return waitUntil(ctx, func() bool { return c.count() == 0 })
}
