package plainplatform

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Route is one route of the operator's configuration.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Idempotent bool
	Timeout    time.Duration
	Priority   int
	Service    string
	Attempts   int
	// Public routes need no key of a client account.
	Public bool
}

// Tenant is one client account of the operator's configuration.
type Tenant struct {
	Name string
	Keys []string
	// RatePerSecond and Burst are its quota; 0 means no limit.
	RatePerSecond, Burst float64
}

// write writes the account as a resource of the configuration.
func (t Tenant) write(w io.Writer) {
	fmt.Fprintf(w, `{"type":"tenants","metadata":{"name":%q},"spec":{"api_keys":["%s"],"rate_per_s":%g,"burst":%g}},`,
		t.Name, strings.Join(t.Keys, `","`), t.RatePerSecond, t.Burst)
}

// Topics and a key in the store.
const (
	TopicOperator = "keyed.op"
	TopicMembers  = "keyed.members"
	KeyConfig     = "config"
)

// KeyedRecord returns the record of a key in a topic that keeps the newest record of
// each key: the length of the key in one byte, the key and the value.
func KeyedRecord(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// Configuration returns the operator's configuration document with the given routes and
// client accounts.
func Configuration(version int, routes []Route, tenants ...Tenant) []byte {
	var resources strings.Builder
	services := make(map[string]bool)
	for _, r := range routes {
		kind := "unsafe"
		if r.Idempotent {
			kind = "safe"
		}
		fmt.Fprintf(&resources, `{"type":"routes","metadata":{"name":%q},"spec":{"hostname":%q,"path_prefix":%q,"kind":%q,"timeout":"%dms","target_latency":"500ms","priority":%d,"service":%q,"attempts":%d,"public":%t}},`,
			r.Name, r.Host, r.PathPrefix, kind, r.Timeout.Milliseconds(), r.Priority, r.Service, r.Attempts, r.Public)
		services[r.Service] = true
	}
	for _, t := range tenants {
		t.write(&resources)
	}
	for service := range services {
		fmt.Fprintf(&resources, `{"type":"services","metadata":{"name":%q},"spec":{"health_path":"/healthz","max_connections":200}},`, service)
	}
	return fmt.Appendf(nil, `{"version":"%08x","resources":[%s
{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]}`,
		version, resources.String())
}

// Settings are the settings that the platform gives to one node process.
type Settings struct {
	VM, Zone, Service string
	// Entry, Ready and Announce are the listen addresses of the node for requests,
	// readiness checks and announcements, in the form IP:port.
	Entry, Ready, Announce string
	// PeerPort is the port for connections from other nodes on 127.0.0.1.
	PeerPort string
	// Target and Store are the addresses to which the node connects, in the form
	// IP:port.
	Target, Store string
	MemoryMB      int
	Grace, Drain  time.Duration
	BudgetRatio   float64
	BudgetSlack   int
}

// File returns the content of the settings file.
func (s Settings) File() string {
	return fmt.Sprintf(`node_name: %q
ip: "127.0.0.1"
zone: %q
region: "north"
listen: {outbound: %q, ready_addr: %q, control: %q}
internal_ports: [%s, %s]
limits: {memory_mb: %d}
bounds: ["grace_period=%s", "retry_budget_ratio=%g", "budget_slack=%d", "drain_timeout=%s"]
app_addr: %q
service: %q
platform: {address: %q}
`, s.VM, s.Zone, s.Entry, s.Ready, s.Announce, s.PeerPort, s.PeerPort, s.MemoryMB,
		s.Grace, s.BudgetRatio, s.BudgetSlack, s.Drain, s.Target, s.Service, s.Store)
}
