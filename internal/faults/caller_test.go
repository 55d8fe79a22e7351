package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/internal/fleet"
	"github.com/primrosemount/primrosemount/internal/standin/target"
)

const (
	// requestTimeout is longer than the deadline of the operation, so that a
	// running entry node always responds earlier.
	requestTimeout = 3 * callDeadline
	// maxKeys bounds the keys of one booking, maxAttempts the attempts with each key.
	maxKeys     = 3
	maxAttempts = 4
	// duplicateShare is the share of attempts that are sent through two entry nodes
	// concurrently.
	duplicateShare = 0.25
	// maxThinkTime bounds the pause of a caller between two bookings.
	maxThinkTime = 40 * time.Millisecond
	// fillerBytes is the length of the filler in the body of a complete response.
	fillerBytes = 300
)

// defect disables one protection of the callers, to show that the checks can fail.
type defect int

const (
	noDefect defect = iota
	// newKeyOnDuplicate sends a duplicate request with a new idempotency key.
	newKeyOnDuplicate
	// unknownAsNotRun treats an unknown outcome as not run.
	unknownAsNotRun
	// foreignResponse gives a caller the response to an earlier request.
	foreignResponse
)

// caller books through random entry nodes; its retries may use other ones.
type caller struct {
	s      *schedule
	number int
	random *rand.Rand
	client *http.Client
	// previous is the body of the last complete response.
	previous []byte
}

func (s *schedule) newCaller(number int) *caller {
	return &caller{
		s:      s,
		number: number,
		random: rand.New(rand.NewPCG(s.seed, uint64(100+number))),
		// Without keep-alive, no connection is closed as idle while a request is
		// being sent, so each closed connection means a lost request.
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (c *caller) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(maxThinkTime)))):
			c.book(n)
		}
	}
}

// book makes one booking. It uses a new key only if the outcome of the previous one
// was not run.
func (c *caller) book(n int) {
	b := &booking{}
	defer c.s.history.add(b)
	for k := range maxKeys {
		key, ok := c.issue()
		if !ok {
			return
		}
		use := &keyUse{key: key, id: fmt.Sprintf("caller%d-booking%d-key%d", c.number, n, k), sent: c.s.history.now()}
		b.keys = append(b.keys, use)
		use.final = c.sendUntilDefinite(use)
		if use.final != outcome.NotRun {
			return
		}
	}
}

// issue requests one key from a random entry node.
func (c *caller) issue() (string, bool) {
	keys, err := issueKeys(c.client, c.entry().Node.CallersAddress(), 1)
	if err != nil || len(keys) == 0 {
		return "", false
	}
	return keys[0], true
}

// entry returns a random running instance as entry node.
func (c *caller) entry() *fleet.Instance {
	running := c.s.fleet.Instances()
	return running[c.random.IntN(len(running))]
}

// sendUntilDefinite sends the request until its outcome is definite, at most
// maxAttempts times.
func (c *caller) sendUntilDefinite(use *keyUse) outcome.Outcome {
	for range maxAttempts {
		reported := c.deliver(use)
		if reported == outcome.Unknown && c.s.injected == unknownAsNotRun {
			c.s.history.reported(use.key, use.sent, outcome.NotRun)
			return outcome.NotRun
		}
		if reported != outcome.Unknown {
			return reported
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * maxThinkTime))))
	}
	return outcome.Unknown
}

// deliver sends a request once, or concurrently through two entry nodes.
func (c *caller) deliver(use *keyUse) outcome.Outcome {
	first := c.entry()
	if c.random.Float64() >= duplicateShare {
		return c.send(first, use, use.key)
	}
	second := c.entry()
	key := use.key
	if c.s.injected == newKeyOnDuplicate {
		if fresh, ok := c.issue(); ok {
			key = fresh
		}
	}
	var wait sync.WaitGroup
	wait.Add(1)
	var other outcome.Outcome
	go func() {
		defer wait.Done()
		other = c.send(second, use, key)
	}()
	reported := c.send(first, use, use.key)
	wait.Wait()
	if reported == outcome.Unknown {
		return other
	}
	return reported
}

// send makes one attempt and records the reported outcome.
func (c *caller) send(entry *fleet.Instance, use *keyUse, key string) outcome.Outcome {
	called := c.s.history.now()
	got, err := post(context.Background(), c.client, entry.Node.CallersAddress(), bookPath, use.id, key)
	if err != nil {
		c.checkCut(entry, err)
		c.s.history.reported(use.key, called, outcome.Unknown)
		return outcome.Unknown
	}
	reported := c.interpret(use, got)
	c.s.history.reported(use.key, called, reported)
	return reported
}

// checkCut records a connection that an entry node closed without a response. Only a
// crashed entry node, or one that refuses the connection, may leave a request without
// a response.
func (c *caller) checkCut(entry *fleet.Instance, err error) {
	var failed *net.OpError
	notSent := errors.As(err, &failed) && failed.Op == "dial"
	if !notSent && !c.s.crashed(entry) {
		c.s.history.cut("entry node %s closed a connection without a response: %s", entry.VM, err)
	}
}

// interpret returns the outcome that the response reports.
func (c *caller) interpret(use *keyUse, got completeResponse) outcome.Outcome {
	if got.status == http.StatusOK {
		c.checkResponse(use, got.body)
		return outcome.Completed
	}
	switch got.problem.Outcome {
	case outcome.Completed.String():
		return outcome.Completed
	case outcome.NotRun.String():
		return outcome.NotRun
	case outcome.Unknown.String():
		return outcome.Unknown
	}
	// The target itself responds with an error if it cannot do the work.
	if got.problem.Type == "" && got.status >= http.StatusInternalServerError {
		return outcome.Completed
	}
	c.s.history.violation("a response without an outcome: %d %s", got.status, got.body)
	return outcome.Unknown
}

// checkResponse records a response that is incomplete or belongs to another request.
func (c *caller) checkResponse(use *keyUse, body []byte) {
	if c.s.injected == foreignResponse && c.previous != nil {
		body = c.previous
	}
	c.s.mutex.Lock()
	c.previous = body
	c.s.mutex.Unlock()
	var decoded target.Response
	err := json.Unmarshal(body, &decoded)
	right := decoded.ID == use.id && decoded.Service == serviceName && decoded.Operation == bookName
	if err != nil || !right || len(decoded.Filler) != fillerBytes {
		c.s.history.violation("a wrong response to %s: %.80s", use.id, body)
	}
}
