package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/roster"
	"github.com/primrosemount/primrosemount/internal/freeport"
	"github.com/primrosemount/primrosemount/internal/standin/logservice"
	"github.com/primrosemount/primrosemount/internal/standin/plainplatform"
)

// Services of the VMs.
const (
	serviceStock  = "stock"
	servicePrices = "prices"
)

const (
	// routeAttempts and routeTimeout are the attempts and the timeout of all routes.
	routeAttempts = 2
	routeTimeout  = 2 * time.Second
	// gracePeriod is the time from SIGTERM to SIGKILL when a node is stopped.
	gracePeriod = 6 * time.Second
	// memoryMB is the memory limit of a node, in MiB.
	memoryMB = 184
	// zones is the number of availability zones.
	zones = 3
	// addressesPerVM is the number of listen addresses of one VM, including those of
	// its proxies.
	addressesPerVM = 9
)

// serviceOf returns the service of a VM; the services alternate.
func serviceOf(vm int) string {
	if vm%2 == 0 {
		return serviceStock
	}
	return servicePrices
}

// vm is one VM: a node process, a target, and the proxies of the node's links.
type vm struct {
	index           int
	name            string
	zone            string
	service         string
	settingsPath    string
	entryAddress    string
	announceAddress string
	targetAddress   string
	node            *node
	target          *target
	// The proxies of the links from clients and from other nodes to the node, and from
	// the node to its target and to the store.
	clients  *proxy
	peers    *proxy
	toTarget *proxy
	toStore  *proxy
}

func (v *vm) currentIncarnation() int { return v.node.currentIncarnation() }

func (v *vm) links() []*proxy { return []*proxy{v.clients, v.peers, v.toTarget, v.toStore} }

// fleet holds all VMs and the store.
type fleet struct {
	history *History
	store   *logservice.Service
	server  *http.Server
	// address is the address of the store.
	address string
	vms     []*vm
	// mutex guards ackedGeneration.
	mutex           sync.Mutex
	ackedGeneration int
	// configMutex serializes changes of the configuration.
	configMutex sync.Mutex
	// keys holds the client accounts; nil if the configuration has none.
	keys *keyring
}

// newFleet starts the store and creates the VMs and their proxies. It does not start the
// nodes and targets.
func newFleet(o Options, history *History) (*fleet, error) {
	f := &fleet{history: history, store: logservice.New(logservice.Config{})}
	f.store.SetEra(1)
	if o.Accounts {
		f.keys = newKeyring(o.VMs * o.Clients)
	}
	addresses, err := freeport.Addresses(1 + o.VMs*addressesPerVM)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", addresses[0])
	if err != nil {
		return nil, err
	}
	f.address = addresses[0]
	f.server = &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: connectTimeout}
	go func() { _ = f.server.Serve(listener) }()
	for i := range o.VMs {
		if err := f.add(o, i, addresses[1+i*addressesPerVM:][:addressesPerVM]); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

// add creates one VM with its proxies and writes its settings file. The addresses are
// those of the node's listeners for clients, readiness, announcements and other nodes,
// that of the target, and those of the four proxies.
func (f *fleet) add(o Options, index int, addresses []string) error {
	v := &vm{
		index: index, name: fmt.Sprintf("vm-%d", index+1), zone: fmt.Sprintf("zone-%d", index%zones+1), service: serviceOf(index),
		entryAddress: addresses[0], announceAddress: addresses[2], targetAddress: addresses[4],
	}
	v.settingsPath = filepath.Join(o.Folder, v.name+".yaml")
	v.node = &node{vm: v, binary: o.Binary, folder: o.Folder, history: f.history}
	v.target = &target{vm: v, history: f.history}
	links := []struct {
		field    **proxy
		upstream string
	}{{&v.clients, addresses[0]}, {&v.peers, addresses[3]}, {&v.toTarget, addresses[4]}, {&v.toStore, f.address}}
	for i, l := range links {
		var err error
		if *l.field, err = newProxy(addresses[5+i], l.upstream); err != nil {
			return err
		}
	}
	f.vms = append(f.vms, v)
	return os.WriteFile(v.settingsPath, []byte(v.settings(addresses[1], addresses[3]).File()), 0o600)
}

// settings returns the settings of the node, given its listen addresses for readiness
// checks and for other nodes.
func (v *vm) settings(ready, peer string) plainplatform.Settings {
	return plainplatform.Settings{
		VM: v.name, Zone: v.zone, Service: v.service,
		Entry: v.entryAddress, Ready: ready, Announce: v.announceAddress,
		PeerPort: peer[strings.LastIndexByte(peer, ':')+1:],
		Target:   v.toTarget.address(), Store: v.toStore.address(),
		MemoryMB: memoryMB, Grace: gracePeriod, Drain: drainTimeout,
		BudgetRatio: budgetRatio, BudgetSlack: budgetSlack,
	}
}

// start stores the first configuration, then starts all targets and nodes.
func (f *fleet) start(done <-chan struct{}) error {
	if err := f.configure(); err != nil {
		return err
	}
	for _, v := range f.vms {
		if err := errors.CombineErrors(v.target.start(false), v.node.start()); err != nil {
			return err
		}
		go v.target.announceUntil(done)
	}
	return nil
}

// generation returns the newest generation of the configuration that the store
// has acknowledged.
func (f *fleet) generation() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ackedGeneration
}

