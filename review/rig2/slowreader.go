package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["slow-reader"] = playSlowReader }

const (
	// slowClients is the number of clients that read slowly.
	slowClients = 12
	// answerBytes is the size of their answers, the largest of the sheet.
	answerBytes = 36000
	// smallWindow is the size of their receive buffers in bytes.
	smallWindow = 4096
	// readPause is how long they do not read.
	readPause = 3 * time.Second
	// slowDeadline is their deadline.
	slowDeadline = 5 * time.Second
	// maxUnanswered is the number of kept connections that may be closed without an
	// answer.
	maxUnanswered = 3
)

// playSlowReader lets clients wait before they read the answers to requests that may not
// be repeated, each on a connection that has been used before.
func playSlowReader(f *fleet, trouble bool) (verdict, error) {
	done := make(chan struct{})
	defer close(done)
	if err := startRota(f, done, "hki", "tku"); err != nil {
		return verdict{}, err
	}
	for _, m := range f.machines {
		m.target.setAnswer(func(path string) string {
			if strings.HasSuffix(path, "small") {
				return "ok"
			}
			return strings.Repeat("x", answerBytes)
		})
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	unanswered, answered := 0, 0
	var failure error
	for range slowClients {
		clients.Go(func() {
			a, err := slowRequest(f.machines[0], trouble)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				failure = err
			case a.whole && a.status == 200:
				answered++
			default:
				unanswered++
			}
		})
	}
	clients.Wait()
	if failure != nil {
		return verdict{}, failure
	}
	f.history.printf("%d answers were complete, %d connections were closed without a complete answer", answered, unanswered)
	return verdict{broken: unanswered > maxUnanswered, text: "LOST: requests passed on to a sound target from kept connections that were closed without an answer"}, nil
}

// slowRequest sends two requests on one connection and reads the answer to the second one
// late.
func slowRequest(m *machine, trouble bool) (answer, error) {
	c, err := m.connect(smallWindow)
	if err != nil {
		return answer{}, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(slowDeadline + time.Second))
	id, err := c.send("POST", "/entry/small", slowDeadline, "lawn")
	if err != nil {
		return answer{}, err
	}
	if first := c.receive("POST", id); !first.whole {
		return answer{}, first.err
	}
	id, err = c.send("POST", "/entry/large", slowDeadline, "lawn")
	if err != nil {
		return answer{}, err
	}
	if trouble {
		time.Sleep(readPause)
	}
	return c.receive("POST", id), nil
}
