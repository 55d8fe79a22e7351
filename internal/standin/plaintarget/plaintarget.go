// Package plaintarget is a stand-in for a target on the users' platform. It serves
// plain HTTP with the headers of the platform, records the requests that it runs, and
// can refuse requests and lose, corrupt and delay responses.
package plaintarget

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
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

// Early is what a target does before it has read the body of a request.
type Early uint8

// Ways to treat an unread body.
const (
	// ReadBody reads the body.
	ReadBody Early = iota
	// RefuseAndClose responds that the request was not executed, without reading the
	// body, and closes the connection.
	RefuseAndClose
	// RefuseAndStall responds that the request was not executed, and neither reads the
	// body nor closes the connection.
	RefuseAndStall
	// RespondAndClose runs the request, responds and closes the connection.
	RespondAndClose
	// RespondAndReadOn runs the request, responds and reads the body slowly.
	RespondAndReadOn
	// ResetInBody runs the request and resets the connection within the body.
	ResetInBody
	// RespondInPartAndReset runs the request, sends part of a response without a length and
	// resets the connection while the body is still being sent.
	RespondInPartAndReset
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

// Stop closes the listener and all connections.
func (t *Target) Stop() { _ = t.server.Close() }

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

const (
	// stallTime is how long RefuseAndStall keeps a connection.
	stallTime = 5 * time.Second
	// lateReadBytes and lateReadPause are the steps in which RespondAndReadOn reads.
	lateReadBytes = 64 << 10
	lateReadPause = 10 * time.Millisecond
)

// serveEarly treats a request whose body has not been read.
func (t *Target) serveEarly(w http.ResponseWriter, r *http.Request, early Early) {
	id := r.Header.Get("X-Attempt-Id")
	if early == RespondAndReadOn {
		t.respondAndReadOn(w, r)
		return
	}
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	switch early {
	case RefuseAndClose, RefuseAndStall:
		_, _ = buffer.WriteString(refusal)
		_ = buffer.Flush()
		if early == RefuseAndStall {
			time.Sleep(stallTime)
		}
		return
	case ResetInBody:
		t.recordRun(Run{AttemptID: id, At: time.Now()})
		_, _ = io.CopyN(io.Discard, buffer, r.ContentLength/2)
		resetOnClose(conn)
		return
	case RespondInPartAndReset:
		run := Run{AttemptID: id, Method: r.Method, Target: r.RequestURI, At: time.Now()}
		t.recordRun(run)
		writeResponse(buffer.Writer, id, t.responseBody(run)[:1], false)
		_ = buffer.Flush()
		resetOnClose(conn)
		return
	}
	run := Run{AttemptID: id, Method: r.Method, Target: r.RequestURI, At: time.Now()}
	t.recordRun(run)
	writeResponse(buffer.Writer, id, t.responseBody(run), true)
	_ = buffer.Flush()
}

// resetOnClose makes the next Close of a connection reset it.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// respondAndReadOn runs a request and reads its body after the response.
func (t *Target) respondAndReadOn(w http.ResponseWriter, r *http.Request) {
	run := Run{AttemptID: r.Header.Get("X-Attempt-Id"), Method: r.Method, Target: r.RequestURI, At: time.Now()}
	t.recordRun(run)
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		return
	}
	body := t.responseBody(run)
	w.Header().Set("X-Attempt-Id", run.AttemptID)
	w.Header().Set("X-Response-Seal", "seal."+run.AttemptID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
	if err := control.Flush(); err != nil {
		return
	}
	for {
		_, err := io.CopyN(io.Discard, r.Body, lateReadBytes)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return
		}
		time.Sleep(lateReadPause)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bodies++
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

// respond sends the response to a request that was run, with the given fault.
func (t *Target) respond(w http.ResponseWriter, run Run, fault Fault) {
	if fault != MissingSeal {
		w.Header().Set("X-Response-Seal", "seal."+run.AttemptID)
	}
	maps.Copy(w.Header(), t.config.Header)
	if t.config.Raw != nil {
		if raw := t.config.Raw(run); raw != "" {
			writeBytes(w, raw)
			return
		}
	}
	switch fault {
	case LoseResponse:
		panic(http.ErrAbortHandler)
	case Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(t.responseBody(run))+10))
		_, _ = io.WriteString(w, t.responseBody(run))
		panic(http.ErrAbortHandler)
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case MalformedHead:
		body := t.responseBody(run)
		writeBytes(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length : %d\r\n\r\n%s", identity(run.AttemptID), len(body), body[:len(body)/2]))
	case UndefinedStatus:
		writeBytes(w, "HTTP/1.1 000 Status\r\n"+identity(run.AttemptID)+"Content-Length: 0\r\n\r\n")
	case ExtraResponse, ResetUnframed:
		t.writeRaw(w, run, fault)
	default:
		_, _ = io.WriteString(w, t.responseBody(run))
	}
}

// writeBytes sends the bytes as they are and closes the connection.
func writeBytes(w http.ResponseWriter, raw string) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString(raw)
	_ = buffer.Flush()
	_ = conn.Close()
}

// writeRaw writes responses that violate HTTP, which net/http would not send.
func (t *Target) writeRaw(w http.ResponseWriter, run Run, fault Fault) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if fault == ResetUnframed {
		writeResponse(buffer.Writer, run.AttemptID, t.responseBody(run), false)
		_ = buffer.Flush()
		resetOnClose(conn)
		_ = conn.Close()
		return
	}
	writeResponse(buffer.Writer, run.AttemptID, t.responseBody(run), true)
	writeResponse(buffer.Writer, "stale-"+run.AttemptID, "another request's answer", true)
	_ = buffer.Flush()
	_ = conn.Close()
}

// repeatRefusal serves the remaining requests of a connection as described at
// RepeatRefusal.
func (t *Target) repeatRefusal(w http.ResponseWriter, run Run) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", run.AttemptID)
	_, _ = buffer.WriteString(refusal)
	for buffer.Flush() == nil {
		request, err := http.ReadRequest(buffer.Reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		next := Run{AttemptID: request.Header.Get("X-Attempt-Id"), Method: request.Method, Target: request.RequestURI, At: time.Now()}
		t.recordRun(next)
		_, _ = buffer.WriteString(refusal)
		writeResponse(buffer.Writer, next.AttemptID, t.responseBody(next), true)
	}
}

// writeResponse writes a successful response with its seal. framed adds the
// Content-Length header.
func writeResponse(w *bufio.Writer, id, body string, framed bool) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s", identity(id))
	if framed {
		fmt.Fprintf(w, "Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(w, "\r\n%s", body)
}

// identity returns the header lines with the ID and the seal of a response.
func identity(id string) string {
	return fmt.Sprintf("X-Attempt-Id: %s\r\nX-Response-Seal: seal.%s\r\n", id, id)
}

func (t *Target) responseBody(run Run) string {
	if t.config.ResponseTo != nil {
		return t.config.ResponseTo(run)
	}
	return t.config.Response
}
