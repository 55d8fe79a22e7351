// Package target is a small stand-in for a target of the users. It has slots, service
// times, a cold start, drain, load shedding, cancellation, deadlines, and health and
// load endpoints that can report false values. Its operations call other services
// through the node beside it.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/wire"
)

// Downstream is a call that an operation makes to another service.
type Downstream struct {
	Service   string
	Operation string
}

// Operation describes the work of one operation.
type Operation struct {
	Name string
	// Work is the mean duration for which a request holds a slot.
	Work time.Duration
	// Calls are made one after the other after the work, without holding a slot.
	Calls []Downstream
	// FillerBytes is the size of the filler in the response.
	FillerBytes int
}

// Config configures a Target.
type Config struct {
	Service     string
	Slots       int
	Connections int
	// NodeURL is the base URL of the node's listener for its target.
	NodeURL    string
	Operations []Operation
	// ColdStart is the time after the start during which work takes ColdFactor times as
	// long.
	ColdStart  time.Duration
	ColdFactor float64
	// ShedAbove is the number of requests waiting for a slot above which further
	// requests are refused; 0 disables shedding.
	ShedAbove int
	Seed      uint64
	Ledger    *Ledger
	// Listen is the listen address; if it is empty, a free loopback port is used.
	Listen string
}

// Request is the request body.
type Request struct {
	ID string `json:"id"`
}

// Response is the response body.
type Response struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Filler    string `json:"filler"`
}

// Target is a running stand-in.
type Target struct {
	config       Config
	operations   map[string]Operation
	slots        chan struct{}
	waiting      atomic.Int64
	running      atomic.Int64
	received     atomic.Int64
	slowdown     atomic.Int64 // factor in thousandths
	reportedLoad atomic.Int64 // in thousandths; negative: the actual load is reported
	state        atomic.Int32
	started      time.Time
	listener     net.Listener
	server       *http.Server
	client       *http.Client
	stop         context.CancelFunc
	goroutines   sync.WaitGroup
	randMutex    sync.Mutex
	random       *rand.Rand
}

const (
	// fixedPointScale is the factor by which slowdown and reportedLoad are multiplied
	// for storage in atomic integers.
	fixedPointScale  = 1000
	announceInterval = 200 * time.Millisecond
	announceTimeout  = time.Second
	maxBodyBytes     = 1 << 20
)

// Start starts a target, which listens, serves requests and announces itself to its
// node.
func Start(config Config) (*Target, error) {
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "target: listen failed; use a free loopback address")
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &Target{
		config:     config,
		operations: make(map[string]Operation),
		slots:      make(chan struct{}, config.Slots),
		started:    time.Now(),
		listener:   listener,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: config.Slots}},
		stop:       stop,
		random:     rand.New(rand.NewPCG(config.Seed, config.Seed+1)),
	}
	for _, operation := range config.Operations {
		t.operations[operation.Name] = operation
	}
	t.slowdown.Store(fixedPointScale)
	t.reportedLoad.Store(-1)
	t.state.Store(int32(pb.TargetState_TARGET_STATE_READY))
	t.server = &http.Server{Handler: t.handler(), BaseContext: func(net.Listener) context.Context { return ctx }}
	t.goroutines.Add(2)
	go t.serve()
	go t.announceLoop(ctx)
	return t, nil
}

// Address returns the address of the target in the form IP:port.
func (t *Target) Address() string { return t.listener.Addr().String() }

// SetSlowdown sets the factor by which work takes longer.
func (t *Target) SetSlowdown(factor float64) { t.slowdown.Store(int64(factor * fixedPointScale)) }

// SetReportedLoad makes the load endpoint report the given value instead of the actual
// load.
func (t *Target) SetReportedLoad(load float64) { t.reportedLoad.Store(int64(load * fixedPointScale)) }

// Running returns the number of requests that hold a slot, wait for one or make calls.
func (t *Target) Running() int { return int(t.running.Load()) }

