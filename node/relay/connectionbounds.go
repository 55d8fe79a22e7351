package relay

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// openPerSlot is the number of connections for each usable slot that may be open,
	// including those of abandoned requests. A target accepts about seven for each slot,
	// and fewer while its queue is long.
	openPerSlot = 2
	// minSpareConnections is the least number of connections beyond the slots, so that
	// two abandoned requests do not keep a target of one slot from work.
	minSpareConnections = 8
	// lingerTime is how long a connection counts whose request was abandoned, unless the
	// target ends it before.
	lingerTime = 2 * time.Second
)

// errTooManyConnections is returned if the target may not accept another connection.
var errTooManyConnections = errors.New("relay: the target still works at abandoned requests and may reset another connection; send the request to another target")

// connectionBounds limits the connections to the target. Beyond its cap, a target resets
// connections, and whether a request on such a connection has run is unknown.
type connectionBounds struct {
	// keep is the number of open connections above which idle ones are closed.
	keep int
	// open is the number of open connections above which none is opened.
	open int
}

func unlimitedConnections() connectionBounds {
	return connectionBounds{keep: math.MaxInt, open: math.MaxInt}
}

// connectionBoundsOf returns the bounds for a number of usable slots and the cap of the
// service, which is 0 if it is unknown.
func connectionBoundsOf(slots, maxConnections int) connectionBounds {
	bounds := connectionBounds{keep: slots, open: max(slots*openPerSlot, slots+minSpareConnections)}
	if maxConnections > 0 {
		bounds.open = max(min(bounds.open, maxConnections), slots)
	}
	return bounds
}

// abandon ends a connection whose request may still be running at the target. The target
// counts the connection until it notices the end, so it counts as open until the target
// has closed its side, or for lingerTime. On the wire this is like a full close: the target
// receives the end of the stream, and a reset as soon as it sends anything. Some targets
// notice only the reset.
func (c *targetConn) abandon() {
	if !c.beginLinger() {
		_ = c.Close()
		return
	}
	go func() {
		var first [1]byte
		if n, _ := c.Conn.Read(first[:]); n > 0 {
			// Without the reset, the target could send more before it notices the end.
			_ = c.resetOnClose()
		}
		_ = c.Close()
	}()
}

// beginLinger closes the sending side and sets the time until which the target may close
// its own. It reports whether the connection now waits for the target.
func (c *targetConn) beginLinger() bool {
	c.ending.Lock()
	defer c.ending.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return false
	}
	c.lingers = true
	return true
}

// interrupt ends the reads and writes of a request whose context has ended. It may run
// after the request, and does not end the wait of an abandoned connection for its target.
func (c *targetConn) interrupt() {
	c.ending.Lock()
	defer c.ending.Unlock()
	if !c.lingers {
		_ = c.SetDeadline(time.Unix(1, 0))
	}
}

// resetOnClose lets Close reset the connection.
func (c *targetConn) resetOnClose() error {
	tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	return tcp.SetLinger(0)
}
