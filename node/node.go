// Package node is the node daemon as a library: the entry for callers, the
// sender for the calls of the target, the gate in front of the target, and the
// control work. One node runs beside each target VM.
//
// Four listeners serve callers, the target beside the node, other nodes and
// operators. The executor's task owns gate and at-most-once table, the control
// task owns catalogue and member table, and the router holds counters of
// targets; see the packages below.
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/catalogue"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/cancels"
	"github.com/primrosemount/primrosemount/node/control"
	"github.com/primrosemount/primrosemount/node/dispatch"
	"github.com/primrosemount/primrosemount/node/executor"
	"github.com/primrosemount/primrosemount/node/httpapi"
	"github.com/primrosemount/primrosemount/node/observation"
	"github.com/primrosemount/primrosemount/platform"
	"github.com/primrosemount/primrosemount/streamlog"
	"github.com/primrosemount/primrosemount/telemetry"
	"github.com/primrosemount/primrosemount/transport"
	"github.com/primrosemount/primrosemount/transport/tlsconfig"
)

const (
	// peerIdleTimeout closes connections to nodes that are no longer called. It
	// is longer than the longest usual deadline.
	peerIdleTimeout = 5 * time.Minute
	// housekeepingInterval is the time between two rounds of closing idle
	// connections.
	housekeepingInterval = 30 * time.Second
)

// Options configure a Node.
type Options struct {
	Settings *pb.NodeSettings
	// Log is the platform's log; nil means the HTTP client for settings.log.
	Log    streamlog.Log
	Logger *zap.Logger
	// Metrics are closed with the node; nil means new ones.
	Metrics *telemetry.Metrics
	// Intervals of the control task; zero fields get the defaults.
	Intervals control.Intervals
	// Unobserved keeps calls out of metrics, journal and burn counters. It is
	// for measuring what these cost.
	Unobserved bool
}

// Node is one running node. It is safe for concurrent use.
type Node struct {
	settings   *pb.NodeSettings
	logger     *zap.Logger
	log        streamlog.Log
	control    *control.Control
	router     *route.Router
	pool       *transport.Pool
	server     *transport.Server
	dispatcher *dispatch.Dispatcher
	downstream *threshold.Downstream
	operations *threshold.Operations
	api        *httpapi.API
	trust      trust
	observer   *observation.Observer
	metrics    *telemetry.Metrics
	cancels    *cancels.Calls
	senders    *senders
	successors *successors
	numbers    *numbers
	listeners  *listeners
	servers    httpServers

	// executors[0] is the present executor; the others belong to earlier
	// incarnations whose keys this node still answers for.
	executorsMutex sync.Mutex
	executors      []*executor.Executor

	target     atomic.Pointer[pb.Announcement]
	draining   atomic.Bool
	drained    atomic.Bool
	successor  atomic.Uint64
	joined     atomic.Bool
	unobserved bool
	background sync.WaitGroup
	stop       context.CancelFunc
	ctx        context.Context
}

