package logservice

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/streamlog"
)

const (
	// maxAppendBytes is the maximum size of the body of an append.
	maxAppendBytes = 8 << 20
	// lengthPrefixBytes is the size of the length prefix of each record.
	lengthPrefixBytes = 4
	// maxRecords is the maximum number of records in one response.
	maxRecords = 10000
)

// Handler returns the HTTP interface of the store that platform.Store uses.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		present, returns := s.eraAndReturns()
		mux.ServeHTTP(&eraWriter{ResponseWriter: w, service: s, era: present, returns: returns}, r)
	})
}

// headerEra is the header of all responses that holds the era.
const headerEra = "Store-Era"

// eraWriter adds the era to the header of a response. A call that has begun in an
// earlier era gets no response, because the return from a copy ends all connections.
type eraWriter struct {
	http.ResponseWriter
	service *Service
	// era is the era in which the call began, and returns the number of returns before.
	era     era.Era
	returns int
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.addEra()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(data []byte) (int, error) {
	w.addEra()
	return w.ResponseWriter.Write(data)
}

func (w *eraWriter) addEra() {
	if w.written {
		return
	}
	w.written = true
	if _, returns := w.service.eraAndReturns(); returns != w.returns {
		panic(http.ErrAbortHandler)
	}
	if w.era != era.Unknown {
		w.Header().Set(headerEra, w.era.String())
	}
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	records, whole := splitRecords(body)
	if err != nil || !whole {
		http.Error(w, "the body does not consist of whole records", http.StatusBadRequest)
		return
	}
	condition := noCondition
	if text := r.URL.Query().Get("as_of"); text != "" {
		if condition, err = strconv.ParseInt(text, 10, 64); err != nil || condition < 0 {
			http.Error(w, "as_of must be an offset", http.StatusBadRequest)
			return
		}
	}
	offset, err := s.appendAll(r.Context(), r.URL.Query().Get("topic"), records, condition)
	switch {
	case errors.Is(err, errEndDiffers):
		writeJSON(w, http.StatusPreconditionFailed, map[string]uint64{"end": offset})
	case errors.Is(err, streamlog.ErrRefused):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset, "end": offset + uint64(len(records))})
	}
}

// splitRecords splits records with their length prefixes. It reports whether there is at
// least one and all are whole.
func splitRecords(body []byte) (records [][]byte, whole bool) {
	for len(body) >= lengthPrefixBytes {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-lengthPrefixBytes {
			return nil, false
		}
		records = append(records, body[lengthPrefixBytes:lengthPrefixBytes+size])
		body = body[lengthPrefixBytes+size:]
	}
	return records, len(records) > 0 && len(body) == 0
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be a number", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	batch, err := s.readBlocking(r.Context(), query.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case from < batch.Earliest || from > batch.Next:
		writeJSON(w, http.StatusGone, map[string]uint64{"first": batch.Earliest})
	default:
		writeBatch(w, batch)
	}
}

// readBlocking reads records from an offset on. If there are none, it waits for an
// append for at most the given time.
func (s *Service) readBlocking(ctx context.Context, topic string, from uint64, wait time.Duration) (streamlog.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		appended := s.appended
		s.mutex.Unlock()
		batch, err := s.Read(ctx, topic, from, maxRecords)
		if err != nil || batch.Next != from {
			return batch, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

// writeBatch writes the next and the earliest offset, followed by the records with
// their length prefixes.
func writeBatch(w http.ResponseWriter, batch streamlog.Batch) {
	body := binary.BigEndian.AppendUint64(nil, batch.Next)
	body = binary.BigEndian.AppendUint64(body, batch.Earliest)
	for _, record := range batch.Records {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record.Data)))
		body = append(body, record.Data...)
	}
	_, _ = w.Write(body)
}

// newestItem is one item of the response to log-newest.
type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset uint64 `json:"offset"`
}

func (s *Service) serveNewest(w http.ResponseWriter, r *http.Request) {
	if _, err := s.applyFaults(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.mutex.Lock()
	st := s.stream(r.URL.Query().Get("topic"))
	items := make([]newestItem, 0, len(st.newest))
	for key, record := range st.newest {
		items = append(items, newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(record.value), Offset: record.offset})
	}
	end := st.firstOffset + uint64(len(st.records))
	s.mutex.Unlock()
	slices.SortFunc(items, func(a, b newestItem) int { return int(a.Offset) - int(b.Offset) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
