// Package node implements the node daemon as a library. One node process runs
// beside each target VM. It accepts requests of callers, sends the calls that
// its target makes to other services, admits calls to the target, and takes
// part in the control protocol of the nodes.
//
// A node has four listeners: for callers, for the target beside it, for other
// nodes, and for operators. Its state is divided among three owners: the
// executor's task owns the gate and the deduplication table, the control task
// owns the catalogue and the member table, and the router keeps counters per
// target. See the subpackages.
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
	// peerIdleTimeout is the time after which an idle connection to another node
	// is closed. It exceeds the deadlines that services usually have.
	peerIdleTimeout = 5 * time.Minute
	// housekeepingInterval is the time between two checks for idle connections.
	housekeepingInterval = 30 * time.Second
)

// Options configures a Node.
type Options struct {
	Settings *pb.NodeSettings
	// Log is the platform's log. If nil, an HTTP client for settings.log is used.
	Log    streamlog.Log
	Logger *zap.Logger
	// Metrics is closed with the node. If nil, the node creates its own.
	Metrics *telemetry.Metrics
	// Intervals configures the control task. Zero fields get default values.
	Intervals control.Intervals
	// Unobserved disables metrics, journal entries and burn counters of calls. It
	// is used to measure the cost of observation.
	Unobserved bool
}

// A Node is a running node. It is safe for concurrent use.
type Node struct {
	settings         *pb.NodeSettings
	logger           *zap.Logger
	log              streamlog.Log
	control          *control.Control
	router           *route.Router
	pool             *transport.Pool
	server           *transport.Server
	dispatcher       *dispatch.Dispatcher
	downstream       *threshold.Downstream
	operations       *threshold.Operations
	api              *httpapi.API
	certificates     certificates
	observer         *observation.Observer
	metrics          *telemetry.Metrics
	cancels          *cancels.Calls
	senders          *senders
	successors       *successors
	operationNumbers *operationNumbers
	listeners        *listeners
	servers          httpServers

	// executors[0] is the current executor. The others belong to earlier
	// incarnations of this node and still serve requests with their idempotency
	// keys.
	executorsMutex sync.Mutex
	executors      []*executor.Executor

	// target is the latest announcement of the target, nil before the first one.
	target atomic.Pointer[pb.Announcement]
	// draining is true once the drain of the current incarnation has started,
	// drained once it has ended.
	draining atomic.Bool
	drained  atomic.Bool
	// successor is the incarnation that took over the idempotency keys, 0 if none.
	successor atomic.Uint64
	// joined is true while the control task has a registration of the current
	// incarnation.
	joined     atomic.Bool
	unobserved bool
	background sync.WaitGroup
	stop       context.CancelFunc
	ctx        context.Context
}

// Start opens the listeners that the settings name and starts the tasks of the
// node. Shutdown or Close stops it.
func Start(options Options) (*Node, error) {
	n := &Node{
		settings:         options.Settings,
		logger:           options.Logger,
		log:              options.Log,
		cancels:          cancels.New(),
		senders:          newSenders(),
		successors:       newSuccessors(),
		operationNumbers: newOperationNumbers(),
		unobserved:       options.Unobserved,
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
		n.abortStart()
		return nil, err
	}
	n.startTasks()
	n.logger.Info("node: started", zap.String("vm", n.settings.GetVm()), zap.Uint64("incarnation", n.current().Incarnation()))
	return n, nil
}

// abortStart releases the resources of a start that failed.
func (n *Node) abortStart() {
	n.stop()
	n.listeners.close()
	for _, e := range n.executors {
		e.Stop()
	}
}

