// Package demo runs a small fleet in the shape of the users' deployments over real
// loopback sockets, with an overload, a drain, a crash, a log outage and a catalogue
// change. It checks the guarantees of the system against what callers and targets
// recorded.
package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/fleet"
	"github.com/primrosemount/primrosemount/internal/standin/logservice"
	"github.com/primrosemount/primrosemount/internal/standin/target"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Duration is the duration of the load. It must be at least MinDuration.
	Duration time.Duration
	Logger   *zap.Logger
}

// MinDuration is the minimum duration of the load in which all events have enough time.
const MinDuration = 10 * time.Second

const (
	// allowance is the retry allowance in the catalogue of the demo.
	allowance    = 3
	startTimeout = 20 * time.Second
	// settleTime is the time for the targets to end their remaining work before the
	// ledger is evaluated.
	settleTime = 2 * time.Second
	// viewsPerSecond and bookingsPerSecond are the rates of ordinary load.
	viewsPerSecond    = 200
	bookingsPerSecond = 40
	// surgeFactor multiplies the request rate during the overload.
	surgeFactor = 3
	// slowdownFactor multiplies the work of the lawn service during the overload.
	slowdownFactor = 4
	// newWorkBound is the time after the start of a drain from which the draining
	// target must receive no new requests.
	newWorkBound = 2 * time.Second
)

// Times of the events as shares of the duration. The drain takes place during the
// outage of the log.
const (
	overloadFrom = 0.25
	overloadTo   = 0.50
	drainAt      = 0.65
	changeAt     = 0.70
	crashAt      = 0.80
	logDownFrom  = 0.55
	logDownTo    = 0.68
)

var (
	view = &operation{service: "season-calendar", name: "view", class: "sheddable", idempotent: true, deadline: time.Second}
	book = &operation{service: "season-calendar", name: "book", class: "critical", deadline: 2 * time.Second}
)

// services returns the call graph: the calendar service checks lawn availability for
// views and bookings, and charges dues for bookings.
func services() []fleet.Service {
	return []fleet.Service{
		{
			Entry: entry("season-calendar", []string{"*"},
				&pb.Operation{Name: "view", Idempotent: true, Class: pb.Class_CLASS_SHEDDABLE, Deadline: durationpb.New(view.deadline)},
				&pb.Operation{Name: "book", Class: pb.Class_CLASS_CRITICAL, Deadline: durationpb.New(book.deadline)}),
			Zones: []string{"a", "b", "c", "d"},
			Slots: 24,
			Operations: []target.Operation{
				{Name: "view", Work: 2 * time.Millisecond, FillerBytes: 2000, Calls: []target.Downstream{
					{Service: "lawn-availability", Operation: "check"},
				}},
				{Name: "book", Work: 4 * time.Millisecond, Calls: []target.Downstream{
					{Service: "lawn-availability", Operation: "check"},
					{Service: "dues", Operation: "charge"},
				}},
			},
		},
		{
			Entry: entry("lawn-availability", []string{"season-calendar"},
				&pb.Operation{Name: "check", Idempotent: true, Class: pb.Class_CLASS_SHEDDABLE}),
			Zones:      []string{"a", "b", "c"},
			Slots:      10,
			Operations: []target.Operation{{Name: "check", Work: 50 * time.Millisecond}},
		},
		{
			Entry: entry("dues", []string{"season-calendar"},
				&pb.Operation{Name: "charge", Class: pb.Class_CLASS_CRITICAL}),
			Zones:      []string{"a", "b"},
			Slots:      12,
			Operations: []target.Operation{{Name: "charge", Work: 8 * time.Millisecond}},
			ColdStart:  time.Second,
			ColdFactor: 3,
		},
	}
}

// entry returns the catalogue entry of a service.
func entry(service string, callers []string, operations ...*pb.Operation) *pb.Entry {
	return &pb.Entry{
		Service:        service,
		Owner:          fleet.Operator,
		Class:          pb.Class_CLASS_NORMAL,
		Operations:     operations,
		AllowedCallers: callers,
		Deadline:       durationpb.New(2 * time.Second),
		Limits:         &pb.Limits{Drain: durationpb.New(15 * time.Second)},
		Retry:          &pb.RetryPolicy{Allowance: allowance, EdgeRatio: 0.1},
	}
}

// scenario is one run of the demo.
type scenario struct {
	options   Options
	fleet     *fleet.Fleet
	recorder  *recorder
	startTime time.Time
	random    *rand.Rand
	events    eventResults
	failures  errorList
}

// eventResults holds what the run measured during its events.
type eventResults struct {
	mutex         sync.Mutex
	lateRequests  int
	changeSeconds float64
}

// errorList collects errors of concurrent events. It is safe for concurrent use.
type errorList struct {
	mutex  sync.Mutex
	errors []error
}

func (l *errorList) add(err error) {
	if err == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.errors = append(l.errors, err)
}

