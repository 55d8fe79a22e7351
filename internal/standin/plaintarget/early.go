package plaintarget

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
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
	}
	run := Run{AttemptID: id, Method: r.Method, Target: r.RequestURI, At: time.Now()}
	t.recordRun(run)
	body, framed := t.responseBody(run), true
	if early == RespondInPartAndReset {
		body, framed = body[:len(body)/2], false
		resetOnClose(conn)
	}
	writeResponse(buffer.Writer, id, body, framed)
	_ = buffer.Flush()
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
