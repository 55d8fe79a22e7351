package httpserver

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A Response is the response to one request. The server adds Content-Length,
// Connection and, if it is missing, Date.
type Response struct {
	// Status is the status code.
	Status int
	Body   []byte
	// Close ends the connection after this response, or after the last response
	// to a request that has been started.
	Close bool
	// omitBody is set for responses to HEAD requests.
	omitBody bool
	hasDate  bool
	// fields holds the encoded header lines.
	fields *[]byte
}

// fieldBuffers holds buffers for the header lines of responses.
var fieldBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, initialFieldBytes)
	return &buffer
}}

const (
	// initialFieldBytes is the initial size of a buffer for header lines.
	initialFieldBytes = 1 << 10
	// maxKeptFieldBytes limits the size of a buffer that is kept for reuse.
	maxKeptFieldBytes = 16 << 10
)

// AddHeader adds a header line. name must be in canonical form.
func (r *Response) AddHeader(name, value string) {
	if r.fields == nil {
		r.fields = fieldBuffers.Get().(*[]byte)
	}
	if name == "Date" {
		r.hasDate = true
	}
	*r.fields = appendField(*r.fields, name, value)
}

// AddHeaderLines adds encoded header lines, each of which ends with CRLF.
func (r *Response) AddHeaderLines(lines []byte) {
	if len(lines) == 0 {
		return
	}
	if r.fields == nil {
		r.fields = fieldBuffers.Get().(*[]byte)
	}
	*r.fields = append(*r.fields, lines...)
	r.hasDate = r.hasDate || bytes.HasPrefix(lines, dateField) || bytes.Contains(lines, dateLine)
}

// dateField starts a Date header, and dateLine one that follows another line.
var (
	dateField = []byte("Date: ")
	dateLine  = []byte("\r\nDate: ")
)

// release returns the buffer of the header lines.
func (r *Response) release() {
	if r.fields == nil || cap(*r.fields) > maxKeptFieldBytes {
		return
	}
	*r.fields = (*r.fields)[:0]
	fieldBuffers.Put(r.fields)
	r.fields = nil
}

// appendField appends a header line. A line break in the value would start another
// line, so it is replaced by a space.
func appendField(head []byte, name, value string) []byte {
	if strings.ContainsAny(value, "\r\n") {
		value = lineBreaks.Replace(value)
	}
	head = append(head, name...)
	head = append(head, ": "...)
	head = append(head, value...)
	return append(head, "\r\n"...)
}

var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

// appendHead appends the status line and all header lines. last adds the header
// that announces the end of the connection.
func (r *Response) appendHead(head []byte, last bool) []byte {
	head = append(head, "HTTP/1.1 "...)
	head = strconv.AppendInt(head, int64(r.Status), 10)
	head = append(head, ' ')
	head = append(head, http.StatusText(r.Status)...)
	head = append(head, "\r\n"...)
	if r.fields != nil {
		head = append(head, *r.fields...)
	}
	if !r.hasDate {
		head = appendField(head, "Date", currentDate())
	}
	if bodyAllowed(r.Status) && !r.omitBody {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	if last {
		head = append(head, "Connection: close\r\n"...)
	}
	return append(head, "\r\n"...)
}

// body returns the body as it is sent.
func (r *Response) body() []byte {
	if r.omitBody || !bodyAllowed(r.Status) {
		return nil
	}
	return r.Body
}

// bodyAllowed reports whether a response with the status may have a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// formattedDate is the text of the Date header for one second.
type formattedDate struct {
	second int64
	text   string
}

var lastDate atomic.Pointer[formattedDate]

// currentDate returns the text of the Date header.
func currentDate() string {
	now := time.Now()
	if cached := lastDate.Load(); cached != nil && cached.second == now.Unix() {
		return cached.text
	}
	text := now.UTC().Format(http.TimeFormat)
	lastDate.Store(&formattedDate{second: now.Unix(), text: text})
	return text
}
