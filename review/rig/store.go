package rig

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Figures of the platform's store.
const (
	storeAnswer = 4 * time.Millisecond
	storeAppend = 2 * time.Millisecond
	maxWait     = 30 * time.Second
)

// Store is a stand-in of the platform's metadata store. It has the calls that nodes use.
type Store struct {
	address string
	server  *http.Server

	mutex   sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

func startStore(address string) (*Store, error) {
	s := &Store{address: address, topics: make(map[string][][]byte), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.newest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *Store) close() { _ = s.server.Close() }

// PutConfig writes the operator's configuration.
func (s *Store) PutConfig(version int, resources ...any) error {
	document, err := json.Marshal(map[string]any{"version": hex8(version), "resources": resources})
	if err != nil {
		return err
	}
	s.add("keyed.op", keyed("config", document))
	return nil
}

// Route returns a route of a configuration.
func Route(name, host, prefix, kind, service, timeout string, attempts int) any {
	return map[string]any{"type": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"hostname": host, "path_prefix": prefix, "kind": kind, "timeout": timeout, "target_latency": "1500ms",
		"priority": 0, "service": service, "attempts": attempts}}
}

// Service returns a service of a configuration.
func Service(name string) any {
	return map[string]any{"type": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"health_path": "/healthz", "max_connections": 1330, "protocol": "h1", "tls": false}}
}

// Limits returns the limits of a configuration, those that the bench's messages show.
func Limits() any {
	return map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"}}
}

func hex8(version int) string {
	text := strconv.FormatInt(int64(version), 16)
	return "00000000"[len(text):] + text
}

func keyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

func (s *Store) add(topic string, records ...[]byte) (offset int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	topic := r.URL.Query().Get("topic")
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	time.Sleep(storeAppend)
	offset := s.add(topic, records...)
	time.Sleep(storeAnswer)
	writeJSON(w, map[string]any{"offset": offset, "end": offset + len(records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(min(time.Duration(wait)*time.Millisecond, maxWait))
	for waiting := true; waiting; {
		s.mutex.Lock()
		length, changed := len(s.topics[query.Get("topic")]), s.changed
		s.mutex.Unlock()
		if length > from {
			break
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	time.Sleep(storeAnswer)
	s.mutex.Lock()
	records := s.topics[query.Get("topic")]
	s.mutex.Unlock()
	response := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	response = binary.BigEndian.AppendUint64(response, 0)
	for _, record := range records[min(from, len(records)):] {
		response = binary.BigEndian.AppendUint32(response, uint32(len(record)))
		response = append(response, record...)
	}
	_, _ = w.Write(response)
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	s.mutex.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mutex.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	byKey := make(map[string]item)
	for offset, record := range records {
		length := int(record[0])
		key, value := string(record[1:1+length]), record[1+length:]
		byKey[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset}
		if len(value) == 0 {
			delete(byKey, key)
		}
	}
	items := make([]item, 0, len(byKey))
	for _, i := range byKey {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
