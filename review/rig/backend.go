package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// An Arrival is a request that a backend began to work on.
type Arrival struct {
	ID     string
	At     time.Time
	Method string
	Path   string
	// Remaining is the time that the request says is left.
	Remaining time.Duration
	BodyBytes int64
}

// Backend is a stand-in of the application backend on a machine.
type Backend struct {
	Machine  int
	Service  string
	Zone     string
	ID       string
	Capacity int
	// Work does the work of a request. It returns the status and the body.
	Work func(ctx context.Context, a Arrival) (int, []byte)

	rig      *Rig
	server   *http.Server
	born     int64
	mutex    sync.Mutex
	sequence int
	state    string
	silent   bool
	arrivals []Arrival
	done     chan struct{}
	stopOnce sync.Once
}

// StartBackend starts a backend and its heartbeats.
func (r *Rig) StartBackend(machine int, service, zone string, work func(context.Context, Arrival) (int, []byte)) (*Backend, error) {
	return r.StartBackendAt(machine, service, zone, time.Now(), work)
}

// StartBackendAt is StartBackend on a machine whose clock shows the given time.
func (r *Rig) StartBackendAt(machine int, service, zone string, clock time.Time, work func(context.Context, Arrival) (int, []byte)) (*Backend, error) {
	b := &Backend{Machine: machine, Service: service, Zone: zone, ID: fmt.Sprintf("i-%d-%s", machine, service), Capacity: 150,
		Work: work, rig: r, born: clock.UnixMilli(), state: "ready", done: make(chan struct{})}
	listener, err := net.Listen("tcp", r.address(machine, portApp))
	if err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	go b.beat()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.backends = append(r.backends, b)
	return b, nil
}

// Stop ends the backend at once.
func (b *Backend) Stop() {
	b.stopOnce.Do(func() {
		close(b.done)
		_ = b.server.Close()
	})
}

// Arrivals returns the requests that the backend began to work on.
func (b *Backend) Arrivals() []Arrival {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", b.ID)
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != b.ID {
		w.Header().Set("X-Instance-Id", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	millis, _ := strconv.Atoi(r.Header.Get("X-Request-Deadline"))
	a := Arrival{ID: id, At: time.Now(), Method: r.Method, Path: r.URL.Path, Remaining: time.Duration(millis) * time.Millisecond}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	a.BodyBytes = n
	b.mutex.Lock()
	b.arrivals = append(b.arrivals, a)
	b.mutex.Unlock()
	b.rig.Record("run", "machine %d (%s): %s %s id=%s body=%d left=%v", b.Machine, b.ID, a.Method, a.Path, id, n, a.Remaining)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if a.Remaining > 0 {
		ctx, cancel = context.WithTimeout(ctx, a.Remaining)
		defer cancel()
	}
	status, body := b.Work(ctx, a)
	if r.Context().Err() != nil {
		b.rig.Record("dropped", "machine %d (%s): id=%s: its connection has closed", b.Machine, b.ID, id)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Seal", seal(id, body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	b.rig.Record("done", "machine %d (%s): id=%s status=%d", b.Machine, b.ID, id, status)
}

func seal(id string, body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// Sleep works for the given time, or until the context ends. It returns the final
// answer of a backend.
func Sleep(ctx context.Context, work time.Duration, id string) (int, []byte) {
	select {
	case <-time.After(work):
		return http.StatusOK, []byte("done " + id)
	case <-ctx.Done():
		return http.StatusGatewayTimeout, []byte("deadline " + id)
	}
}

// beat sends the heartbeats until the backend ends or becomes silent.
func (b *Backend) beat() {
	for {
		if message := b.NextHeartbeat(); message != nil {
			b.SendHeartbeat(message)
		}
		select {
		case <-b.done:
			return
		case <-time.After(Heartbeat):
		}
	}
}

// NextHeartbeat returns the body of the next heartbeat, or nil if the backend sends none.
func (b *Backend) NextHeartbeat() []byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.silent {
		return nil
	}
	b.sequence++
	message, _ := json.Marshal(map[string]any{
		"address": b.rig.address(b.Machine, portApp), "born": b.born,
		"info":   map[string]any{"service": b.Service, "version": "v1", "zone": b.Zone, "capacity": b.Capacity},
		"status": map[string]any{"state": b.state, "sequence": b.sequence, "cold_remaining": "0ms"},
	})
	return message
}

// Drain makes the backend report from now on that it drains. It reports whether the first
// such heartbeat was acknowledged.
func (b *Backend) Drain() bool {
	b.mutex.Lock()
	b.state = "draining"
	b.mutex.Unlock()
	return b.SendHeartbeat(b.NextHeartbeat())
}

// SendHeartbeat sends a heartbeat and reports whether it was acknowledged.
func (b *Backend) SendHeartbeat(message []byte) bool {
	ok := b.control("/v1/Instances.Heartbeat/"+b.ID, message)
	b.rig.Record("heartbeat", "machine %d (%s): acknowledged=%v %s", b.Machine, b.ID, ok, message)
	return ok
}

// Leave announces that the backend leaves, and ends its heartbeats. It reports whether
// the call was acknowledged.
func (b *Backend) Leave() bool {
	b.mutex.Lock()
	b.silent = true
	b.mutex.Unlock()
	message, _ := json.Marshal(map[string]any{"born": b.born})
	ok := b.control("/v1/Instances.Leave/"+b.ID, message)
	b.rig.Record("leave", "machine %d (%s): acknowledged=%v", b.Machine, b.ID, ok)
	return ok
}

func (b *Backend) control(path string, message []byte) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+b.rig.address(b.Machine, portControl)+path, "application/json", bytes.NewReader(message))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}