// Start opens the listeners of the settings and starts the node's tasks.
// Shutdown or Close ends it.
func Start(options Options) (*Node, error) {
	n := &Node{
		settings:   options.Settings,
		logger:     options.Logger,
		log:        options.Log,
		cancels:    cancels.New(),
		senders:    newSenders(),
		successors: newSuccessors(),
		numbers:    newNumbers(),
		unobserved: options.Unobserved,
	}
	if n.log == nil {
		settings := options.Settings.GetLog()
		n.log = platform.NewStore(settings.GetUrl()).Log(settings.GetTimeout().AsDuration())
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	opened, err := openListeners(options.Settings.GetListen())
	if err != nil {
		return nil, err
	}
	n.listeners = opened
	if err := n.build(options); err != nil {
		n.abandon()
		return nil, err
	}
	n.runAll()
	n.logger.Info("node: started", zap.String("vm", n.settings.GetVm()), zap.Uint64("incarnation", n.current().Incarnation()))
	return n, nil
}

// abandon ends what a failed start has begun.
func (n *Node) abandon() {
	n.stop()
	n.listeners.close()
	for _, e := range n.executors {
		e.Stop()
	}
}

// build creates the parts of the node; nothing runs yet except the executor,
// which comes last of what can fail before it.
func (n *Node) build(options Options) error {
	incarnation := newIncarnation()
	if err := n.loadTrust(); err != nil {
		return err
	}
	if err := n.buildObservation(options); err != nil {
		return err
	}
	n.buildRouting(incarnation)
	if err := n.buildControl(options, incarnation); err != nil {
		return err
	}
	n.executors = []*executor.Executor{n.newExecutor(incarnation)}
	n.buildCalls(incarnation)
	return n.buildHTTP()
}

// buildObservation creates metrics, journal and burn counters.
func (n *Node) buildObservation(options Options) error {
	n.observer = observation.New(observation.Config{
		Node:      n.settings.GetVm(),
		Entries:   int(n.settings.GetBounds().GetJournalEntries()),
		Objective: n.objective,
	})
	var err error
	if n.metrics, err = metricsOf(options); err != nil {
		return errors.Wrap(err, "node: the metrics could not be set up")
	}
	return n.exportMetrics()
}

// buildRouting creates what chooses targets and connects to their nodes.
func (n *Node) buildRouting(incarnation uint64) {
	start := time.Now()
	n.pool = transport.NewPool(transport.ClientConfig{
		TLS:          n.trust.client(),
		MaxBodyBytes: n.bodyBytes(),
		IdleTimeout:  peerIdleTimeout,
	})
	n.router = route.New(route.Config{
		Self:     incarnation,
		Zone:     n.settings.GetAvailabilityZone(),
		Region:   n.settings.GetRegion(),
		Seed:     incarnation,
		Start:    start,
		Observer: n.observeRouting,
	})
	n.downstream = threshold.NewDownstream(start)
	n.operations = threshold.NewOperations(n.downstream)
}

// buildControl creates the control task.
func (n *Node) buildControl(options Options, incarnation uint64) error {
	var err error
	n.control, err = control.New(control.Config{
		Self:      n.member(incarnation),
		Log:       n.log,
		Peers:     n.pool,
		Seeds:     n.settings.GetSeeds(),
		Seed:      incarnation,
		Logger:    n.logger,
		OnEvicted: n.evicted,
		Intervals: intervals(options),
	})
	return errors.Wrap(err, "node: the control task could not be set up")
}

// buildCalls creates what serves and makes calls.
func (n *Node) buildCalls(incarnation uint64) {
	n.dispatcher = dispatch.New(dispatch.Config{
		Self:              func() uint64 { return n.current().Incarnation() },
		Router:            n.router,
		Downstream:        n.downstream,
		Local:             n,
		Remote:            n.pool,
		Successor:         n.holder,
		ReportSuspect: n.control.ReportSuspect,
		Observe:           n.observeAttempt,
		Seed:              incarnation,
	})
	n.api = httpapi.New(httpapi.Config{
		Catalogue:    n.catalogue,
		Dispatcher:   n.dispatcher,
		FindRunning:  n.findRunning,
		OwnService:   n.settings.GetService(),
		Observe:      n.observeRoot,
		MaxBodyBytes: n.bodyBytes(),
	})
	n.server = transport.NewServer(transport.ServerConfig{
		Handler:        n,
		TLS:            n.trust.server(tlsconfig.RoleNode),
		MaxBodyBytes:   n.bodyBytes(),
		MaxConnections: int(n.settings.GetBounds().GetNodeConnections()),
	})
}

// bodyBytes bounds the body of one call.
func (n *Node) bodyBytes() int64 { return int64(n.settings.GetBounds().GetBodyBytes()) }

func metricsOf(options Options) (*telemetry.Metrics, error) {
	if options.Metrics != nil {
		return options.Metrics, nil
	}
	return telemetry.NewMetrics()
}

// intervals takes the interval and timeout of the log from the settings unless
// the options give them.
func intervals(options Options) control.Intervals {
	result := options.Intervals
	if result.Poll == 0 {
		result.Poll = options.Settings.GetLog().GetPollInterval().AsDuration()
	}
	if result.LogTimeout == 0 {
		result.LogTimeout = options.Settings.GetLog().GetTimeout().AsDuration()
	}
	return result
}

func (n *Node) newExecutor(incarnation uint64) *executor.Executor {
	return executor.New(executor.Config{
		Service:       n.settings.GetService(),
		Incarnation:   incarnation,
		KeyTableBytes: int64(n.settings.GetBounds().GetKeyTableBytes()),
		Operations:    n.operations,
		Logger:        telemetry.Named(n.logger, telemetry.PartGate),
	})
}

// newIncarnation returns a random incarnation other than 0.
func newIncarnation() uint64 {
	for {
		var random [8]byte
		// crypto/rand.Read never fails; the program ends if the system has no
		// randomness.
		_, _ = rand.Read(random[:])
		if incarnation := binary.BigEndian.Uint64(random[:]); incarnation != 0 {
			return incarnation
		}
	}
}

// member describes this node as it registers.
func (n *Node) member(incarnation uint64) *pb.Member {
	target := n.target.Load()
	return &pb.Member{
		Incarnation:      incarnation,
		Vm:               n.settings.GetVm(),
		Service:          n.settings.GetService(),
		AvailabilityZone: n.settings.GetAvailabilityZone(),
		Region:           n.settings.GetRegion(),
		NodeAddress:      n.address(),
		Slots:            target.GetSlots(),
		Connections:      target.GetConnections(),
		JoinedUnixNanos:  time.Now().UnixNano(),
	}
}

// address returns the address that other nodes use. With port 0 the system
// chose the port of the listener.
func (n *Node) address() string {
	advertise := n.settings.GetAdvertise()
	if advertise == "" || strings.HasSuffix(advertise, ":0") {
		return n.listeners.nodes.Addr().String()
	}
	return advertise
}

// runAll starts the tasks and servers.
func (n *Node) runAll() {
	n.spawn(func() { n.logEnd("control", n.control.Run(n.ctx)) })
	n.spawn(func() { n.observer.Run(n.ctx) })
	n.spawn(n.followMembers)
	n.spawn(n.keepHouse)
	if n.trust.source != nil {
		n.spawn(func() {
			n.trust.source.Watch(n.ctx, tlsconfig.ReloadInterval, telemetry.Named(n.logger, telemetry.PartTLS))
		})
	}
	n.spawn(func() { n.logEnd("transport", n.server.Serve(n.listeners.nodes)) })
	n.serveHTTP()
}

func (n *Node) spawn(task func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		task()
	}()
}

