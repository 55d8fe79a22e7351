// Package responsehead checks the heads of HTTP/1 responses more strictly than net/http.
//
// The parser of net/http accepts some heads that HTTP does not permit (RFC 9112): names
// with spaces, folded lines, both framing headers, and framing that the version or the
// status does not have. It then finds another end of the body than the sender meant, so
// that a body which was cut, or holds the sizes of its chunks, looks complete.
package responsehead

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for a head that HTTP does not permit. The body of its response
// cannot be delimited, so what follows belongs to no request.
var ErrMalformed = errors.New("responsehead: the head of the response is malformed; check its sender")

// statusDigits is the length of a status.
const statusDigits = 3

// maxQuotedBytes is the maximum length of the part of a head that is quoted in an error.
const maxQuotedBytes = 200

// malformed returns an error that quotes the part of a head.
func malformed(part, text string) error {
	return errors.Wrapf(ErrMalformed, "%s %q", part, text[:min(len(text), maxQuotedBytes)])
}

// framing is what the head of a response says about its body.
type framing struct {
	status int
	// http10 is set for a response of HTTP/1.0, which has no transfer coding.
	http10 bool
	// bodiless is set for a status without a body.
	bodiless bool
	// length is the value of Content-Length, or empty. chunked is set for the transfer
	// coding "chunked".
	length  string
	chunked bool
}

// Check checks a head: its status line and header lines, up to the empty line. It returns
// the status.
func Check(head []byte) (status int, err error) {
	line, fields := cutLine(string(head))
	f, err := readStatusLine(line)
	if err != nil {
		return 0, err
	}
	if err := f.readFields(fields); err != nil {
		return 0, err
	}
	return f.status, f.check()
}

// CheckFields checks header lines that do not frame the body.
func CheckFields(lines []byte) error {
	var f framing
	return f.readFields(string(lines))
}

// cutLine returns the first line, without its line break, and what follows it.
func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

// readStatusLine returns what the status line says about the framing.
func readStatusLine(line string) (framing, error) {
	version, rest, _ := strings.Cut(line, " ")
	digits, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(digits, 10, 16)
	if err != nil || len(digits) != statusDigits || !strings.HasPrefix(version, "HTTP/1.") || strings.ContainsRune(line, '\r') {
		return framing{}, malformed("status line", line)
	}
	return framing{
		status:   int(status),
		http10:   version == "HTTP/1.0",
		bodiless: status/100 == 1 || status == http.StatusNoContent,
	}, nil
}

// readFields reads header lines, up to an empty line.
func (f *framing) readFields(lines string) error {
	for len(lines) > 0 {
		line, rest := cutLine(lines)
		if len(line) == 0 {
			return nil
		}
		if err := f.readField(line); err != nil {
			return err
		}
		lines = rest
	}
	return nil
}

// readField reads one header line.
func (f *framing) readField(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return malformed("header line", line)
	}
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		return f.readLength(value)
	case strings.EqualFold(name, "Transfer-Encoding"):
		return f.readCoding(value)
	}
	return nil
}

func (f *framing) readLength(value string) error {
	if value == "" || strings.Trim(value, "0123456789") != "" || f.length != "" && f.length != value {
		return malformed("Content-Length", value)
	}
	f.length = value
	return nil
}

func (f *framing) readCoding(value string) error {
	if f.chunked || !strings.EqualFold(value, "chunked") {
		return malformed("Transfer-Encoding", value)
	}
	f.chunked = true
	return nil
}

// check checks that the length of the body is given once, and in a way that the
// version and the status of the response permit.
func (f *framing) check() error {
	hasBody := f.chunked || strings.Trim(f.length, "0") != ""
	if f.chunked && (f.http10 || f.length != "") || f.bodiless && hasBody {
		return errors.Wrap(ErrMalformed, "framing")
	}
	return nil
}

// Length returns the length of the head that data begins with, including the empty line
// that ends it, or 0 if the end is missing. A line may end without a carriage return.
func Length(data []byte) int {
	for from := 0; ; {
		end := bytes.IndexByte(data[from:], '\n')
		if end < 0 {
			return 0
		}
		line := data[from : from+end+1]
		from += len(line)
		if IsEnd(line) {
			return from
		}
	}
}

// IsEnd reports whether a line, with its line break, is the empty one that ends a head.
func IsEnd(line []byte) bool { return string(line) == "\r\n" || string(line) == "\n" }
