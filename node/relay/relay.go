// Package relay is the node on a platform whose clients send plain HTTP along
// routes that an operator defines.
//
// Path of a request. The entry takes a request of a client on its VM, or a call
// of the target, finds the route and the service, and picks a node of the
// service. That node's gate admits the request and sends it to its target. Only
// a node on the same VM reaches a target, so the gate sees every request that
// the target gets, and a refusal by the gate proves that the request did not
// run.
//
// State. Configuration and members lie on the platform's store, in topics that
// keep the newest record of each key. Each node, or in large zones some readers,
// follows the configuration; readers follow the members. All compare with another
// node each second, so that a node that the store does not serve learns both as
// well. Nothing else outlives a process.
//
// Tasks. The gate task owns gate and target state, the members task owns the
// view of the members and this node's announcement; both talk by messages.
package relay

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/callgraph"
	"github.com/primrosemount/primrosemount/core/freshness"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/roster"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/targetstate"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/cancels"
	"github.com/primrosemount/primrosemount/internal/socket"
	"github.com/primrosemount/primrosemount/telemetry"
	"github.com/primrosemount/primrosemount/transport"
)

const (
	// headerBytes bounds the header of a request before a configuration is known.
	headerBytes = 64 << 10
	// headerTimeout bounds the arrival of a header.
	headerTimeout = 10 * time.Second
	// bodyTimeout bounds the arrival of a whole request, and the time until its
	// answer was read, so that clients that stop reading hold no memory for ever.
	bodyTimeout = 60 * time.Second
	// clientIdle is how long a client's connection may be idle. It is longer
	// than any client keeps one.
	clientIdle = 90 * time.Second
	// maxPeers bounds the connections of other nodes.
	maxPeers = 2048
	// peerIdle closes connections to other nodes that carry nothing.
	peerIdle = 30 * time.Second
	// stopServe is how long the gate of a stopping node takes in work of other
	// nodes, so that the capacity of the target is lost for a short time only.
	stopServe = 1200 * time.Millisecond
	// stopPublish bounds the wait for the store to have the last announcement.
	stopPublish = 300 * time.Millisecond
	// stopHold is how long a stopping node takes in requests of clients, so that
	// they see that it is not ready and go elsewhere.
	stopHold = 2200 * time.Millisecond
	// stopMargin is the part of the grace period kept for the exit itself.
	stopMargin = 700 * time.Millisecond
	// stopClose bounds the end of the tasks; the process exits after it anyway.
	stopClose = 200 * time.Millisecond
	// stopPoll is the time between two looks at what still runs.
	stopPoll = 20 * time.Millisecond
)

// Options configure a Relay.
type Options struct {
	// VM is the name of this node's VM.
	VM     string
	Zone   string
	Region string
	// Service is the service of the target beside this node.
	Service string
	// TargetAddress is the listener of the target.
	TargetAddress string
	// EntryAddress takes the requests of clients and of the target.
	EntryAddress string
	// PeerAddress takes the requests of other nodes.
	PeerAddress string
	// AdvertisedAddress is where other nodes reach PeerAddress; empty if they reach
	// it as it is.
	AdvertisedAddress string
	// MetricsAddress serves metrics; empty for none.
	MetricsAddress string
	// GracePeriod is the time from the request to stop until the process is killed.
	GracePeriod time.Duration
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// ConfigBound is the time within which an acknowledged change of the configuration
	// has to be in force; 0 stands for 2 s.
	ConfigBound time.Duration
	// RetryRatio is the number of repeats per request to a service that this
	// node may add in retry.BudgetWindow; RetrySlack is what it may add besides.
	RetryRatio float64
	RetrySlack float64

	HeaderCodec HeaderCodec
	Config      Topic
	Members     Topic
	// Decode reads a configuration document.
	Decode  func(document []byte) (*ingress.Table, error)
	Logger  *zap.Logger
	Metrics *telemetry.Metrics
}

const defaultConfigBound = 2 * time.Second

// bufferShare is the part of the memory, as a divisor, for bodies that are held.
const bufferShare = 4

// bufferBytes bounds the bodies that a node holds, and so a single one.
func (o Options) bufferBytes() int64 { return o.MemoryBytes / bufferShare }

// advertised returns the address that other nodes use.
func (o Options) advertised() string { return cmp.Or(o.AdvertisedAddress, o.PeerAddress) }

// Relay is a running node.
type Relay struct {
	options  Options
	logger   *zap.Logger
	config   *configuration
	gate     *gateTask
	members  *membersTask
	targets  *targetClient
	receiver *receiver
	entry    *entry
	pool     *transport.Pool
	peers    *transport.Server
	server   *http.Server
	metrics  *http.Server
	// peerListener is closed by close; the peer server closes connections only.
	peerListener net.Listener
	target       atomic.Pointer[targetPlace]
	stopping     atomic.Bool
	cancel       context.CancelFunc
	tasks        sync.WaitGroup
	ending       sync.Once
}

