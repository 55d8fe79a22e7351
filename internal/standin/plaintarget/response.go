package plaintarget

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"
)

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

// resetOnClose makes the next Close of a connection reset it.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func (t *Target) responseBody(run Run) string {
	if t.config.ResponseTo != nil {
		return t.config.ResponseTo(run)
	}
	return t.config.Response
}