// build creates the components of the node. Nothing runs yet except the
// executor, which is created after the other components that can fail, apart
// from the HTTP servers.
func (n *Node) build(options Options) error {
	incarnation := newIncarnation()
	if err := n.loadCertificates(); err != nil {
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

// buildObservation creates the metrics, the journal and the burn counters.
func (n *Node) buildObservation(options Options) error {
	n.observer = observation.New(observation.Config{
		Node:      n.settings.GetVm(),
		Entries:   int(n.settings.GetBounds().GetJournalEntries()),
		Objective: n.goodputObjective,
	})
	var err error
	if n.metrics, err = metricsFrom(options); err != nil {
		return errors.Wrap(err, "node: the metrics could not be set up")
	}
	return n.exportMetrics()
}

// buildRouting creates the connection pool, the router and the thresholds of
// downstream services.
func (n *Node) buildRouting(incarnation uint64) {
	start := time.Now()
	n.pool = transport.NewPool(transport.ClientConfig{
		TLS:          n.certificates.client(),
		MaxBodyBytes: n.maxBodyBytes(),
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
		OnEvicted: n.handleEviction,
		Intervals: intervalsFrom(options),
	})
	return errors.Wrap(err, "node: the control task could not be set up")
}

// buildCalls creates the dispatcher, the API for callers, and the server for
// calls from other nodes.
func (n *Node) buildCalls(incarnation uint64) {
	n.dispatcher = dispatch.New(dispatch.Config{
		Self:          func() uint64 { return n.current().Incarnation() },
		Router:        n.router,
		Downstream:    n.downstream,
		Local:         n,
		Remote:        n.pool,
		Successor:     n.keyHolder,
		OnUnreachable: n.control.ReportSuspect,
		Observe:       n.observeAttempt,
		Seed:          incarnation,
	})
	n.api = httpapi.New(httpapi.Config{
		Catalogue:    n.catalogue,
		Dispatcher:   n.dispatcher,
		FindRunning:  n.findRunning,
		OwnService:   n.settings.GetService(),
		Observe:      n.observeRoot,
		MaxBodyBytes: n.maxBodyBytes(),
	})
	n.server = transport.NewServer(transport.ServerConfig{
		Handler:        n,
		TLS:            n.certificates.server(tlsconfig.RoleNode),
		MaxBodyBytes:   n.maxBodyBytes(),
		MaxConnections: int(n.settings.GetBounds().GetNodeConnections()),
		Logger:         telemetry.Named(n.logger, telemetry.PartPeers),
	})
}

// maxBodyBytes returns the maximum size of the body of one call.
func (n *Node) maxBodyBytes() int64 { return int64(n.settings.GetBounds().GetBodyBytes()) }

func metricsFrom(options Options) (*telemetry.Metrics, error) {
	if options.Metrics != nil {
		return options.Metrics, nil
	}
	return telemetry.NewMetrics()
}

// intervalsFrom returns the intervals of the options. The poll interval and the
// timeout of the log default to those in the settings.
func intervalsFrom(options Options) control.Intervals {
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
		// crypto/rand.Read never returns an error; it crashes the program if the
		// system cannot provide random bytes.
		_, _ = rand.Read(random[:])
		if incarnation := binary.BigEndian.Uint64(random[:]); incarnation != 0 {
			return incarnation
		}
	}
}

// member returns the member record with which this node registers.
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

// address returns the address that other nodes connect to. If the advertised
// address has port 0, it is the address of the listener, whose port the system
// has chosen.
func (n *Node) address() string {
	advertise := n.settings.GetAdvertise()
	if advertise == "" || strings.HasSuffix(advertise, ":0") {
		return n.listeners.nodes.Addr().String()
	}
	return advertise
}

// startTasks starts the background tasks and the servers.
func (n *Node) startTasks() {
	n.spawn(func() { n.logTaskError("control", n.control.Run(n.ctx)) })
	n.spawn(func() { n.observer.Run(n.ctx) })
	n.spawn(n.watchMembers)
	n.spawn(n.closeIdleConnections)
	if n.certificates.source != nil {
		n.spawn(func() {
			n.certificates.source.Watch(n.ctx, tlsconfig.ReloadInterval, telemetry.Named(n.logger, telemetry.PartTLS))
		})
	}
	n.spawn(func() { n.logTaskError("transport", n.server.Serve(n.listeners.nodes)) })
	n.serveHTTP()
}

func (n *Node) spawn(task func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		task()
	}()
}

func (n *Node) logTaskError(part string, err error) {
	if err != nil && n.ctx.Err() == nil {
		n.logger.Error("node: a component stopped unexpectedly", zap.String("part", part), telemetry.ErrorField(err))
	}
}

func (n *Node) closeIdleConnections() {
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

// catalogue returns the applied catalogue, or nil if none is known yet.
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

// retained returns the executor of a current or earlier incarnation of this
// node, or nil if the node does not keep one.
func (n *Node) retained(incarnation uint64) *executor.Executor {
	n.executorsMutex.Lock()
	defer n.executorsMutex.Unlock()
	for _, e := range n.executors {
		if e.Incarnation() == incarnation {
			return e
		}
	}
	return nil
}

// findRunning returns the running call with the token, whichever executor runs
// it, or nil if there is none.
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
