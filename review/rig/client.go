package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	ID       string
	Method   string
	Host     string
	Path     string
	Deadline time.Duration
	Body     []byte
	// BodyTime is the time over which the body is sent. 0 sends it at once.
	BodyTime time.Duration
}

// Answer is what the client of a request has seen.
type Answer struct {
	Sent time.Time
	// BodySent is when the last byte was sent.
	BodySent time.Time
	Ended    time.Time
	// Status is 0 if the connection ended without a complete answer.
	Status int
	Sealed bool
	Body   string
	Err    error
}

// Connection is a connection of a client, which may be kept for several requests.
type Connection struct {
	net.Conn
	reader *bufio.Reader
}

// Dial opens a connection to the outbound address of a machine.
func (r *Rig) Dial(machine int) (*Connection, error) {
	conn, err := net.DialTimeout("tcp", r.Outbound(machine), time.Second)
	if err != nil {
		return nil, err
	}
	return &Connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Send sends a request on a new connection and waits for its answer until its deadline.
func (r *Rig) Send(machine int, q Request) Answer {
	c, err := r.Dial(machine)
	if err != nil {
		now := time.Now()
		r.Record("refused", "machine %d: id=%s: %v", machine, q.ID, err)
		return Answer{Sent: now, Ended: now, Err: err}
	}
	defer c.Close()
	return r.Exchange(c, machine, q)
}

// Exchange sends a request on a connection and waits for its answer.
func (r *Rig) Exchange(c *Connection, machine int, q Request) Answer {
	a := Answer{Sent: time.Now()}
	r.Record("sent", "machine %d: %s %s%s id=%s deadline=%v body=%d", machine, q.Method, q.Host, q.Path, q.ID, q.Deadline, len(q.Body))
	_ = c.SetDeadline(a.Sent.Add(q.Deadline))
	a.Err = c.exchange(q, &a)
	a.Ended = time.Now()
	if a.Err != nil {
		a.Status = 0
		r.Record("unanswered", "machine %d: id=%s after %v: %v", machine, q.ID, a.Ended.Sub(a.Sent).Round(time.Millisecond), a.Err)
		return a
	}
	r.Record("answered", "machine %d: id=%s status=%d sealed=%v after %v", machine, q.ID, a.Status, a.Sealed, a.Ended.Sub(a.Sent).Round(time.Millisecond))
	return a
}

func (c *Connection) exchange(q Request, a *Answer) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Request-Deadline: %d\r\n", q.Method, q.Path, q.Host, q.ID, q.Deadline.Milliseconds())
	if q.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return err
	}
	if err := c.writeBody(q); err != nil {
		return err
	}
	a.BodySent = time.Now()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	a.Status, a.Body, a.Sealed = response.StatusCode, string(body), response.Header.Get("X-Response-Seal") == seal(q.ID, body)
	return nil
}

// bodyPieces is the number of pieces in which a body is sent over a time.
const bodyPieces = 50

func (c *Connection) writeBody(q Request) error {
	if q.BodyTime == 0 {
		_, err := c.Write(q.Body)
		return err
	}
	size := (len(q.Body) + bodyPieces - 1) / bodyPieces
	for from := 0; from < len(q.Body); from += size {
		if _, err := c.Write(q.Body[from:min(from+size, len(q.Body))]); err != nil {
			return err
		}
		time.Sleep(q.BodyTime / bodyPieces)
	}
	return nil
}