// Received returns the number of requests that were accepted for execution.
func (t *Target) Received() int { return int(t.received.Load()) }

// Drain announces that the target is draining, waits until the node reports that no
// work remains, and stops the target. If ctx ends first, executions in progress are
// recorded as aborted.
func (t *Target) Drain(ctx context.Context) error {
	t.state.Store(int32(pb.TargetState_TARGET_STATE_DRAINING))
	for {
		response, err := t.announce(ctx)
		if err == nil && response.GetDrained() && t.running.Load() == 0 {
			break
		}
		select {
		case <-ctx.Done():
			t.Stop()
			return errors.Wrap(ctx.Err(), "target: the drain did not end in time; raise limits.drain")
		case <-time.After(announceInterval / 4):
		}
	}
	t.Stop()
	return nil
}

// Stop stops the target immediately. Executions in progress are recorded as aborted.
func (t *Target) Stop() {
	t.state.Store(int32(pb.TargetState_TARGET_STATE_DRAINING))
	t.shutDown()
}

// Crash stops the target immediately, like the loss of its VM. Executions in progress
// are not recorded as aborted, because the stop is not planned.
func (t *Target) Crash() {
	t.state.Store(int32(pb.TargetState_TARGET_STATE_UNSPECIFIED))
	t.shutDown()
}

// shutDown closes the server, which cancels the requests in progress, and waits for the
// goroutines of the target.
func (t *Target) shutDown() {
	t.stop()
	_ = t.server.Close()
	t.client.CloseIdleConnections()
	t.goroutines.Wait()
}

func (t *Target) serve() {
	defer t.goroutines.Done()
	_ = t.server.Serve(t.listener)
}

// announceLoop announces the target at announceInterval until ctx ends.
func (t *Target) announceLoop(ctx context.Context) {
	defer t.goroutines.Done()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		// A failed announcement is repeated at the next tick.
		_, _ = t.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce sends the state of the target to its node and returns the response.
func (t *Target) announce(ctx context.Context) (*pb.AnnouncementAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := protojson.Marshal(&pb.Announcement{
		Service:     t.config.Service,
		Address:     t.Address(),
		Slots:       uint32(t.config.Slots),
		Connections: uint32(t.config.Connections),
		State:       pb.TargetState(t.state.Load()),
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, t.config.NodeURL+wire.TargetPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := t.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("target: the node refused the announcement: %s", data)
	}
	decoded := &pb.AnnouncementAnswer{}
	return decoded, protojson.Unmarshal(data, decoded)
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.OperationsPath+"{operation}", t.serveOperation)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /load", t.serveLoad)
	mux.HandleFunc("GET "+LedgerPath, t.serveLedger)
	return mux
}

// LedgerPath is the path at which a target lists the executions in its ledger as JSON.
const LedgerPath = "/ledger"

func (t *Target) serveLedger(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.config.Ledger.List())
}

// serveLoad responds with the share of used slots, or with the value set by
// SetReportedLoad.
func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := float64(t.reportedLoad.Load()) / fixedPointScale
	if load < 0 {
		load = float64(t.running.Load()) / float64(t.config.Slots)
	}
	_, _ = io.WriteString(w, strconv.FormatFloat(load, 'f', 3, 64))
}

// serveOperation decodes a request and executes it, or refuses it if too many requests
// wait for a slot.
func (t *Target) serveOperation(w http.ResponseWriter, r *http.Request) {
	operation, ok := t.operations[r.PathValue("operation")]
	if !ok {
		http.Error(w, "unknown operation; check the catalogue", http.StatusNotFound)
		return
	}
	var request Request
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, "the body must be JSON with an id", http.StatusBadRequest)
		return
	}
	if limit := t.config.ShedAbove; limit > 0 && t.waiting.Load() > int64(limit) {
		w.Header().Set(wire.RefusedHeader, "true")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	t.received.Add(1)
	t.running.Add(1)
	defer t.running.Add(-1)
	t.execute(w, r, operation, request)
}

