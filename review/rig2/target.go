package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is a request that a target has begun to work on.
type run struct {
	id, path string
	at       time.Time
}

// target is one incarnation of a target.
type target struct {
	machine *machine
	id      string
	born    time.Time
	// work is how long a request takes, and answer returns its body.
	work     time.Duration
	answer   func(path string) string
	listener net.Listener
	// raw returns the bytes of a spoiled answer, or an empty string for a sound one.
	raw func(id string) string

	mu       sync.Mutex
	conns    map[net.Conn]bool
	runs     []run
	ended    bool
	sequence int
	// cut holds the requests that were in progress when the target ended.
	cut []string
	// working holds the requests in progress.
	working map[string]bool
}

// startTarget starts a target beside the node. Its heartbeats are sent by the case.
func (m *machine) startTarget(id string, work time.Duration, answer func(path string) string) (*target, error) {
	listener, err := net.Listen("tcp", m.ip+":8301")
	if err != nil {
		return nil, err
	}
	t := &target{machine: m, id: id, born: time.Now(), work: work, answer: answer, listener: listener,
		conns: make(map[net.Conn]bool), working: make(map[string]bool)}
	m.target = t
	m.fleet.history.printf("%s: target %s was started", m.name, id)
	go t.accept()
	return t, nil
}

// setAnswer replaces the function that returns the bodies of answers.
func (t *target) setAnswer(answer func(path string) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answer = answer
}

// setWork changes how long a request takes.
func (t *target) setWork(work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = work
}

// setRaw replaces the function that returns spoiled answers.
func (t *target) setRaw(raw func(id string) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raw = raw
}

func (t *target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		if t.ended {
			_ = conn.Close()
		} else {
			t.conns[conn] = true
			go t.serve(conn)
		}
		t.mu.Unlock()
	}
}

// serve serves the requests of one connection, one at a time.
func (t *target) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		response, last := t.handle(r)
		if _, err := io.WriteString(conn, response); err != nil || last {
			return
		}
	}
}

// handle runs one request and returns the response, and whether the connection ends after
// it.
func (t *target) handle(r *http.Request) (response string, last bool) {
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != t.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, t.id), false
	}
	t.mu.Lock()
	t.runs = append(t.runs, run{id: id, path: r.RequestURI, at: time.Now()})
	t.working[id] = true
	work := t.work
	t.mu.Unlock()
	t.machine.fleet.history.printf("%s: target %s runs %s %s %s", t.machine.name, t.id, r.Method, r.RequestURI, id)
	time.Sleep(work)
	t.mu.Lock()
	delete(t.working, id)
	body, raw := t.answer(r.RequestURI), t.raw
	t.mu.Unlock()
	if raw != nil {
		if spoiled := raw(id); spoiled != "" {
			return spoiled, true
		}
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body), false
}

// end ends the target, as its process does when it exits.
func (t *target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	_ = t.listener.Close()
	for id := range t.working {
		t.cut = append(t.cut, id)
	}
	for conn := range t.conns {
		_ = conn.Close()
	}
	t.machine.fleet.history.printf("%s: target %s has ended with %d requests in progress", t.machine.name, t.id, len(t.working))
}

// hasEnded reports whether the target has ended.
func (t *target) hasEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// runsAfter returns the requests that reached the target after a time.
func (t *target) runsAfter(at time.Time) []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var late []run
	for _, r := range t.runs {
		if r.at.After(at) {
			late = append(late, r)
		}
	}
	return late
}

// body returns the next heartbeat with a state.
func (t *target) body(state string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return fmt.Sprintf(`{"address":"%s:8301","born":%d,"info":{"service":%q,"version":"v1","zone":"hki","capacity":150},"status":{"state":%q,"sequence":%d,"cold_remaining":"0ms"}}`,
		t.machine.ip, t.born.UnixMilli(), t.machine.service, state, t.sequence)
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (t *target) beat(state string) bool {
	return t.machine.post("/v1/Instances.Heartbeat/"+t.id, t.body(state))
}

// leave sends one leave call and reports whether it was acknowledged.
func (t *target) leave() bool {
	return t.machine.post("/v1/Instances.Leave/"+t.id, fmt.Sprintf(`{"born":%d}`, t.born.UnixMilli()))
}

// beatUntil sends heartbeats until a channel is closed or the target has ended.
func (t *target) beatUntil(done <-chan struct{}) {
	for !t.hasEnded() {
		t.beat("ready")
		select {
		case <-done:
			return
		case <-t.machine.stopBeats:
			return
		case <-time.After(heartbeat):
		}
	}
}

// post sends a call of a target to the node and reports whether it was acknowledged.
func (m *machine) post(path, body string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+m.control()+path, "application/json", strings.NewReader(body))
	if err != nil {
		m.fleet.history.printf("%s: POST %s %s -> %v", m.name, path, body, err)
		return false
	}
	_ = response.Body.Close()
	m.fleet.history.printf("%s: POST %s %s -> %d", m.name, path, body, response.StatusCode)
	return response.StatusCode/100 == 2
}