// targetPlace is where the target is and what it serves.
type targetPlace struct{ address, service string }

// Start opens the listeners and starts the tasks.
func Start(options Options) (*Relay, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{options: options, logger: telemetry.Named(options.Logger, telemetry.PartNode), cancel: cancel}
	r.target.Store(&targetPlace{address: options.TargetAddress, service: options.Service})
	r.build(ctx)
	if err := r.listen(ctx); err != nil {
		cancel()
		return nil, err
	}
	r.startTasks(ctx)
	r.observeState()
	r.logger.Info(telemetry.MessageNodeStarted, zap.String("vm", options.VM), zap.String("zone", options.Zone),
		zap.String("service", options.Service), zap.String("entry", options.EntryAddress), zap.String("peers", options.advertised()))
	return r, nil
}

func (r *Relay) build(ctx context.Context) {
	o := r.options
	events := newEventLog(o.Logger)
	start := time.Now()
	incarnation := uint64(start.UnixNano())
	identity := roster.Identity(o.VM, incarnation)
	router := route.New(route.Config{Self: identity, Zone: o.Zone, Region: o.Region, Seed: identity, Start: start, Policy: route.NearestCapacity})
	downstream := threshold.NewDownstream(start)
	graph := callgraph.New()
	self := &pb.RelayMember{Vm: o.VM, Zone: o.Zone, Region: o.Region, Address: o.advertised(), Service: o.Service, Incarnation: incarnation}
	r.pool = transport.NewPool(transport.ClientConfig{MaxBodyBytes: o.bufferBytes(), IdleTimeout: peerIdle})
	r.config = newConfiguration(o.Decode, start, telemetry.Named(o.Logger, telemetry.PartControl))
	r.members = newMembersTask(self, o.Members, router, r.pool.Sync, r.config,
		freshness.Rules{PropagationBound: cmp.Or(o.ConfigBound, defaultConfigBound)}, telemetry.Named(o.Logger, telemetry.PartControl))
	r.gate = newGateTask(o.TargetAddress, o.Service, r.config.connections, events.gate, r.members.targetChanged)
	r.members.recall = r.gate.recall
	r.targets = newTargetClient(o.HeaderCodec, o.bufferBytes())
	r.receiver = &receiver{
		gate:       r.gate,
		targets:    r.targets,
		operations: threshold.NewOperations(downstream),
		numbers:    newOperationNumbers(),
		graph:      graph,
		address:    func() string { return r.target.Load().address },
		config:     r.config,
		cancels:    cancels.New(),
		events:     events,
		incoming:   func(address string, version uint64) { r.members.noticed(ctx, address, version) },
		sync: func(request *pb.SyncRequest, response *pb.SyncResponse) {
			r.members.serveSync(ctx, request, response)
		},
	}
	dispatch := &dispatcher{
		router:     router,
		pool:       r.pool,
		local:      r.receiver,
		self:       o.advertised,
		downstream: downstream,
		budgets:    newBudgets(o.RetryRatio, o.RetrySlack),
		sender:     identity,
		events:     events,
		learned:    func(address string, version uint64) { r.members.noticed(ctx, address, version) },
	}
	r.entry = &entry{
		wire:        o.HeaderCodec,
		config:      r.config,
		dispatcher:  dispatch,
		graph:       graph,
		shares:      leastshare.New(),
		origin:      func() string { return r.target.Load().service },
		metrics:     o.Metrics,
		events:      events,
		bufferLimit: o.bufferBytes(),
	}
}

func (r *Relay) listen(ctx context.Context) error {
	entryListener, err := socket.Listen(ctx, r.options.EntryAddress)
	if err != nil {
		return errors.Wrap(err, "relay: the entry's listener; check the address in the settings")
	}
	peerListener, err := socket.Listen(ctx, r.options.PeerAddress)
	if err != nil {
		_ = entryListener.Close()
		return errors.Wrap(err, "relay: the listener for other nodes; check the address in the settings")
	}
	r.server = &http.Server{
		Handler:                      r.entry,
		ReadHeaderTimeout:            headerTimeout,
		ReadTimeout:                  bodyTimeout,
		WriteTimeout:                 bodyTimeout,
		IdleTimeout:                  clientIdle,
		MaxHeaderBytes:               headerBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     zap.NewStdLog(telemetry.Named(r.options.Logger, telemetry.PartEntry)),
	}
	r.peers = transport.NewServer(transport.ServerConfig{Relay: r.receiver, MaxBodyBytes: r.options.bufferBytes(), MaxConnections: maxPeers})
	r.peerListener = peerListener
	r.serve("entry", func() error { return r.server.Serve(entryListener) })
	r.serve("peers", func() error { return r.peers.Serve(peerListener) })
	r.listenMetrics(ctx)
	return nil
}

