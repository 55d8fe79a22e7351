package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// beatPause is the time between two heartbeats of a backend.
const beatPause = 1500 * time.Millisecond

// run is a request that a backend began to work on.
type run struct {
	id, tenant, caller string
	backend            string
	at                 time.Time
}

// backend is a stand-in for an application backend beside a node.
type backend struct {
	vm       *vm
	id       string
	born     int64
	capacity int
	work     time.Duration
	server   *http.Server
	mu       sync.Mutex
	runs     []run
	// ended is the number of runs that have ended with an answer.
	ended    int
	sequence int
	stopBeat context.CancelFunc
	// respond, if set, replaces the usual response.
	respond func(w http.ResponseWriter, r *http.Request) bool
}

func (v *vm) startBackend(id string, capacity int, work time.Duration) error {
	listener, err := net.Listen("tcp", v.at(portApp))
	if err != nil {
		return err
	}
	b := &backend{vm: v, id: id, born: time.Now().UnixMilli(), capacity: capacity, work: work}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	v.backend = b
	v.rig.rec.line("backend %s: started at %s, service %s", id, v.at(portApp), v.service)
	return nil
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", b.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	started := run{id: id, tenant: r.Header.Get("X-Tenant"), caller: r.Header.Get("X-Caller-Service"), backend: b.id, at: time.Now()}
	b.mu.Lock()
	b.runs = append(b.runs, started)
	b.mu.Unlock()
	b.vm.rig.rec.line("backend %s: runs %s tenant=%s", b.id, id, started.tenant)
	if b.respond != nil && b.respond(w, r) {
		return
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	b.mu.Lock()
	b.ended++
	b.mu.Unlock()
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Seal", "seal."+id)
	_, _ = io.WriteString(w, "answer of "+id)
}

// exit ends the backend at once, and returns the number of requests that were running.
func (b *backend) exit() int {
	_ = b.server.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vm.rig.rec.line("backend %s: has ended, %d requests were running", b.id, len(b.runs)-b.ended)
	return len(b.runs) - b.ended
}

// runsAfter returns the number of requests that the backend began to work on after a time.
func (b *backend) runsAfter(after time.Time) int {
	count := 0
	for _, started := range b.allRuns() {
		if started.at.After(after) {
			count++
		}
	}
	return count
}

// allRuns returns the runs of the backend.
func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

// post sends a call to the control address of the node beside the backend and returns the
// status, or 0.
func (b *backend) post(path, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.vm.at(portControl)+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// beat sends one heartbeat.
func (b *backend) beat(state string) int { return b.deliver(b.newBeat(state)) }

// A heartbeat is one that has been sent and may arrive later.
type heartbeat struct {
	body, state string
	sequence    int
	sent        time.Time
}

// newBeat returns the next heartbeat.
func (b *backend) newBeat(state string) heartbeat {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":%d},"status":{"state":%q,"sequence":%d,"cold_remaining":"0ms"}}`,
		b.vm.at(portApp), b.born, b.vm.service, b.vm.zone, b.capacity, state, b.sequence)
	return heartbeat{body: body, state: state, sequence: b.sequence, sent: time.Now()}
}

// deliver lets a heartbeat arrive and returns the status of the answer.
func (b *backend) deliver(h heartbeat) int {
	status := b.post("/v1/Instances.Heartbeat/"+b.id, h.body)
	b.vm.rig.rec.line("backend %s born %d: heartbeat %s sequence %d arrives %.1f s after it was sent: status %d",
		b.id, b.born, h.state, h.sequence, time.Since(h.sent).Seconds(), status)
	return status
}

// leave sends Leave until it is acknowledged, and returns the time of the acknowledgement.
func (b *backend) leave() (time.Time, error) {
	for range 20 {
		status := b.post("/v1/Instances.Leave/"+b.id, fmt.Sprintf(`{"born":%d}`, b.born))
		b.vm.rig.rec.line("backend %s: leave: status %d", b.id, status)
		if status/100 == 2 {
			return time.Now(), nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("the leave of %s was not acknowledged", b.id)
}

// startBeats sends a ready heartbeat every 1.5 s until stopBeats is called.
func (b *backend) startBeats() {
	ctx, cancel := context.WithCancel(context.Background())
	b.stopBeat = cancel
	go func() {
		for ctx.Err() == nil {
			b.beat("ready")
			select {
			case <-ctx.Done():
			case <-time.After(beatPause):
			}
		}
	}()
}

func (b *backend) stopBeats() { b.stopBeat() }

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	attempts, priority                int
	timeout                           time.Duration
}

// tenant is a tenant of the configuration.
type tenant struct {
	name, key   string
	rate, burst float64
}

// configure writes a version of the configuration as the operator does.
func (r *rig) configure(version int, routes []route, services []string, tenants []tenant) {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":"%08x","resources":[`, version)
	for _, t := range routes {
		fmt.Fprintf(&text, `{"type":"routes","metadata":{"name":%q},"spec":{"hostname":%q,"path_prefix":%q,"kind":%q,"timeout":"%dms","target_latency":"500ms","priority":%d,"service":%q,"attempts":%d}},`,
			t.name, t.host, t.prefix, t.kind, t.timeout.Milliseconds(), t.priority, t.service, t.attempts)
	}
	for _, s := range services {
		fmt.Fprintf(&text, `{"type":"services","metadata":{"name":%q},"spec":{"health_path":"/healthz","max_connections":1000}},`, s)
	}
	for _, t := range tenants {
		fmt.Fprintf(&text, `{"type":"tenants","metadata":{"name":%q},"spec":{"api_keys":[%q],"rate_per_s":%g,"burst":%g}},`, t.name, t.key, t.rate, t.burst)
	}
	text.WriteString(`{"type":"limits","metadata":{"name":"limits"},"spec":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout":"5000ms","idle_timeout":"30000ms"}}]}`)
	r.store.put("keyed.op", "config", []byte(text.String()))
	r.rec.line("operator: configuration %d is acknowledged", version)
}

// answer is what a client got.
type answer struct {
	status  int
	err     error
	body    string
	sealed  bool
	attempt string
}

// request sends one request on a new connection and waits for its answer.
func request(v *vm, method, host, path, id, key string, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+v.at(portOutbound)+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	q.Host = host
	q.Close = true
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		q.Header.Set("X-Credential", key)
	}
	response, err := clientTransport.RoundTrip(q)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, err: err, body: string(data), sealed: response.Header.Get("X-Response-Seal") != "", attempt: response.Header.Get("X-Attempt-Id")}
}

// clientTransport never sends a request again.
var clientTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
