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
	// requestTimeout is longer than the deadline of the operation, so that an
	// entry that lives has always answered before.
	requestTimeout = 3 * callDeadline
	maxKeys        = 3
	maxTries       = 4
	duplicateShare = 0.25
	maxThinkTime   = 40 * time.Millisecond
	fillerBytes    = 300
)

// breakage switches a protection off, to show that the check can fail.
type breakage int

const (
	intact breakage = iota
	// newKeyOnResend sends a duplicate with a new key.
	newKeyOnResend
	// unknownAsNotRun takes an unknown outcome for not run.
	unknownAsNotRun
	// foreignAnswer gives a caller the answer to an earlier request.
	foreignAnswer
)

// caller books through random entries and retries through others.
type caller struct {
	s      *schedule
	number int
	random *rand.Rand
	client *http.Client
	// previous is the body of the last whole answer.
	previous []byte
}

func (s *schedule) newCaller(number int) *caller {
	return &caller{
		s:      s,
		number: number,
		random: rand.New(rand.NewPCG(s.seed, uint64(100+number))),
		// Without keep-alive no connection is closed as idle while a request is
		// on its way, so every cut is that of a request.
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

// book uses a new key only after the earlier one was not run.
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
		use.final = c.try(use)
		if use.final != outcome.NotRun {
			return
		}
	}
}

func (c *caller) issue() (string, bool) {
	keys, err := issueKeys(c.client, c.entry().Node.CallersAddress(), 1)
	if err != nil || len(keys) == 0 {
		return "", false
	}
	return keys[0], true
}

func (c *caller) entry() *fleet.Instance {
	running := c.s.fleet.Instances()
	return running[c.random.IntN(len(running))]
}

// try sends a key until its outcome is definite.
func (c *caller) try(use *keyUse) outcome.Outcome {
	for range maxTries {
		told := c.deliver(use)
		if told == outcome.Unknown && c.s.broken == unknownAsNotRun {
			c.s.history.told(use.key, use.sent, outcome.NotRun)
			return outcome.NotRun
		}
		if told != outcome.Unknown {
			return told
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * maxThinkTime))))
	}
	return outcome.Unknown
}

// deliver sends a request once, or twice at the same time through two entries.
func (c *caller) deliver(use *keyUse) outcome.Outcome {
	first := c.entry()
	if c.random.Float64() >= duplicateShare {
		return c.send(first, use, use.key)
	}
	second := c.entry()
	key := use.key
	if c.s.broken == newKeyOnResend {
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
	told := c.send(first, use, use.key)
	wait.Wait()
	if told == outcome.Unknown {
		return other
	}
	return told
}

// send makes one attempt and records what it is told.
func (c *caller) send(entry *fleet.Instance, use *keyUse, key string) outcome.Outcome {
	called := c.s.history.now()
	got, err := post(context.Background(), c.client, entry.Node.CallersAddress(), bookPath, use.id, key)
	if err != nil {
		c.checkCut(entry, err)
		c.s.history.told(use.key, called, outcome.Unknown)
		return outcome.Unknown
	}
	told := c.interpret(use, got)
	c.s.history.told(use.key, called, told)
	return told
}

// checkCut: an entry that has not crashed answers every request that it took.
func (c *caller) checkCut(entry *fleet.Instance, err error) {
	var failed *net.OpError
	notSent := errors.As(err, &failed) && failed.Op == "dial"
	if !notSent && !c.s.crashed(entry) {
		c.s.history.cut("entry %s cut a request: %s", entry.VM, err)
	}
}

func (c *caller) interpret(use *keyUse, got answer) outcome.Outcome {
	if got.status == http.StatusOK {
		c.checkAnswer(use, got.body)
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
	// The target answers with an error of its own when it can't do the work.
	if got.problem.Type == "" && got.status >= http.StatusInternalServerError {
		return outcome.Completed
	}
	c.s.history.violation("a response without outcome: %d %s", got.status, got.body)
	return outcome.Unknown
}

// checkAnswer notes an answer that is not whole or belongs to another request.
func (c *caller) checkAnswer(use *keyUse, body []byte) {
	if c.s.broken == foreignAnswer && c.previous != nil {
		body = c.previous
	}
	c.s.mutex.Lock()
	c.previous = body
	c.s.mutex.Unlock()
	var decoded target.Response
	err := json.Unmarshal(body, &decoded)
	right := decoded.ID == use.id && decoded.Service == serviceName && decoded.Operation == bookName
	if err != nil || !right || len(decoded.Filler) != fillerBytes {
		c.s.history.violation("a wrong answer to %s: %.80s", use.id, body)
	}
}
