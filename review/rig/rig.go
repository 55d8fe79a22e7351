// Package rig starts nodes as separate processes in a small deployment on loopback
// addresses, and holds the stand-ins of the clients, the backends and the platform.
// Each machine of the deployment has its own loopback address, and the ports are the
// same on all of them.
package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Bounds and figures of the deployment, those of the settings example in DEPLOY.md.
const (
	Contact      = 3 * time.Second
	DrainTimeout = 2 * time.Second
	GracePeriod  = 6 * time.Second
	Heartbeat    = 1500 * time.Millisecond
)

// caseTimeout ends a case that takes too long.
const caseTimeout = 110 * time.Second

// offsets of the ports of a machine from the first port.
const (
	portOutbound = iota
	portReady
	portControl
	portInbound
	portApp
	portPeerFirst
	portPeerLast = portPeerFirst + 5
)

// A Rig is one deployment.
type Rig struct {
	// Trouble is false if the disruption of the case is left out.
	Trouble bool
	// Root is the root of the repository.
	Root  string
	Store *Store

	folder string
	record *os.File
	start  time.Time
	prefix string
	port   int

	mutex    sync.Mutex
	nodes    []*Node
	backends []*Backend
	ending   bool
}

// New prepares a deployment of the programs in the repository at root. What happens is
// written to the file recordPath.
func New(root, recordPath string) (*Rig, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "primrosemount-review-")
	if err != nil {
		return nil, err
	}
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", Root: root, folder: folder, record: record, start: time.Now()}
	if err := r.choosePorts(); err != nil {
		return nil, err
	}
	r.Store, err = startStore(fmt.Sprintf("%s.250:%d", r.prefix, r.port))
	if err != nil {
		return nil, err
	}
	time.AfterFunc(caseTimeout, func() { r.End(CantRun, "the case took longer than %v", caseTimeout) })
	r.Record("start", "trouble=%v addresses=%s.* first port=%d", r.Trouble, r.prefix, r.port)
	return r, nil
}

// choosePorts selects a range of loopback addresses and ports that are free.
func (r *Rig) choosePorts() error {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		port := 21000 + 20*rand.IntN(500)
		if free(prefix, port) {
			r.prefix, r.port = prefix, port
			return nil
		}
	}
	return fmt.Errorf("no free ports found")
}

func free(prefix string, port int) bool {
	for _, machine := range []int{1, 2, 3, 4, 250} {
		for offset := range portPeerLast + 1 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, machine, port+offset))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// Record writes one line to the record of the case.
func (r *Rig) Record(kind, format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.record, "%9.3f %-10s %s\n", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, args...))
}

// Since returns the time in seconds since the start of the case.
func (r *Rig) Since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// End stops everything that the case has started and exits with the code.
func (r *Rig) End(code int, format string, args ...any) {
	verdict := fmt.Sprintf(format, args...)
	r.Record("verdict", "exit=%d %s", code, verdict)
	fmt.Println(strings.TrimSpace(verdict))
	r.mutex.Lock()
	r.ending = true
	nodes, backends := r.nodes, r.backends
	r.mutex.Unlock()
	for _, n := range nodes {
		n.Kill()
	}
	for _, b := range backends {
		b.Stop()
	}
	r.Store.close()
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Println(r.folder)
	}
	os.Exit(code)
}

// address returns an address of a machine, which is numbered from 1.
func (r *Rig) address(machine, offset int) string {
	return fmt.Sprintf("%s.%d:%d", r.prefix, machine, r.port+offset)
}

// PeerAddress is the address at which other nodes reach the node of a machine.
func (r *Rig) PeerAddress(machine int) string { return r.address(machine, portPeerFirst) }

// Outbound is the address at which a machine takes requests.
func (r *Rig) Outbound(machine int) string { return r.address(machine, portOutbound) }
