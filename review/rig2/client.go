package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// attempts counts the attempts of all clients.
var attempts atomic.Int64

// nextID returns the id of a new attempt.
func nextID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(attempts.Add(1))) }

// connection is one connection of a client.
type connection struct {
	net.Conn
	machine *machine
	reader  *bufio.Reader
}

// connect opens a connection to a node. receiveBytes is the size of the receive buffer, or
// 0 for that of the system.
func (m *machine) connect(receiveBytes int) (*connection, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBytes == 0 {
			return nil
		}
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
		return errors.Join(err, sockErr)
	}}
	conn, err := dialer.Dial("tcp", m.entry())
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, machine: m, reader: bufio.NewReaderSize(conn, 512)}, nil
}

// send sends a request and returns its id.
func (c *connection) send(method, path string, deadline time.Duration, body string) (string, error) {
	id := nextID()
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: club.example\r\nX-Attempt-Id: %s\r\nX-Request-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, deadline.Milliseconds(), len(body), body)
	c.machine.fleet.history.printf("%s: client sends %s %s %s", c.machine.name, method, path, id)
	return id, err
}

// answer is what a client received.
type answer struct {
	id     string
	status int
	body   string
	// whole is set if the answer is complete.
	whole bool
	bytes int
	err   error
}

// receive reads the answer to a request.
func (c *connection) receive(method, id string) answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.machine.fleet.history.printf("%s: client gets no answer to %s: %v", c.machine.name, id, err)
		return answer{id: id, err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a := answer{id: id, status: response.StatusCode, body: string(body), whole: err == nil, bytes: len(body), err: err}
	c.machine.fleet.history.printf("%s: client gets status %d to %s, %d of %d bytes, error %v", c.machine.name, a.status, id, a.bytes, response.ContentLength, err)
	return a
}

// request sends a request on a new connection and returns the answer.
func (m *machine) request(method, path string, deadline time.Duration, body string) answer {
	c, err := m.connect(0)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	id, err := c.send(method, path, deadline, body)
	if err != nil {
		return answer{err: err}
	}
	return c.receive(method, id)
}
