package streamlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// maxReadBytes bounds the answer to one read.
const maxReadBytes = 16 << 20

// JSON bodies of the log service's HTTP interface:
//
//	POST /streams/STREAM/records          body: the record; answer: AppendAnswer
//	GET  /streams/STREAM/records?from=F&limit=L   answer: ReadAnswer
//
// 429 and 503 mean that the request had no effect.
type (
	// AppendAnswer is the answer to an append.
	AppendAnswer struct {
		Offset uint64 `json:"offset"`
	}
	// ReadAnswer is the answer to a read.
	ReadAnswer struct {
		Earliest uint64        `json:"earliest"`
		Next     uint64        `json:"next"`
		Records  []ReadElement `json:"records"`
	}
	// ReadElement is one record of a ReadAnswer.
	ReadElement struct {
		Offset uint64 `json:"offset"`
		Data   []byte `json:"data"`
	}
)

// HTTPLog is the client of the log service's HTTP interface.
type HTTPLog struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns a client of the log service at the base URL; timeout
// bounds each request.
func NewHTTPLog(base string, timeout time.Duration) *HTTPLog {
	return &HTTPLog{base: base, timeout: timeout, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// Close closes idle connections.
func (l *HTTPLog) Close() { l.client.CloseIdleConnections() }

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	// The reader type keeps net/http from replaying the request on its own.
	body := io.NopCloser(bytes.NewReader(data))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.recordsURL(stream), body)
	if err != nil {
		return 0, kindError(ErrRefused, err)
	}
	request.ContentLength = int64(len(data))
	answer, err := l.client.Do(request)
	if err != nil {
		return 0, appendError(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusTooManyRequests || answer.StatusCode == http.StatusServiceUnavailable {
		return 0, kindError(ErrRefused, errors.Newf("status %d", answer.StatusCode))
	}
	if answer.StatusCode != http.StatusOK {
		return 0, kindError(ErrAppendUnknown, errors.Newf("status %d", answer.StatusCode))
	}
	var decoded AppendAnswer
	if err := json.NewDecoder(answer.Body).Decode(&decoded); err != nil {
		return 0, kindError(ErrAppendUnknown, err)
	}
	return decoded.Offset, nil
}

// appendError tells a connection that could not be opened from an answer that
// was lost.
func appendError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return kindError(ErrRefused, err)
	}
	return kindError(ErrAppendUnknown, err)
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, stream string, from uint64, limit int) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	address := fmt.Sprintf("%s?from=%d&limit=%d", l.recordsURL(stream), from, limit)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Batch{}, kindError(ErrUnavailable, err)
	}
	answer, err := l.client.Do(request)
	if err != nil {
		return Batch{}, kindError(ErrUnavailable, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return Batch{}, kindError(ErrUnavailable, errors.Newf("status %d", answer.StatusCode))
	}
	var decoded ReadAnswer
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxReadBytes)).Decode(&decoded); err != nil {
		return Batch{}, kindError(ErrUnavailable, err)
	}
	return decoded.batch(), nil
}

func (a *ReadAnswer) batch() Batch {
	batch := Batch{Earliest: a.Earliest, Next: a.Next, Records: make([]Record, 0, len(a.Records))}
	for _, element := range a.Records {
		batch.Records = append(batch.Records, Record(element))
	}
	return batch
}

func (l *HTTPLog) recordsURL(stream string) string {
	return l.base + "/streams/" + url.PathEscape(stream) + "/records"
}

// kindError returns an error that matches kind and its cause with errors.Is.
func kindError(kind, cause error) error {
	return fmt.Errorf("%w: %w", kind, cause)
}