// maxConfigAttempts bounds the attempts to store a configuration while the store is
// down.
const maxConfigAttempts = 200

// configure stores the next generation of the configuration. As an operator would,
// it retries until the store acknowledges the write.
func (f *fleet) configure() error {
	f.configMutex.Lock()
	defer f.configMutex.Unlock()
	return f.write(f.generation() + 1)
}

// configureAccount stores the next generation, in which a step has changed an account.
func (f *fleet) configureAccount(s Step) error {
	f.configMutex.Lock()
	defer f.configMutex.Unlock()
	f.keys.change(s)
	return f.write(f.generation() + 1)
}

// configureAgain stores the newest generation again, which the store may have lost.
func (f *fleet) configureAgain() error {
	f.configMutex.Lock()
	defer f.configMutex.Unlock()
	return f.write(f.generation())
}

// write stores a generation of the configuration. The caller must hold configMutex.
func (f *fleet) write(next int) error {
	change := Change{Generation: next, Sent: time.Now(), Accounts: f.keys.all()}
	record := plainplatform.KeyedRecord(plainplatform.KeyConfig, plainplatform.Configuration(next, routes(next), tenants(change.Accounts)...))
	for range maxConfigAttempts {
		if _, err := f.store.Append(context.Background(), plainplatform.TopicOperator, record); err == nil {
			change.Acked = time.Now()
			f.history.change(change)
			f.mutex.Lock()
			f.ackedGeneration = next
			f.mutex.Unlock()
			return nil
		}
		time.Sleep(linkPollInterval)
	}
	return errors.New("the store accepted no configuration; check its faults in the schedule")
}

// routes returns the routes of a generation: the fixed ones, and one that only this
// generation has.
func routes(generation int) []plainplatform.Route {
	name := "generation-" + strconv.Itoa(generation)
	list := []plainplatform.Route{
		{Name: "view", Host: hostShop, PathPrefix: "/view/", Idempotent: true, Priority: 2, Service: serviceStock},
		{Name: "order", Host: hostShop, PathPrefix: "/order/", Service: serviceStock},
		{Name: "price", Host: hostPrice, PathPrefix: "/price/", Idempotent: true, Priority: 1, Service: servicePrices},
		{Name: "debit", Host: hostPrice, PathPrefix: "/debit/", Service: servicePrices},
		{Name: name, Host: hostPrice, PathPrefix: "/" + name + "/", Idempotent: true, Priority: 2, Service: servicePrices, Public: true},
	}
	for i := range list {
		list[i].Timeout, list[i].Attempts = routeTimeout, routeAttempts
	}
	return list
}

// clockSkew is how far the clock of a node's earlier incarnation was ahead.
const clockSkew = time.Hour

// storeFutureIncarnation rewrites the member record of the VM as if an incarnation
// whose clock was ahead by clockSkew had written it.
func (f *fleet) storeFutureIncarnation(v *vm) error {
	record, known := f.store.Newest(plainplatform.TopicMembers)[v.name]
	if !known {
		return nil
	}
	m, err := roster.Decode(v.name, record)
	if err != nil {
		return err
	}
	m.Incarnation += uint64(clockSkew)
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	_, err = f.store.Append(context.Background(), plainplatform.TopicMembers, plainplatform.KeyedRecord(v.name, data))
	return err
}

// close ends all processes and listeners of the fleet.
func (f *fleet) close() {
	var ending sync.WaitGroup
	for _, v := range f.vms {
		ending.Go(func() {
			v.node.kill()
			v.target.stop()
			for _, link := range v.links() {
				if link != nil {
					link.close()
				}
			}
		})
	}
	ending.Wait()
	_ = f.server.Close()
}
