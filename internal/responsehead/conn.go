package responsehead

import (
	"context"
	"net"
	"net/http/httptrace"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// A Conn is a connection that an http.Transport uses without TLS, for requests with a
// context of Trace. A read that completes a malformed head returns ErrMalformed in its
// place, so that the transport neither returns the response nor uses the connection again.
type Conn struct {
	net.Conn
	// head holds the beginning of a head. It is not used while inBody is set.
	head []byte
	// inBody is set from the end of the head of a final response to the next response.
	// Only the goroutine that reads uses it.
	inBody bool
}

// NewConn returns a Conn that uses the connection.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if checkErr := c.check(data[:n]); checkErr != nil {
		return 0, checkErr
	}
	return n, err
}

// check checks the heads that end in the data. Data behind that of a final response belongs
// to its body or to no response.
func (c *Conn) check(data []byte) error {
	if c.inBody {
		return nil
	}
	c.head = append(c.head, data...)
	for length := Length(c.head); length > 0; length = Length(c.head) {
		status, err := Check(c.head[:length])
		if err != nil {
			return err
		}
		if !outcome.IsInterimStatus(status) {
			c.inBody, c.head = true, nil
			return nil
		}
		c.head = c.head[length:]
	}
	return nil
}

// endResponse makes the next bytes the head of another response.
func (c *Conn) endResponse() { c.inBody = false }

// Trace returns a context for a request to be sent by an http.Transport that uses Conns.
// With it, the connection learns where its response ends.
func Trace(ctx context.Context) context.Context {
	var used *Conn
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(interface{ HeadConn() *Conn }); ok {
				used = conn.HeadConn()
			}
		},
		// The transport calls it from the goroutine that reads, before the next read.
		PutIdleConn: func(error) {
			if used != nil {
				used.endResponse()
			}
		},
	})
}

// HeadConn returns the connection itself. Types that embed a Conn have it too.
func (c *Conn) HeadConn() *Conn { return c }