func (n *Node) logEnd(part string, err error) {
	if err != nil && n.ctx.Err() == nil {
		n.logger.Error("node: a part ended", zap.String("part", part), telemetry.ErrorField(err))
	}
}

func (n *Node) keepHouse() {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			n.pool.CloseIdle(now)
		case <-n.ctx.Done():
			return
		}
	}
}

// catalogue returns the catalogue in force, or nil while it is not known.
func (n *Node) catalogue() *catalogue.Snapshot {
	snapshot := n.control.Snapshot()
	if !snapshot.CatalogueKnown {
		return nil
	}
	return snapshot.Catalogue
}

func (n *Node) current() *executor.Executor {
	n.executorsMutex.Lock()
	defer n.executorsMutex.Unlock()
	return n.executors[0]
}

// earlier returns the executor of the incarnation if this node still has it.
func (n *Node) earlier(incarnation uint64) *executor.Executor {
	n.executorsMutex.Lock()
	defer n.executorsMutex.Unlock()
	for _, e := range n.executors {
		if e.Incarnation() == incarnation {
			return e
		}
	}
	return nil
}

// findRunning returns the running call of a token of any executor.
func (n *Node) findRunning(token string) *executor.RunningCall {
	n.executorsMutex.Lock()
	executors := append([]*executor.Executor(nil), n.executors...)
	n.executorsMutex.Unlock()
	for _, e := range executors {
		if running := e.Find(token); running != nil {
			return running
		}
	}
	return nil
}