// execute waits for a slot, simulates the work and makes the calls of the operation. It refuses the
// request if no slot becomes free before the deadline.
func (t *Target) execute(w http.ResponseWriter, r *http.Request, operation Operation, request Request) {
	ctx, cancel := context.WithTimeout(r.Context(), deadlineOf(r))
	defer cancel()
	if !t.acquireSlot(ctx) {
		w.Header().Set(wire.RefusedHeader, "true")
		http.Error(w, "no slot before the deadline", http.StatusServiceUnavailable)
		return
	}
	execution := Execution{Service: t.config.Service, Operation: operation.Name, ID: request.ID}
	t.config.Ledger.begin(execution)
	completed := t.simulateWork(ctx, operation.Work)
	<-t.slots
	if !completed || !t.callDownstream(ctx, r, operation, request) {
		t.recordIfAborted(r.Context(), execution)
		if r.Context().Err() != nil {
			// A stopped target does not respond, and a caller that closed its
			// connection cannot receive a response.
			panic(http.ErrAbortHandler)
		}
		http.Error(w, "failed", http.StatusBadGateway)
		return
	}
	t.config.Ledger.finish(execution)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Response{
		ID:        request.ID,
		Service:   t.config.Service,
		Operation: operation.Name,
		Filler:    string(bytes.Repeat([]byte("x"), operation.FillerBytes)),
	})
}

// recordIfAborted records an execution that the stop of the target aborted.
func (t *Target) recordIfAborted(ctx context.Context, execution Execution) {
	stopping := pb.TargetState(t.state.Load()) == pb.TargetState_TARGET_STATE_DRAINING
	if stopping && ctx.Err() != nil {
		t.config.Ledger.recordAborted(execution)
	}
}

// acquireSlot waits for a slot. It returns false if ctx ends first.
func (t *Target) acquireSlot(ctx context.Context) bool {
	t.waiting.Add(1)
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// simulateWork waits for a random duration: half of the mean, plus an exponentially
// distributed part with half of the mean as its own mean. It returns false if ctx ends
// first.
func (t *Target) simulateWork(ctx context.Context, mean time.Duration) bool {
	t.randMutex.Lock()
	factor := 0.5 + 0.5*t.random.ExpFloat64()
	t.randMutex.Unlock()
	factor *= float64(t.slowdown.Load()) / fixedPointScale
	if time.Since(t.started) < t.config.ColdStart {
		factor *= t.config.ColdFactor
	}
	timer := time.NewTimer(time.Duration(float64(mean) * factor))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// callDownstream makes the calls of the operation and reports whether all succeeded.
func (t *Target) callDownstream(ctx context.Context, r *http.Request, operation Operation, request Request) bool {
	for _, downstream := range operation.Calls {
		if !t.call(ctx, r.Header.Get(wire.CallHeader), downstream, request) {
			return false
		}
	}
	return true
}

// call calls another service through the node and reports whether the response is
// valid.
func (t *Target) call(ctx context.Context, token string, downstream Downstream, request Request) bool {
	body, err := json.Marshal(request)
	if err != nil {
		return false
	}
	address := t.config.NodeURL + wire.ServicesPath + downstream.Service + "/" + downstream.Operation
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return false
	}
	outgoing.Header.Set(wire.CallHeader, token)
	response, err := t.client.Do(outgoing)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
		return false
	}
	var decoded Response
	if err := json.NewDecoder(response.Body).Decode(&decoded); err != nil {
		return false
	}
	return decoded.ID == request.ID && decoded.Service == downstream.Service
}

// defaultDeadline is the deadline of requests that have none.
const defaultDeadline = 30 * time.Second

// deadlineOf returns the time that remains until the deadline of a request.
func deadlineOf(r *http.Request) time.Duration {
	remaining, err := time.ParseDuration(r.Header.Get(wire.DeadlineHeader))
	if err != nil || remaining <= 0 {
		return defaultDeadline
	}
	return remaining
}
