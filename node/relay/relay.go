// Package relay implements the node for a platform whose clients send plain HTTP
// requests along routes that an operator defines.
//
// Request path. The entry accepts a request of a client on its VM, or a call of the
// target. It finds the route and the service and selects a node of the service. The
// gate of that node admits the request and sends it to the node's target. Only a
// node on the same VM can reach a target, so the gate sees every request to the
// target, and a refusal by the gate proves that the request did not run.
//
// State. The configuration and the members are kept on the platform's store, in
// topics that retain the newest record of each key. A node follows a topic if it
// keeps a local copy current by reading the topic from the store. The configuration
// is followed by every node or, in large availability zones, by a few readers only. A
// reader is a member that reads the store on behalf of its zone. Readers also follow
// the members. Another node follows them only while no reader reports that it does.
// Every node also synchronizes with a peer at least once a second, so that nodes that
// cannot reach the store receive both as well. No other state is kept when a process
// ends.
//
// Tasks. The gate task owns the gate and the state of the target. The members task
// owns the view of the members and this node's announcement. Other goroutines send
// them events.
//
// Terms. The level of a request is its priority: a class and, within the class, a
// cohort. A lower level is more important. A gate under overload lowers its
// threshold and refuses requests whose level is above it. A slot is the capacity of
// a target for one request at a time. Each run of a node or target process is an
// incarnation.
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
	"github.com/primrosemount/primrosemount/core/fairshare"
	"github.com/primrosemount/primrosemount/core/freshness"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/memory"
	"github.com/primrosemount/primrosemount/core/roster"
	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/core/targetstate"
	"github.com/primrosemount/primrosemount/core/threshold"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/cancels"
	"github.com/primrosemount/primrosemount/internal/socket"
	"github.com/primrosemount/primrosemount/telemetry"
	"github.com/primrosemount/primrosemount/transport"
	"github.com/primrosemount/primrosemount/transport/httpserver"
)

const (
	// maxHeaderBytes limits the header of a request before a configuration is
	// known.
	maxHeaderBytes = 64 << 10
	// headerTimeout limits the time to receive a request header.
	headerTimeout = 10 * time.Second
	// bodyTimeout limits the time to receive a complete request, and the time until
	// its response has been read. Clients that stop reading therefore do not hold
	// memory indefinitely.
	bodyTimeout = 60 * time.Second
	// clientIdleTimeout is how long a client's connection may stay idle. It exceeds
	// the idle timeout of every client, so that the client closes the connection
	// first.
	clientIdleTimeout = 90 * time.Second
	// maxPeerConnections limits the number of connections from other nodes.
	maxPeerConnections = 2048
	// peerIdleTimeout is how long a connection to another node may stay idle.
	peerIdleTimeout = 30 * time.Second
)

// Options configures a Relay.
type Options struct {
	// VM is the name of this node's VM.
	VM     string
	Zone   string
	Region string
	// Service is the service of the target beside this node.
	Service string
	// TargetAddress is the address at which the target listens.
	TargetAddress string
	// EntryAddress is the listener for requests of clients and of the target.
	EntryAddress string
	// PeerAddress is the listener for other nodes.
	PeerAddress string
	// AdvertisedAddress is the address at which other nodes reach PeerAddress.
	// Empty means PeerAddress.
	AdvertisedAddress string
	// MetricsAddress is the listener for metrics. Empty disables it.
	MetricsAddress string
	// GracePeriod is the time from the stop signal until the process is killed, until
	// Reconfigure sets another one.
	GracePeriod time.Duration
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// ConfigBound is the maximum time until an acknowledged change of the
	// configuration is in force. 0 means 2 s.
	ConfigBound time.Duration
	// RetryRatio is the number of retries per request to a service that this node
	// may send within retry.BudgetWindow. RetrySlack is the number of retries that it
	// may send in addition, regardless of the number of requests.
	RetryRatio float64
	RetrySlack float64
	// QuotaWindow, QuotaOverage and QuotaSlack bound the root requests of a client
	// account with a quota: in any window, all nodes together run at most
	// (rate x QuotaWindow + burst) x (1 + QuotaOverage) + QuotaSlack of them. 0 means
	// 5 s, 0.1 and 20.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64

	// StoreRates are the limits of the store on the calls of all nodes together.
	StoreRates StoreRates

	HeaderCodec HeaderCodec
	Config      Topic
	Members     Topic
	// Decode decodes a configuration document.
	Decode func(document []byte) (*ingress.Table, error)
	// Redact returns a configuration document with digests in place of the keys of client
	// accounts, which Decode also decodes. It is required if Decode returns accounts.
	Redact  func(document []byte) ([]byte, error)
	Logger  *zap.Logger
	Metrics *telemetry.Metrics
}

