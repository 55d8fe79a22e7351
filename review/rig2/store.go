package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// topicOperator is the topic of the operator, and keyConfig the key of its configuration.
const (
	topicOperator = "keyed.op"
	keyConfig     = "config"
)

// topic is partition 0 of a topic.
type topic struct {
	records [][]byte
	// newest holds the offset of the newest record of each key.
	newest map[string]int
}

// content is the content of the store at one moment.
type content map[string]*topic

// clone returns a copy.
func (c content) clone() content {
	clones := make(content, len(c))
	for name, t := range c {
		clones[name] = &topic{records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
	}
	return clones
}

// store is the platform's metadata store.
type store struct {
	address string

	mu      sync.Mutex
	topics  content
	changed chan struct{}
	server  *http.Server
	// era is the number in the header Store-Era.
	era uint64
}

func newStore(address string) (*store, error) {
	s := &store{address: address, topics: make(content), changed: make(chan struct{}), era: 1}
	return s, s.start()
}

// start makes the store reachable.
func (s *store) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// stop makes the store unreachable and ends all connections.
func (s *store) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.server.Close()
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns a copy of the content.
func (s *store) copy() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics.clone()
}

// returnFrom replaces the content of a stopped store by a copy.
func (s *store) returnFrom(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = c.clone()
	s.era++
}

// topic returns a topic, which is created on first use. The mutex must be held.
func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: make(map[string]int)}
	}
	return s.topics[name]
}

// append appends a record. The mutex must be held.
func (s *store) append(name string, record []byte) int {
	t := s.topic(name)
	t.records = append(t.records, bytes.Clone(record))
	offset := len(t.records) - 1
	if len(record) > 0 && int(record[0]) < len(record) {
		key := string(record[1 : 1+record[0]])
		t.newest[key] = offset
		if len(record) == 1+int(record[0]) {
			delete(t.newest, key)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// answer writes an answer with the era. The mutex must not be held.
func (s *store) answer(w http.ResponseWriter, status int, body []byte) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) answerJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	body, _ := json.Marshal(value)
	s.answer(w, status, body)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	end := len(s.topic(name).records)
	if condition := r.URL.Query().Get("as_of"); condition != "" && condition != strconv.Itoa(end) {
		s.mu.Unlock()
		s.answerJSON(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.append(name, body[4:4+size])
		body = body[4+size:]
	}
	newEnd := len(s.topic(name).records)
	s.mu.Unlock()
	s.answerJSON(w, http.StatusOK, map[string]int{"offset": end, "end": newEnd})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		records, changed := s.topic(query.Get("topic")).records, s.changed
		s.mu.Unlock()
		if from > len(records) {
			s.answerJSON(w, http.StatusGone, map[string]int{"first": 0})
			return
		}
		if from < len(records) || !waiting {
			s.answer(w, http.StatusOK, readBody(records, from))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// readBody returns the end, the first offset and the records from an offset on.
func readBody(records [][]byte, from int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range records[from:] {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return body
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := make([]map[string]any, 0, len(t.newest))
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		offset := t.newest[key]
		value := t.records[offset][1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	s.answerJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": end})
}

// putConfig writes a configuration as the operator.
func (f *fleet) putConfig(version int, document string) { f.putConfigs(version, document) }

// putConfigs writes several versions, the first with the given number, with one call.
func (f *fleet) putConfigs(version int, documents ...string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for i, document := range documents {
		record := append([]byte{byte(len(keyConfig))}, keyConfig...)
		offset := f.store.append(topicOperator, fmt.Appendf(record, document, version+i))
		f.history.printf("the store has acknowledged configuration %08x at offset %d", version+i, offset)
	}
}

// setEra sets the number in the header Store-Era.
func (s *store) setEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

func (s *store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
