// Package plaintarget is a stand-in for a target on the users' platform. It serves
// plain HTTP with the headers of the platform, records the requests that it runs, and
// can refuse requests and lose, corrupt and delay responses.
package plaintarget

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is a fault that the target simulates for a request.
type Fault uint8

// Faults of one request.
const (
	// None responds normally.
	None Fault = iota
	// Refuse responds that the request was not executed.
	Refuse
	// LoseResponse runs the request and closes the connection without a response.
	LoseResponse
	// Truncate runs the request and closes the connection within the response body.
	Truncate
	// MissingSeal responds with success but without the seal.
	MissingSeal
	// ExtraResponse sends a second response together with the first one and closes the
	// connection.
	ExtraResponse
	// Fail runs the request and responds with status 500.
	Fail
	// ResetUnframed sends a response without a length and resets the connection.
	ResetUnframed
	// MalformedHead sends a part of a response whose framing header has a space before its
	// colon, and closes the connection.
	MalformedHead
	// UndefinedStatus sends a response with the status 000 and closes the connection.
	UndefinedStatus
	// RepeatRefusal refuses the request. It runs each request that follows on the
	// connection, but writes the refusal again before each response.
	RepeatRefusal
)

// Run is one request that the target ran.
type Run struct {
	AttemptID string
	Method    string
	// Target is the request target of HTTP: path and query.
	Target   string
	Host     string
	Body     string
	Caller   string
	Deadline time.Duration
	Header   http.Header
	At       time.Time
}

// Config configures a Target.
type Config struct {
	// ID is the target ID. Requests that expect another ID are rejected.
	ID string
	// Work is the duration of a request.
	Work time.Duration
	// Response is the body of responses unless ResponseTo is set.
	Response string
	// ResponseTo returns the body of the response to one request.
	ResponseTo func(run Run) string
	// Header holds additional headers of responses.
	Header http.Header
	// Raw returns the bytes that are sent in place of the response to a request that has
	// run, or "" for a regular response; nil means regular responses. The connection is
	// closed after them.
	Raw func(run Run) string
	// Early selects what to do before the body of the request with the ID is read; nil
	// means ReadBody.
	Early func(attemptID string) Early
	// Fault selects the fault for a request; nil means None.
	Fault func(run Run) Fault
	// CallDownstream is called while a request runs, to make the calls of the target.
	// If it returns an error, the request fails.
	CallDownstream func(run Run) error
}

// Target is a running stand-in.
type Target struct {
	config      Config
	listener    net.Listener
	server      *http.Server
	mu          sync.Mutex
	runs        []Run
	disconnects int
	// bodies counts the bodies that RespondAndReadOn has read to their end.
	bodies int
}

// Start starts a target that listens on the address; port 0 selects a free port.
func Start(address string, config Config) (*Target, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &Target{config: config, listener: listener}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = t.server.Serve(listener) }()
	return t, nil
}

// Address returns the address of the listener.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Stop closes the listener and all connections. The server knows the listener only from
// the moment at which it begins to serve.
func (t *Target) Stop() {
	_ = t.listener.Close()
	_ = t.server.Close()
}

// Runs returns the requests that the target ran.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Disconnects returns the number of requests whose connection was closed while they
// ran.
func (t *Target) Disconnects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.disconnects
}

// LateBodies returns the number of bodies that were read to their end after the response.
func (t *Target) LateBodies() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bodies
}

// serve reads and runs one request and responds to it.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if t.config.Early != nil {
		if early := t.config.Early(r.Header.Get("X-Attempt-Id")); early != ReadBody {
			t.serveEarly(w, r, early)
			return
		}
	}
	run, ok := t.accept(w, r)
	if !ok {
		return
	}
	fault := None
	if t.config.Fault != nil {
		fault = t.config.Fault(run)
	}
	w.Header().Set("X-Attempt-Id", run.AttemptID)
	if fault == RepeatRefusal {
		t.repeatRefusal(w, run)
		return
	}
	if fault == Refuse {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.recordRun(run)
	if !t.work(r) {
		return
	}
	if t.config.CallDownstream != nil {
		if err := t.config.CallDownstream(run); err != nil {
			fault = Fail
		}
	}
	t.respond(w, run, fault)
}

// accept reads a request. It rejects a request that is meant for another target.
func (t *Target) accept(w http.ResponseWriter, r *http.Request) (Run, bool) {
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != t.config.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return Run{}, false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return Run{}, false
	}
	millis, _ := strconv.Atoi(r.Header.Get("X-Request-Deadline"))
	return Run{
		AttemptID: r.Header.Get("X-Attempt-Id"), Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Body: string(body), Caller: r.Header.Get("X-Caller-Service"),
		Deadline: time.Duration(millis) * time.Millisecond, Header: r.Header, At: time.Now(),
	}, true
}

func (t *Target) recordRun(run Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, run)
}

// work waits for the duration of a request. It returns false if the connection was
// closed meanwhile.
func (t *Target) work(r *http.Request) bool {
	timer := time.NewTimer(t.config.Work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		t.mu.Lock()
		t.disconnects++
		t.mu.Unlock()
		return false
	}
}
