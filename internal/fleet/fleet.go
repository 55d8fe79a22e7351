// Package fleet runs nodes, stand-in targets and a stand-in log service in one
// process, connected by real loopback sockets, for the demo and for failure tests.
package fleet

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/standin/logservice"
	"github.com/primrosemount/primrosemount/internal/standin/target"
	"github.com/primrosemount/primrosemount/node"
	"github.com/primrosemount/primrosemount/node/control"
	"github.com/primrosemount/primrosemount/settings"
)

// Service describes the catalogue entry and the targets of one service.
type Service struct {
	Entry *pb.Entry
	// Zones holds the availability zone of each target.
	Zones      []string
	Slots      int
	Operations []target.Operation
	ColdStart  time.Duration
	ColdFactor float64
}

// Config holds the configuration of a Fleet.
type Config struct {
	Services []Service
	Seed     uint64
	Logger   *zap.Logger
	Log      logservice.Config
	// Intervals holds the intervals of the control tasks; zero fields mean the
	// defaults.
	Intervals control.Intervals
	// TLS returns the content of the tls section of the settings of a service's
	// nodes. If it is nil or returns an empty string, connections do not use TLS.
	TLS func(service string) string
	// Unobserved disables metrics, the journal and burn counters for calls.
	Unobserved bool
	// Bounds is the content of the bounds section of the settings; empty means the
	// defaults.
	Bounds string
	// Advertise returns the address that the node of a VM advertises to other nodes,
	// and a function that is called with the address on which the node listens. If
	// nil, nodes advertise the address on which they listen.
	Advertise func(vm string) (address string, listening func(address string), err error)
}

// Instance is one VM: a node and the target beside it.
type Instance struct {
	VM      string
	Zone    string
	Service *Service
	Node    *node.Node
	Target  *target.Target
}

// Fleet is a running fleet. Only one goroutine may add and remove instances; the
// method Instances is safe for concurrent use.
type Fleet struct {
	config    Config
	Log       *logservice.Service
	Ledger    *target.Ledger
	logServer *httptest.Server
	mutex     sync.Mutex
	instances []*Instance
	sequence  int
}

// Operator is the operator name that the fleet uses for changes of the catalogue.
const Operator = "operators"

// Start starts the log service and all nodes and targets, and applies the catalogue.
// It returns when every node has the complete catalogue and all members.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{config: config, Log: logservice.New(config.Log), Ledger: target.NewLedger()}
	f.logServer = httptest.NewServer(f.Log.Handler())
	for i := range config.Services {
		for _, zone := range config.Services[i].Zones {
			if _, err := f.Add(&config.Services[i], zone); err != nil {
				f.Close()
				return nil, err
			}
		}
	}
	if err := f.applyAll(ctx); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.AwaitMembers(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) applyAll(ctx context.Context) error {
	for _, service := range f.config.Services {
		if err := f.Apply(ctx, f.instances[0].Node, service.Entry, 0); err != nil {
			return err
		}
	}
	return nil
}

// Apply submits a change of one entry through a node.
func (f *Fleet) Apply(ctx context.Context, via *node.Node, entry *pb.Entry, base uint64) error {
	id := make([]byte, 16)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(id)
	result, err := via.Submit(ctx, &pb.Change{
		Id:               id,
		Operator:         Operator,
		Service:          entry.GetService(),
		BaseRevision:     base,
		Entry:            entry,
		CreatedUnixNanos: time.Now().UnixNano(),
	})
	if err != nil {
		return err
	}
	if !result.GetAccepted() {
		return errors.Newf("fleet: the change of %s was rejected: %s", entry.GetService(), result.GetDetail())
	}
	return nil
}

// Add starts another instance of a service.
func (f *Fleet) Add(service *Service, zone string) (*Instance, error) {
	f.sequence++
	name := service.Entry.GetService()
	instance := &Instance{VM: fmt.Sprintf("%s-%s-%d", name, zone, f.sequence), Zone: zone, Service: service}
	advertised, listening, err := f.advertise(instance.VM)
	if err != nil {
		return nil, err
	}
	parsed, err := settings.ParseNode([]byte(f.nodeYAML(instance) + advertised))
	if err != nil {
		return nil, err
	}
	instance.Node, err = node.Start(node.Options{
		Settings:   parsed,
		Logger:     f.config.Logger.With(zap.String("vm", instance.VM)),
		Intervals:  f.config.Intervals,
		Unobserved: f.config.Unobserved,
	})
	if err != nil {
		return nil, err
	}
	listening(instance.Node.NodesAddress())
	if err := f.StartTarget(instance); err != nil {
		instance.Node.Close()
		return nil, err
	}
	f.mutex.Lock()
	f.instances = append(f.instances, instance)
	f.mutex.Unlock()
	return instance, nil
}

