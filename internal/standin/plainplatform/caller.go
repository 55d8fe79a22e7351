// Package plainplatform is a stand-in for the messages of the users' platform and its
// clients to a node: requests, announcements of targets, the operator's configuration
// and the settings file. It uses the names of the platform.
package plainplatform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request of a client or a target.
type Request struct {
	// ID is the ID of the attempt.
	ID     string
	Method string
	Host   string
	// Target is the request target of HTTP: path and query.
	Target   string
	Body     string
	Deadline time.Duration
	// Key is the key of a client account, and Tenant the name of one, which no client
	// may state; empty if not sent.
	Key, Tenant string
	// Close asks the node to close the connection after the response.
	Close bool
}

// Response is the response to a request.
type Response struct {
	Status int
	Body   string
	// AttemptID is the ID of the attempt that the response states, if any.
	AttemptID string
	// Sealed reports that the response has the seal that the target adds for this
	// request.
	Sealed bool
	// RetryAfter is the delay that a refusal requests; 0 if none.
	RetryAfter time.Duration
	// Reusable reports that the connection can be used for another request.
	Reusable bool
}

// Connection is one connection of a client. Unlike the client of net/http, it never
// retries a request.
type Connection struct {
	net.Conn
	reader *bufio.Reader
}

// Connect opens a connection to an entry listener.
func Connect(address string, timeout time.Duration) (*Connection, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return NewConnection(conn), nil
}

// NewConnection returns a connection of a client that has been opened by other means.
func NewConnection(conn net.Conn) *Connection {
	return &Connection{Conn: conn, reader: bufio.NewReader(conn)}
}

// Exchange sends a request and reads the complete response.
func (c *Connection) Exchange(r Request) (Response, error) {
	if err := c.Send(r); err != nil {
		return Response{}, err
	}
	return c.Receive(r)
}

// Send sends requests without waiting for responses. Receive reads the responses, in
// the order of the requests.
func (c *Connection) Send(requests ...Request) error {
	var text strings.Builder
	for _, r := range requests {
		r.write(&text)
	}
	_, err := io.WriteString(c, text.String())
	return err
}

// write writes the request as it is sent.
func (r Request) write(w io.Writer) {
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Request-Deadline: %d\r\n",
		r.Method, r.Target, r.Host, r.ID, r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(w, "X-Credential: %s\r\n", r.Key)
	}
	if r.Tenant != "" {
		fmt.Fprintf(w, "X-Tenant: %s\r\n", r.Tenant)
	}
	if r.Close {
		fmt.Fprint(w, "Connection: close\r\n")
	}
	if r.Body != "" {
		fmt.Fprintf(w, "Content-Length: %d\r\n", len(r.Body))
	}
	fmt.Fprintf(w, "\r\n%s", r.Body)
}

// Receive reads the complete response to a request.
func (c *Connection) Receive(r Request) (Response, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, err
	}
	result := Response{
		Status: response.StatusCode, Body: string(body), Reusable: !response.Close,
		AttemptID: response.Header.Get("X-Attempt-Id"),
		Sealed:    response.Header.Get("X-Response-Seal") == "seal."+r.ID,
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		result.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return result, nil
}

// Rest reads until the node closes the connection. The error of an orderly close is
// nil.
func (c *Connection) Rest() ([]byte, error) { return io.ReadAll(c.reader) }
