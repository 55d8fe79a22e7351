// Package logservice is a small stand-in for the platform's log service:
// append-only streams with offsets, limited retention, a rate limit, outages,
// slow answers, and answers that are lost after the append took effect.
package logservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/primrosemount/primrosemount/streamlog"
)

// Config configures a Service.
type Config struct {
	// Retain is the number of records kept per stream; 0 keeps all.
	Retain int
	// AppendsPerSecond bounds the rate of appends; 0 means no bound.
	AppendsPerSecond float64
}

// Faults are switched on and off while the service runs.
type Faults struct {
	// Down refuses every request.
	Down bool
	// Delay is added to every answer.
	Delay time.Duration
	// LoseAppendAnswers lets appends take effect and loses their answers.
	LoseAppendAnswers bool
}

// Service holds the streams in memory. It implements streamlog.Log in process
// and http.Handler. It is safe for concurrent use.
type Service struct {
	config  Config
	limiter *rate.Limiter
	mutex   sync.Mutex
	streams map[string]*stream
	faults  Faults
	appends uint64
}

type stream struct {
	first   uint64
	records [][]byte
}

var _ streamlog.Log = (*Service)(nil)

// New returns an empty service.
func New(config Config) *Service {
	limit := rate.Inf
	if config.AppendsPerSecond > 0 {
		limit = rate.Limit(config.AppendsPerSecond)
	}
	burst := int(config.AppendsPerSecond) + 1
	return &Service{config: config, limiter: rate.NewLimiter(limit, burst), streams: make(map[string]*stream)}
}

// SetFaults replaces the present faults.
func (s *Service) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Appends returns the number of appends that took effect.
func (s *Service) Appends() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.appends
}

// Append implements streamlog.Log.
func (s *Service) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	faults, err := s.begin(ctx)
	if err != nil {
		return 0, err
	}
	if !s.limiter.Allow() {
		return 0, errors.Wrap(streamlog.ErrRefused, "rate limit")
	}
	offset := s.append(name, data)
	if faults.LoseAppendAnswers {
		return 0, errors.Wrap(streamlog.ErrAppendUnknown, "answer lost")
	}
	return offset, nil
}

func (s *Service) append(name string, data []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	st := s.stream(name)
	st.records = append(st.records, append([]byte(nil), data...))
	s.appends++
	offset := st.first + uint64(len(st.records)) - 1
	if excess := len(st.records) - s.config.Retain; s.config.Retain > 0 && excess > 0 {
		st.records = st.records[excess:]
		st.first += uint64(excess)
	}
	return offset
}

// Read implements streamlog.Log.
func (s *Service) Read(ctx context.Context, name string, from uint64, limit int) (streamlog.Batch, error) {
	if _, err := s.begin(ctx); err != nil {
		return streamlog.Batch{}, errors.Wrap(streamlog.ErrUnavailable, err.Error())
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	st := s.stream(name)
	next := st.first + uint64(len(st.records))
	batch := streamlog.Batch{Earliest: st.first, Next: next}
	from = max(from, st.first)
	for offset := from; offset < next && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, streamlog.Record{Offset: offset, Data: st.records[offset-st.first]})
	}
	return batch, nil
}

// begin applies the faults that come before any effect.
func (s *Service) begin(ctx context.Context) (Faults, error) {
	s.mutex.Lock()
	faults := s.faults
	s.mutex.Unlock()
	if faults.Down {
		return faults, errors.Wrap(streamlog.ErrRefused, "outage")
	}
	if faults.Delay == 0 {
		return faults, nil
	}
	timer := time.NewTimer(faults.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return faults, nil
	case <-ctx.Done():
		return faults, errors.Wrap(streamlog.ErrRefused, "slow")
	}
}

func (s *Service) stream(name string) *stream {
	found, ok := s.streams[name]
	if !ok {
		found = &stream{}
		s.streams[name] = found
	}
	return found
}

// maxRecordBytes bounds one record.
const maxRecordBytes = 8 << 20

// Handler serves the HTTP interface that streamlog.HTTPLog uses.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", s.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", s.serveRead)
	return mux
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "the record is too large or was cut; send it again", http.StatusBadRequest)
		return
	}
	offset, err := s.Append(r.Context(), r.PathValue("stream"), data)
	switch {
	case errors.Is(err, streamlog.ErrRefused):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, streamlog.AppendAnswer{Offset: offset})
	}
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	from, errFrom := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	limit, errLimit := strconv.Atoi(r.URL.Query().Get("limit"))
	if errFrom != nil || errLimit != nil || limit < 1 {
		http.Error(w, "from and limit must be numbers; limit at least 1", http.StatusBadRequest)
		return
	}
	batch, err := s.Read(r.Context(), r.PathValue("stream"), from, limit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	answer := streamlog.ReadAnswer{Earliest: batch.Earliest, Next: batch.Next}
	for _, record := range batch.Records {
		answer.Records = append(answer.Records, streamlog.ReadElement(record))
	}
	writeJSON(w, answer)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
