package soak

import (
	"strings"
	"time"

	"github.com/primrosemount/primrosemount/internal/sockettest"
	"github.com/primrosemount/primrosemount/internal/standin/plainplatform"
)

const (
	// slowReaderPrefix begins the ids of the requests of slow readers, whose responses are
	// large.
	slowReaderPrefix = "slow-"
	// largeResponseLines is the number of lines of such a response, some 36,000 bytes. It
	// exceeds the window of a slow reader and fits into the buffers of the kernel.
	largeResponseLines = 1500
	// slowReaderDeadline is the deadline of the request whose response is read late.
	slowReaderDeadline = 6 * time.Second
	// minReadPause and maxReadPause bound the time for which a slow reader does not read.
	// Nodes disconnect a client that acknowledges nothing after 2 s.
	minReadPause = 2200 * time.Millisecond
	maxReadPause = 3500 * time.Millisecond
)

// A slowReader is a client whose receive buffer is small. It sends two requests on a
// connection and reads the response to the second one late. It connects to its node
// directly, because the buffers of a proxy would take the response.
type slowReader struct{ client }

func (r *slowReader) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(clientPause):
		}
		r.sendTwo()
	}
}

// sendTwo sends a request, and another one on the same connection if it is kept.
func (r *slowReader) sendTwo() {
	first := r.nextAttempt(r.drawRoute())
	defer r.history.attempt(first)
	conn, err := sockettest.SlowDialer(connectTimeout).Dial("tcp", r.vm.entryAddress)
	if err != nil {
		first.markUnconnected()
		return
	}
	connection := plainplatform.NewConnection(conn)
	defer connection.Close()
	if keep, _ := first.send(connection, 0); !keep {
		return
	}
	second := r.nextAttempt(r.drawRoute())
	defer r.history.attempt(second)
	second.Deadline, second.ReadLate = slowReaderDeadline, true
	pause := minReadPause + time.Duration(r.random.Int64N(int64(maxReadPause-minReadPause)))
	second.sendAndReadLate(connection, pause)
}

func (r *slowReader) drawRoute() Route { return Route(r.random.IntN(int(RouteGeneration))) }

// sendAndReadLate sends the request and reads the response after the pause.
func (a *Attempt) sendAndReadLate(c *plainplatform.Connection, pause time.Duration) {
	a.Sent = time.Now()
	_ = c.SetDeadline(a.Sent.Add(a.Deadline + responseSlack))
	var response plainplatform.Response
	if c.Send(a.request()) == nil {
		time.Sleep(pause)
		// Without a complete response the status is 0.
		response, _ = c.Receive(a.request())
	}
	a.record(response)
}

// responseBodyFor returns the body with which targets respond to a request.
func responseBodyFor(id string) string {
	lines := 20
	if strings.HasPrefix(id, slowReaderPrefix) {
		lines = largeResponseLines
	}
	return strings.Repeat("answer to "+id+"\n", lines)
}
