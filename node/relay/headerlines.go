package relay

import (
	"bytes"
	"net/http"
	"strings"
	"unicode/utf8"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/wire"
)

// Headers travel between nodes as the lines that the target or the client receives.
// Nodes of versions before that exchange a message for each header, which must be valid
// UTF-8.

// appendHeaderLines appends the lines of the end-to-end headers, without those for
// which owned returns true.
func appendHeaderLines(lines []byte, header http.Header, owned func(string) bool) []byte {
	listed := header["Connection"]
	for name, values := range header {
		if wire.IsHopByHop(name) || name == expectHeader || listedInConnection(listed, name) || owned != nil && owned(name) {
			continue
		}
		for _, value := range values {
			lines = appendHeaderLine(lines, name, value)
		}
	}
	return lines
}

// appendHeaderLine appends one line. A line break in the value would start another
// line, so such a header is left out.
func appendHeaderLine(lines []byte, name, value string) []byte {
	if strings.ContainsAny(value, "\r\n") {
		return lines
	}
	lines = append(lines, name...)
	lines = append(lines, ": "...)
	lines = append(lines, value...)
	return append(lines, "\r\n"...)
}

// listedInConnection reports whether a Connection header lists the field.
func listedInConnection(connection []string, name string) bool {
	for _, line := range connection {
		for field := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(field), name) {
				return true
			}
		}
	}
	return false
}

// headersOf returns header lines as messages. Headers that are not valid UTF-8 cannot be
// encoded and are left out.
func headersOf(lines []byte) []*pb.Header {
	var headers []*pb.Header
	for line := range bytes.SplitSeq(lines, []byte("\r\n")) {
		name, value, found := bytes.Cut(line, []byte(": "))
		if found && utf8.Valid(line) {
			headers = append(headers, &pb.Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}

// linesOf returns headers from a node that sends messages as lines.
func linesOf(headers []*pb.Header) []byte {
	var lines []byte
	for _, h := range headers {
		lines = appendHeaderLine(lines, h.GetName(), h.GetValue())
	}
	return lines
}
