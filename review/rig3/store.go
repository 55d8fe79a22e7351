package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: a log whose topics "keyed.*" keep the newest
// record of each key. It accepts what PROTOCOL.md describes and loses nothing.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	server  *http.Server
	address string
}

type topic struct {
	records [][]byte
	newest  map[string]keyed
	order   []string
}

type keyed struct {
	value  []byte
	offset int
}

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string]*topic{}, changed: make(chan struct{}), address: address}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// topic returns a topic. The caller holds the mutex.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}}
		s.topics[name] = t
	}
	return t
}

// put appends a keyed record for the operator.
func (s *store) put(topicName, key string, value []byte) {
	record := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topicName, [][]byte{record})
}

// append appends records. The caller holds the mutex.
func (s *store) append(topicName string, records [][]byte) (offset, end int) {
	t := s.topic(topicName)
	offset = len(t.records)
	for _, record := range records {
		if len(record) > 0 && int(record[0]) <= len(record)-1 {
			key, value := string(record[1:1+record[0]]), record[1+int(record[0]):]
			t.newest[key] = keyed{value: value, offset: len(t.records)}
		}
		t.records = append(t.records, record)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(t.records)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			http.Error(w, "record", http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	if text := r.URL.Query().Get("as_of"); text != "" {
		if at, _ := strconv.Atoi(text); at != len(s.topic(name).records) {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": len(s.topic(name).records)})
			return
		}
	}
	offset, end := s.append(name, records)
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		if from > len(t.records) {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from < len(t.records) {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range t.records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		end := len(t.records)
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			_, _ = w.Write(binary.BigEndian.AppendUint64(body, 0))
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for key, k := range t.newest {
		if len(k.value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(k.value), k.offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
