package httpapi

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/wire"
)

// callHeaders are the headers of one request that the node itself reads.
type callHeaders struct {
	key          string
	deadline     time.Duration
	attempt      uint32
	remaining    uint32
	hasRemaining bool
	// rootID is nil if the caller sent none.
	rootID      []byte
	traceparent string
	tracestate  string
}

// parseHeaders reads the headers of a call; each error names the header.
func parseHeaders(header http.Header) (callHeaders, *outcome.Error) {
	parsed := callHeaders{
		key:         header.Get(wire.IdempotencyKeyHeader),
		traceparent: header.Get(wire.TraceparentHeader),
		tracestate:  header.Get(wire.TracestateHeader),
	}
	if err := parsed.parseDeadline(header.Get(wire.DeadlineHeader)); err != nil {
		return parsed, err
	}
	if err := parsed.parseAttempt(header); err != nil {
		return parsed, err
	}
	return parsed, parsed.parseRoot(header.Get(wire.RootHeader))
}

func (c *callHeaders) parseDeadline(value string) *outcome.Error {
	if value == "" {
		return nil
	}
	deadline, err := time.ParseDuration(value)
	if err != nil || deadline <= 0 {
		return badHeader(wire.DeadlineHeader, value, `a positive duration such as "1.5s"`)
	}
	c.deadline = deadline
	return nil
}

func (c *callHeaders) parseAttempt(header http.Header) *outcome.Error {
	var err *outcome.Error
	if c.attempt, _, err = parseCount(header, wire.AttemptHeader); err != nil {
		return err
	}
	c.remaining, c.hasRemaining, err = parseCount(header, wire.RetryAllowanceHeader)
	return err
}

func parseCount(header http.Header, name string) (count uint32, present bool, bad *outcome.Error) {
	value := header.Get(name)
	if value == "" {
		return 0, false, nil
	}
	parsed, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return 0, false, badHeader(name, value, "a whole number")
	}
	return uint32(parsed), true, nil
}

func (c *callHeaders) parseRoot(value string) *outcome.Error {
	if value == "" {
		return nil
	}
	id, err := hex.DecodeString(value)
	if err != nil || len(id) != outcome.RootIDBytes {
		return badHeader(wire.RootHeader, value, "32 hexadecimal digits as in the header of an earlier answer")
	}
	c.rootID = id
	return nil
}

// maxQuotedBytes bounds what an error repeats of a bad value.
const maxQuotedBytes = 64

func badHeader(name, value, want string) *outcome.Error {
	if len(value) > maxQuotedBytes {
		value = value[:maxQuotedBytes]
	}
	detail := fmt.Sprintf("header %s has the value %q; send %s", name, value, want)
	return outcome.New(outcome.NotRun, outcome.BadRequest, detail)
}

// readBody reads the whole body. Nothing is sent on before the body is whole,
// so that a cut connection of the caller proves that nothing ran.
func readBody(r *http.Request, maxBytes int64) ([]byte, *outcome.Error) {
	if r.ContentLength > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, outcome.New(outcome.NotRun, outcome.BadRequest, "the body ended early; send the whole body")
	case err != nil:
		return nil, outcome.New(outcome.NotRun, outcome.BadRequest, "the body could not be read in time; send it without pauses")
	case int64(len(body)) > maxBytes:
		return nil, tooLarge(maxBytes)
	}
	return body, nil
}

func tooLarge(maxBytes int64) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.TooLarge, fmt.Sprintf("the body is larger than %d bytes", maxBytes))
}

// ownHeaders are not passed on, because they belong to one connection or are
// set by the node.
var ownHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Expect": true,
	wire.IdempotencyKeyHeader: true, wire.TraceparentHeader: true, wire.TracestateHeader: true,
}

const ownHeaderPrefix = "Primrosemount-"

// passedHeaders returns the headers that go to the target.
func passedHeaders(header http.Header) []*pb.Header {
	headers := make([]*pb.Header, 0, len(header))
	for name, values := range header {
		if ownHeaders[name] || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &pb.Header{Name: name, Value: value})
		}
	}
	return headers
}
