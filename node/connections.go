package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// lingerTime bounds the wait for connections of callers that have been accepted
// and have not sent a request yet.
const lingerTime = time.Second

// connections follows the connections of one HTTP server that are new or carry
// a request. net/http drops a request that it reads after Shutdown has begun,
// so a planned stop waits for them before. It is safe for concurrent use.
type connections struct {
	mutex sync.Mutex
	busy  map[net.Conn]struct{}
}

func newConnections() *connections {
	return &connections{busy: make(map[net.Conn]struct{})}
}

// follow is the ConnState hook of the server.
func (c *connections) follow(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.busy[conn] = struct{}{}
	default:
		delete(c.busy, conn)
	}
}

func (c *connections) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.busy)
}

// await waits until no connection is busy. It returns false if the context
// ends, or the linger time is over, before.
func (c *connections) await(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, lingerTime)
	defer cancel()
	return poll(ctx, func() bool { return c.count() == 0 })
}