// advertise returns the settings line for the advertised address of a VM, or an empty
// string, and the function to call with the listen address.
func (f *Fleet) advertise(vm string) (setting string, listening func(address string), err error) {
	if f.config.Advertise == nil {
		return "", func(string) {}, nil
	}
	address, listening, err := f.config.Advertise(vm)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("advertise: %q\n", address), listening, nil
}

// StartTarget starts a target beside the node of the instance.
func (f *Fleet) StartTarget(instance *Instance) error {
	service := instance.Service
	f.sequence++
	started, err := target.Start(target.Config{
		Service:     service.Entry.GetService(),
		Slots:       service.Slots,
		Connections: service.Slots * 4,
		NodeURL:     "http://" + instance.Node.TargetAddress(),
		Operations:  service.Operations,
		ColdStart:   service.ColdStart,
		ColdFactor:  service.ColdFactor,
		Seed:        f.config.Seed + uint64(f.sequence),
		Ledger:      f.Ledger,
	})
	instance.Target = started
	return err
}

func (f *Fleet) nodeYAML(instance *Instance) string {
	tls := ""
	if f.config.TLS != nil {
		tls = "tls: " + f.config.TLS(instance.Service.Entry.GetService())
	}
	bounds := ""
	if f.config.Bounds != "" {
		bounds = "bounds: " + f.config.Bounds
	}
	return fmt.Sprintf(`
vm: %s
availability_zone: %s
region: north
service: %s
listen: {callers: "127.0.0.1:0", target: "127.0.0.1:0", nodes: "127.0.0.1:0", operators: "127.0.0.1:0"}
log: {url: "%s", timeout: 1s, poll_interval: 100ms}
seeds: [%s]
%s
%s
`, instance.VM, instance.Zone, instance.Service.Entry.GetService(), f.logServer.URL, f.seeds(), tls, bounds)
}

// maxSeeds bounds the number of seeds of a new node.
const maxSeeds = 3

// seeds returns the addresses of up to maxSeeds running nodes for the seeds setting.
func (f *Fleet) seeds() string {
	var addresses []string
	for _, instance := range f.Instances() {
		if len(addresses) < maxSeeds {
			addresses = append(addresses, instance.Node.NodesAddress())
		}
	}
	return strings.Join(addresses, ", ")
}

// Instances returns the running instances.
func (f *Fleet) Instances() []*Instance {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]*Instance(nil), f.instances...)
}

// InstancesOf returns the running instances of a service.
func (f *Fleet) InstancesOf(service string) []*Instance {
	var found []*Instance
	for _, instance := range f.Instances() {
		if instance.Service.Entry.GetService() == service {
			found = append(found, instance)
		}
	}
	return found
}

// readyPollInterval is the time between two checks of the state of the fleet.
const readyPollInterval = 10 * time.Millisecond

// AwaitMembers waits until every node has the complete catalogue and all members.
func (f *Fleet) AwaitMembers(ctx context.Context) error {
	for {
		if f.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "fleet: the nodes did not receive the catalogue and all members in time")
		case <-time.After(readyPollInterval):
		}
	}
}

func (f *Fleet) ready() bool {
	instances := f.Instances()
	for _, instance := range instances {
		status := instance.Node.Status()
		if status.Services < len(f.config.Services) || status.Members < len(instances) {
			return false
		}
	}
	return true
}

// Crash stops the target and the node of the instance without draining them.
func (f *Fleet) Crash(instance *Instance) {
	f.remove(instance)
	instance.Target.Crash()
	instance.Node.Close()
}

// Retire drains and stops the target of the instance, then shuts down its node.
func (f *Fleet) Retire(ctx context.Context, instance *Instance) error {
	err := instance.Target.Drain(ctx)
	f.remove(instance)
	return errors.CombineErrors(err, instance.Node.Shutdown(ctx))
}

// remove removes the instance from the list of running instances.
func (f *Fleet) remove(instance *Instance) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i, running := range f.instances {
		if running == instance {
			f.instances = append(f.instances[:i], f.instances[i+1:]...)
			return
		}
	}
}

// Close stops all instances without draining them, then the log service.
func (f *Fleet) Close() {
	var wait sync.WaitGroup
	for _, instance := range f.Instances() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.Crash(instance)
		}()
	}
	wait.Wait()
	f.logServer.Close()
}