// listenMetrics serves metrics. A node whose port is taken serves requests
// without them.
func (r *Relay) listenMetrics(ctx context.Context) {
	if r.options.MetricsAddress == "" {
		return
	}
	listener, err := socket.Listen(ctx, r.options.MetricsAddress)
	if err != nil {
		r.logger.Error("Metrics are not served; choose another port.", zap.String("address", r.options.MetricsAddress), telemetry.ErrorField(err))
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", r.options.Metrics.Handler())
	r.metrics = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	r.serve("metrics", func() error { return r.metrics.Serve(listener) })
}

// observeState registers the metrics of the gate and the configuration. A node
// without them serves requests.
func (r *Relay) observeState() {
	err := errors.Join(r.options.Metrics.ObserveGate(r.gate.sample), r.options.Metrics.ObserveGateCounters(r.gate.flow),
		r.options.Metrics.ObserveConfiguration(r.config.sample))
	if err != nil {
		r.logger.Error("The gate and the configuration have no metrics; report this to the developers.", telemetry.ErrorField(err))
	}
}

// serve runs a server in its own goroutine and logs an end that was not asked for.
func (r *Relay) serve(name string, serve func() error) {
	r.tasks.Go(func() {
		err := serve()
		if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			r.logger.Error("A listener ended.", zap.String("listener", name), telemetry.ErrorField(err))
		}
	})
}

func (r *Relay) startTasks(ctx context.Context) {
	r.tasks.Go(func() { r.gate.run(ctx) })
	config, members := r.members.followers(r.options.Config)
	r.tasks.Go(func() { r.members.run(ctx) })
	r.tasks.Go(func() { config.run(ctx) })
	r.tasks.Go(func() { members.run(ctx) })
	r.tasks.Go(func() { r.closeIdlePeers(ctx) })
}

// closeIdlePeers closes connections to nodes that get no more work.
func (r *Relay) closeIdlePeers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, peerIdle/2)
		r.pool.CloseIdle(time.Now())
	}
}

// Announce takes in an announcement of the target. After nil it counts.
func (r *Relay) Announce(a targetstate.Announcement) error { return r.gate.announce(a) }

// DrainTarget takes in that the target leaves. When it returns, no new work is sent
// to this life of the target.
func (r *Relay) DrainTarget(targetID string) { r.gate.leave(targetID) }

// Ready tells whether clients may send requests to this node.
func (r *Relay) Ready() bool {
	return !r.stopping.Load() && r.config.version() > 0
}

// Reconfigure changes the target after a change of the settings.
func (r *Relay) Reconfigure(address, service string) {
	before := r.target.Swap(&targetPlace{address: address, service: service})
	if before.address != address || before.service != service {
		r.gate.reconfigure(address, service)
	}
	r.logger.Info("The settings were read again.", zap.String("target", address), zap.String("service", service))
}

// Shutdown stops the node: it is no longer ready, takes no more work of other
// nodes after a while, lets running requests finish, and ends before the grace
// period does. closeAnnouncements is called before the last announcement of the
// node; the target's announcements must not be taken in after it.
func (r *Relay) Shutdown(closeAnnouncements func()) {
	started := time.Now()
	r.stopping.Store(true)
	r.logger.Info("The node stops.", zap.Int64("running", r.entry.running.Load()))
	limit := started.Add(r.options.GracePeriod - stopMargin)
	time.Sleep(stopServe)
	r.gate.stop()
	time.Sleep(stopHold - stopServe)
	// Clients that still come, because too few nodes of their zone are ready, are
	// told to come back: a request taken in now might not end before the kill.
	r.entry.leaving.Store(true)
	for time.Now().Before(limit) && !r.idle() {
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if err := r.server.Shutdown(ctx); err != nil {
		r.logger.Warn("Requests were cut by the end of the grace period.", zap.Int64("running", r.entry.running.Load()))
	}
	closeAnnouncements()
	r.members.announceStop(stopPublish)
	r.closeWithin(stopClose)
	r.logger.Info("The node has stopped.", zap.Duration("took", time.Since(started)))
}

// closeWithin closes, but waits for the tasks for the time only.
func (r *Relay) closeWithin(wait time.Duration) {
	done := make(chan struct{})
	go func() {
		r.close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(wait):
		r.logger.Warn("Some tasks have not ended yet; the node stops without them.")
	}
}

// Abort ends the node without waiting for what runs.
func (r *Relay) Abort() { r.close() }

func (r *Relay) idle() bool {
	return r.entry.running.Load() == 0 && r.gate.view.Load().inFlight == 0
}

func (r *Relay) close() { r.ending.Do(r.end) }

func (r *Relay) end() {
	_ = r.server.Close()
	if r.metrics != nil {
		_ = r.metrics.Close()
	}
	_ = r.peerListener.Close()
	r.peers.Close()
	r.cancel()
	r.pool.Close()
	r.targets.closeIdle()
	r.tasks.Wait()
}