const defaultConfigBound = 2 * time.Second

// budgetDivisor is the fraction of the memory of the process, as a divisor, that requests
// and responses may hold. The rest is for the runtime, its garbage, connections and the
// state of the node.
const budgetDivisor = 2

// budget returns the budget for the bodies in memory.
func (o Options) budget() *memory.Budget { return memory.NewBudget(o.MemoryBytes / budgetDivisor) }

// advertisedAddress returns the address at which other nodes reach this node.
func (o Options) advertisedAddress() string { return cmp.Or(o.AdvertisedAddress, o.PeerAddress) }

// A Relay is a running node.
type Relay struct {
	options  Options
	logger   *zap.Logger
	config   *configuration
	gate     *gateTask
	members  *membersTask
	quotas   *quotaTask
	limits   *retryLimits
	targets  *targetClient
	receiver *receiver
	entry    *entry
	pool     *transport.Pool
	budget   *memory.Budget
	peers    *transport.Server
	server   *httpserver.Server
	metrics  *http.Server
	// peerListener is closed by close, because the peer server closes only its
	// connections.
	peerListener net.Listener
	target       atomic.Pointer[targetEndpoint]
	stopping     atomic.Bool
	// gracePeriod is the grace period in nanoseconds for a stop that begins now.
	gracePeriod atomic.Int64
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	closeOnce   sync.Once
}

// targetEndpoint is the address and the service of the target.
type targetEndpoint struct{ address, service string }

// Start opens the listeners and starts the tasks.
func Start(options Options) (*Relay, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{options: options, logger: telemetry.Named(options.Logger, telemetry.PartNode), cancel: cancel}
	r.target.Store(&targetEndpoint{address: options.TargetAddress, service: options.Service})
	r.gracePeriod.Store(int64(options.GracePeriod))
	r.build(ctx)
	if err := r.listen(ctx); err != nil {
		cancel()
		return nil, err
	}
	r.startTasks(ctx)
	r.registerMetrics()
	r.logger.Info(telemetry.MessageNodeStarted, zap.String("vm", options.VM), zap.String("zone", options.Zone),
		zap.String("service", options.Service), zap.String("entry", options.EntryAddress), zap.String("peers", options.advertisedAddress()))
	return r, nil
}

