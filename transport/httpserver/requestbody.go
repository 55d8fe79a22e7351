package httpserver

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// maxUnreadBodyBytes limits how much of a body is read that its handler has not
// read. A larger rest ends the connection.
const maxUnreadBodyBytes = 256 << 10

// writeContinue tells the client to send the body of the request that is being read,
// after the responses to earlier requests.
func (c *conn) writeContinue() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.pipeline.idle() && !c.ended {
		c.progress.Wait()
	}
	if c.ended {
		return net.ErrClosed
	}
	// The mutex is released while writing, because a client that does not read would
	// otherwise delay the shutdown.
	c.writing = true
	c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(c.server.config.WriteTimeout))
	_, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	c.mu.Lock()
	c.writing = false
	if err != nil {
		// The client would read the response to the request as the rest of the interim
		// response.
		c.abortLocked()
	}
	return err
}

// trackedBody is the body of a request. It tells a client that waits for it to send
// the body, and records how reading ended.
type trackedBody struct {
	io.ReadCloser
	conn *conn
	// awaited is set while the client waits for an interim response before it sends
	// the body.
	awaited bool
	// err is the error of the last read; io.EOF means that the body is complete.
	err error
}

// trackBody replaces the body of a request by one that is tracked.
func (c *conn) trackBody(r *http.Request) *trackedBody {
	body := &trackedBody{ReadCloser: r.Body, conn: c}
	if r.Body == http.NoBody {
		body.err = io.EOF
		return body
	}
	c.setReadTimeout(c.server.config.BodyTimeout)
	body.awaited = httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue")
	r.Body = body
	return body
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	if b.awaited {
		b.awaited = false
		if err := b.conn.writeContinue(); err != nil {
			b.err = err
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// finish reads the rest of the body. It returns false if the end of the body was not
// found, so that it is unknown where the next request begins. A client that waits
// for an interim response may omit the body.
func (b *trackedBody) finish() bool {
	if b.err == nil && !b.awaited {
		// The error is recorded by Read.
		_, _ = io.CopyN(io.Discard, b, maxUnreadBodyBytes)
	}
	return errors.Is(b.err, io.EOF)
}