// Run runs the demo and returns its summary. It returns an error if the run could not
// be completed; violated guarantees are reported in the summary.
func Run(ctx context.Context, options Options) (*Summary, error) {
	if options.Duration < MinDuration {
		return nil, errors.Newf("demo: the duration is %s; give at least %s", options.Duration, MinDuration)
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	running, err := fleet.Start(startCtx, fleet.Config{
		Services: services(),
		Seed:     options.Seed,
		Logger:   options.Logger,
		Log:      logservice.Config{AppendsPerSecond: 300},
	})
	if err != nil {
		return nil, err
	}
	defer running.Close()
	s := &scenario{
		options:   options,
		fleet:     running,
		recorder:  &recorder{},
		random:    rand.New(rand.NewPCG(options.Seed, 1)),
		startTime: time.Now(),
	}
	s.runLoad(ctx)
	time.Sleep(settleTime)
	if len(s.failures.errors) > 0 {
		return nil, s.failures.errors[0]
	}
	return s.summarize(), nil
}

// at returns the time at which a share of the duration has elapsed.
func (s *scenario) at(share float64) time.Time {
	return s.startTime.Add(time.Duration(share * float64(s.options.Duration)))
}

// runLoad runs arrivals and events until the end and waits for the last responses.
func (s *scenario) runLoad(ctx context.Context) {
	var group sync.WaitGroup
	for _, event := range []struct {
		share float64
		run   func(context.Context)
	}{
		{overloadFrom, s.startSlowdown},
		{overloadTo, s.endSlowdown},
		{logDownFrom, s.startLogOutage},
		{logDownTo, s.endLogOutage},
		{drainAt, s.drainCalendarTarget},
		{changeAt, s.changeCatalogue},
		{crashAt, s.crashLawnTarget},
	} {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Until(s.at(event.share)))
			event.run(ctx)
		}()
	}
	s.runArrivals(ctx, &group)
	group.Wait()
}

// runArrivals starts requests at exponentially distributed intervals, independent of
// the results of earlier requests.
func (s *scenario) runArrivals(ctx context.Context, group *sync.WaitGroup) {
	patient := s.newCaller(1, 50*time.Millisecond)
	impatient := s.newCaller(6, 5*time.Millisecond)
	end := s.at(1)
	next := s.startTime
	for sequence := 0; next.Before(end); sequence++ {
		time.Sleep(time.Until(next))
		rate := float64(viewsPerSecond + bookingsPerSecond)
		overloaded := next.After(s.at(overloadFrom)) && next.Before(s.at(overloadTo))
		chosen := patient
		if overloaded {
			rate *= surgeFactor
			if s.random.IntN(2) == 0 {
				chosen = impatient
			}
		}
		op := view
		if s.random.Float64() < float64(bookingsPerSecond)/(viewsPerSecond+bookingsPerSecond) {
			op = book
		}
		firstEntry := s.random.IntN(1 << 20)
		group.Add(1)
		go func() {
			defer group.Done()
			chosen.request(ctx, op, fmt.Sprintf("%s-%d", op.name, sequence), firstEntry)
		}()
		next = next.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
	}
}

func (s *scenario) newCaller(maxRetries int, backoff time.Duration) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &caller{
		client:     &http.Client{Transport: transport},
		addresses:  s.entryAddresses,
		recorder:   s.recorder,
		maxRetries: maxRetries,
		backoff:    backoff,
	}
}

// entryAddresses returns the addresses of all nodes; each node is an entry node.
func (s *scenario) entryAddresses() []string {
	var addresses []string
	for _, instance := range s.fleet.Instances() {
		addresses = append(addresses, instance.Node.CallersAddress())
	}
	return addresses
}

func (s *scenario) startSlowdown(context.Context) { s.setSlowdown(slowdownFactor) }
func (s *scenario) endSlowdown(context.Context)   { s.setSlowdown(1) }

func (s *scenario) setSlowdown(factor float64) {
	for _, instance := range s.fleet.InstancesOf("lawn-availability") {
		instance.Target.SetSlowdown(factor)
	}
}

func (s *scenario) startLogOutage(context.Context) {
	s.fleet.Log.SetFaults(logservice.Faults{Down: true})
}
func (s *scenario) endLogOutage(context.Context) { s.fleet.Log.SetFaults(logservice.Faults{}) }

// drainCalendarTarget retires a target of the calendar service while the log is down.
func (s *scenario) drainCalendarTarget(ctx context.Context) {
	draining := s.fleet.InstancesOf("season-calendar")[0]
	ctx, cancel := context.WithTimeout(ctx, s.options.Duration)
	defer cancel()
	done := make(chan struct{})
	go s.countLateWork(draining, done)
	s.failures.add(s.fleet.Retire(ctx, draining))
	close(done)
}

// countLateWork counts the requests that start at a draining target after newWorkBound.
func (s *scenario) countLateWork(draining *fleet.Instance, done chan struct{}) {
	select {
	case <-done:
		return
	case <-time.After(newWorkBound):
	}
	before := draining.Target.Received()
	<-done
	s.events.mutex.Lock()
	defer s.events.mutex.Unlock()
	s.events.lateRequests = draining.Target.Received() - before
}

// changeCatalogue changes an entry and measures the time until all nodes have applied
// the change.
func (s *scenario) changeCatalogue(ctx context.Context) {
	node := s.fleet.InstancesOf("dues")[0].Node
	changed := proto.CloneOf(services()[2].Entry)
	changed.Limits.SlotsPerTarget = 11
	startTime := time.Now()
	if err := s.fleet.Apply(ctx, node, changed, node.Revision("dues")); err != nil {
		s.failures.add(err)
		return
	}
	position := node.Status().CataloguePosition
	for !s.allReached(position) {
		time.Sleep(time.Millisecond)
	}
	s.events.mutex.Lock()
	defer s.events.mutex.Unlock()
	s.events.changeSeconds = time.Since(startTime).Seconds()
}

// allReached reports whether all nodes have applied the catalogue up to a position.
func (s *scenario) allReached(position uint64) bool {
	for _, instance := range s.fleet.Instances() {
		if instance.Node.Status().CataloguePosition < position {
			return false
		}
	}
	return true
}

// crashLawnTarget terminates a target of the lawn service and its node without a drain.
func (s *scenario) crashLawnTarget(context.Context) {
	s.fleet.Crash(s.fleet.InstancesOf("lawn-availability")[0])
}