// build creates the parts of the node and connects them.
func (r *Relay) build(ctx context.Context) {
	o := r.options
	events := newEventLog(o.Logger)
	start := time.Now()
	incarnation := uint64(start.UnixNano())
	identity := roster.Identity(o.VM, incarnation)
	router := route.New(route.Config{Self: identity, Zone: o.Zone, Region: o.Region, Seed: identity, Start: start, Policy: route.NearestCapacity})
	downstream := threshold.NewDownstream(start)
	graph := callgraph.New()
	self := &pb.RelayMember{Vm: o.VM, Zone: o.Zone, Region: o.Region, Address: o.advertisedAddress(), Service: o.Service, Incarnation: incarnation, ReadsHeaderLines: true}
	r.budget = o.budget()
	r.pool = transport.NewPool(transport.ClientConfig{MaxBodyBytes: r.maxBodyBytes(), IdleTimeout: peerIdleTimeout, Memory: r.budget})
	r.config = newConfiguration(o.Decode, start, telemetry.Named(o.Logger, telemetry.PartControl))
	r.config.redact = o.Redact
	r.members = newMembersTask(self, o.Members, router, r.pool.Sync, r.config,
		freshness.Rules{PropagationBound: cmp.Or(o.ConfigBound, defaultConfigBound)}, telemetry.Named(o.Logger, telemetry.PartControl))
	r.gate = newGateTask(o.TargetAddress, o.Service, r.config.maxConnections, events.gate, r.members.targetChanged)
	r.members.storeRates = o.StoreRates
	r.members.restore = r.gate.restore
	r.members.recordDraining = r.gate.recordDraining
	r.members.recordDrained = r.gate.recordDrained
	r.targets = newTargetClient(o.HeaderCodec, r.budget)
	r.targets.bounds = func() connectionBounds {
		view := r.gate.view.Load()
		return connectionBoundsOf(view.limit, r.config.maxConnections(view.target.Service))
	}
	r.gate.reportsWork = r.config.placesByCost
	r.quotas = newQuotaTask(o, incarnation, start, r.pool.ExchangeQuota, r.config.table.Load)
	r.quotas.storeAge = r.config.tracker.Age
	r.members.membersChanged = r.quotas.setMembers
	budgets := newBudgets(o.RetryRatio, o.RetrySlack)
	r.limits = newRetryLimits(budgets, r.config.limitByRetryBudget, events.entry)
	operations := threshold.NewOperations(downstream)
	operations.LimitCalls(r.limits)
	r.receiver = &receiver{
		gate:            r.gate,
		quotas:          r.quotas,
		limits:          r.limits,
		targets:         r.targets,
		operations:      operations,
		numbering:       newOperationNumbers(),
		graph:           graph,
		address:         func() string { return r.target.Load().address },
		config:          r.config,
		budget:          r.budget,
		cancels:         cancels.New(),
		events:          events,
		versionReceived: func(address string, version uint64) { r.members.observeVersion(ctx, address, version) },
		sync: func(request *pb.SyncRequest, response *pb.SyncResponse) {
			r.members.serveSync(ctx, request, response)
		},
	}
	dispatch := &dispatcher{
		router:          router,
		pool:            r.pool,
		local:           r.receiver,
		self:            o.advertisedAddress,
		downstream:      downstream,
		budgets:         budgets,
		limits:          r.limits,
		sender:          identity,
		events:          events,
		versionReported: func(address string, version uint64) { r.members.observeVersion(ctx, address, version) },
		placing:         placing{config: r.config, logger: telemetry.Named(o.Logger, telemetry.PartRouter)},
	}
	r.entry = &entry{
		wire:          o.HeaderCodec,
		config:        r.config,
		dispatcher:    dispatch,
		graph:         graph,
		shares:        leastshare.New(),
		quotas:        r.quotas,
		fair:          fairshare.New(),
		use:           newAccountUse(),
		originService: func() string { return r.target.Load().service },
		metrics:       o.Metrics,
		events:        events,
		budget:        r.budget,
		sizes:         newResponseSizes(),
		maxBodyBytes:  r.maxBodyBytes(),
	}
}

// maxBodyBytes limits the body of one request.
func (r *Relay) maxBodyBytes() int64 { return r.budget.Max(memory.Requests) }

// listen opens the listeners for clients and for other nodes and starts to serve
// them. It also starts the metrics server.
func (r *Relay) listen(ctx context.Context) error {
	entryListener, err := socket.Listen(ctx, r.options.EntryAddress)
	if err != nil {
		return errors.Wrap(err, "relay: cannot open the listener for clients; check the address in the settings")
	}
	peerListener, err := socket.Listen(ctx, r.options.PeerAddress)
	if err != nil {
		_ = entryListener.Close()
		return errors.Wrap(err, "relay: cannot open the listener for other nodes; check the address in the settings")
	}
	r.server = httpserver.New(httpserver.Config{
		Handler:        r.entry,
		HeaderTimeout:  headerTimeout,
		BodyTimeout:    bodyTimeout,
		WriteTimeout:   bodyTimeout,
		IdleTimeout:    clientIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		Memory:         r.budget,
		Logger:         telemetry.Named(r.options.Logger, telemetry.PartEntry),
	})
	r.peers = transport.NewServer(transport.ServerConfig{Relay: r.receiver, MaxBodyBytes: r.maxBodyBytes(), MaxConnections: maxPeerConnections,
		Memory: r.budget,
		Logger: telemetry.Named(r.options.Logger, telemetry.PartPeers)})
	r.peerListener = peerListener
	r.serve("entry", func() error { return r.server.Serve(entryListener) })
	r.serve("peers", func() error { return r.peers.Serve(peerListener) })
	r.startMetricsServer(ctx)
	return nil
}

