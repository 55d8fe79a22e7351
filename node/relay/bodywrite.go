package relay

import (
	"net"
	"net/http"
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/internal/socket"
)

const (
	// syncWriteBytes is the size up to which a body is written before the response is
	// read. Such a body fits into the buffers of the sockets.
	syncWriteBytes = 32 << 10
	// lateWriteWait limits the time to write the rest of a body to a target that has
	// already responded that the request has run.
	lateWriteWait = 500 * time.Millisecond
)

// A bodyWrite is the writing of one request. A target may respond before it has read a
// large body, and then read no further, so the response to a large one is read meanwhile.
// A failure to write is not reported: the read shows whether a response has arrived
// before, and fails if none has.
type bodyWrite struct {
	large bool
	// done receives the error, once.
	done chan error
}

// startWrite writes a request, a large one in a new goroutine. Each startWrite must be
// followed by one end.
func (c *targetConn) startWrite(body []byte) bodyWrite {
	w := bodyWrite{large: len(body) > syncWriteBytes, done: make(chan error, 1)}
	if !w.large {
		w.done <- c.write(body)
		return w
	}
	go func() { w.done <- c.write(body) }()
	return w
}

// end ends the writing and reports whether the connection may carry another request. It
// returns once the body is not in use any more. A target that has responded
// with success gets the rest of the body. Otherwise writing ends.
func (w bodyWrite) end(conn *targetConn, result targetResult) bool {
	select {
	case err := <-w.done:
		// A target that has refused a large body may not have read it. The next request
		// would wait behind it.
		return err == nil && !(w.large && result.outcome == outcome.NotRun)
	default:
	}
	if result.outcome == outcome.Completed && result.status < http.StatusMultipleChoices {
		timeout := time.NewTimer(lateWriteWait)
		defer timeout.Stop()
		select {
		case err := <-w.done:
			return err == nil
		case <-timeout.C:
		}
	}
	_ = conn.SetWriteDeadline(time.Unix(1, 0))
	<-w.done
	return false
}

func (c *targetConn) write(body []byte) error {
	if len(body) == 0 {
		_, err := c.Write(c.head)
		return err
	}
	return socket.WriteBuffers(c.Conn, net.Buffers{c.head, body})
}