// startMetricsServer serves metrics. If the port is in use, the node runs without
// them.
func (r *Relay) startMetricsServer(ctx context.Context) {
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
	mux.HandleFunc("/accounts", r.entry.serveAccounts)
	mux.Handle(telemetry.PathPlacement, &placementPage{router: r.entry.dispatcher.router, config: r.config, logger: r.logger})
	r.metrics = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	r.serve("metrics", func() error { return r.metrics.Serve(listener) })
}

// registerMetrics registers the metrics of the parts of the node. If that fails, the node
// runs without them.
func (r *Relay) registerMetrics() {
	m := r.options.Metrics
	err := errors.Join(m.ObserveGate(r.gate.sample), m.ObserveGateCounters(r.gate.flow), m.ObserveConfiguration(r.config.sample),
		m.ObserveMemory(r.budget.Usage), m.ObserveAccounts(r.entry.use.sample), m.ObserveQuotas(r.quotas.counts.sample),
		m.ObservePlacements(r.entry.dispatcher.placements), m.ObserveRetryLimits(r.limits.sample))
	if err != nil {
		r.logger.Error("Some parts of the node have no metrics; report this to the developers.", telemetry.ErrorField(err))
	}
}

// serve runs a server in a new goroutine and logs an unexpected end.
func (r *Relay) serve(name string, serve func() error) {
	r.tasks.Go(func() {
		err := serve()
		if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			r.logger.Error("A listener stopped unexpectedly.", zap.String("listener", name), telemetry.ErrorField(err))
		}
	})
}

func (r *Relay) startTasks(ctx context.Context) {
	r.tasks.Go(func() { r.gate.run(ctx) })
	config, members := r.members.followers(r.options.Config)
	r.tasks.Go(func() { r.members.run(ctx) })
	r.tasks.Go(func() { config.run(ctx) })
	r.tasks.Go(func() { members.run(ctx) })
	r.tasks.Go(func() { r.quotas.run(ctx) })
	r.tasks.Go(func() { r.closeIdlePeers(ctx) })
}

// closeIdlePeers periodically closes idle connections to other nodes.
func (r *Relay) closeIdlePeers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, peerIdleTimeout/2)
		r.pool.CloseIdle(time.Now())
	}
}

// Announce applies an announcement of the target. If it returns nil, the
// announcement is in effect and, if it says that the target is draining, also binds
// later incarnations of this node. It returns ErrNotRecorded if it only is in effect,
// and an error of package targetstate if it was not applied.
func (r *Relay) Announce(a targetstate.Announcement) error {
	err := r.gate.announce(a)
	notInEffect := errors.Is(err, targetstate.ErrWrongTarget) || errors.Is(err, targetstate.ErrDrainIgnored)
	if a.Phase != targetstate.Draining || notInEffect {
		return err
	}
	return errors.CombineErrors(r.members.awaitDrainRecorded(a.TargetID), err)
}

// DrainTarget marks an incarnation of the target as draining. After it returns, no new
// request is sent to this incarnation, also if its announcements arrive late. It returns
// ErrNotRecorded if a later incarnation of this node might not know that, and
// targetstate.ErrDrainIgnored if the drain is not in effect.
func (r *Relay) DrainTarget(left targetstate.Incarnation) error {
	if err := r.gate.drainTarget(left); err != nil {
		return err
	}
	return r.members.awaitDrainRecorded(left.TargetID)
}

// Ready reports whether clients may send requests to this node.
func (r *Relay) Ready() bool {
	return !r.stopping.Load() && r.config.version() > 0
}

// Reconfigure updates the target and the grace period after a change of the settings. A
// stop that has begun keeps the grace period with which it began.
func (r *Relay) Reconfigure(address, service string, gracePeriod time.Duration) {
	r.gracePeriod.Store(int64(gracePeriod))
	before := r.target.Swap(&targetEndpoint{address: address, service: service})
	if before.address != address || before.service != service {
		r.gate.reconfigure(address, service)
	}
	r.logger.Info("The settings were read again.", zap.String("target", address), zap.String("service", service), zap.Duration("grace_period", gracePeriod))
}
