package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each VM, on its own loopback address.
const (
	portInbound  = 8300
	portApp      = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portPeer     = 7620
	portPeerLast = 7635
	portProxy    = 7700
	portMetrics  = 9464
	portStore    = 8309
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// line writes one line with the time since the start of the test.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// rig is a small deployment: VMs with a node process and a stand-in backend each, and a
// stand-in store.
type rig struct {
	rec     *recorder
	root    string
	dir     string
	prefix  string
	command []string
	bounds  string
	store   *store
	// storeAddress is the address of the store, or of a proxy before it.
	storeAddress string
	vms          []*vm
}

// vm is a machine with a node process and a backend.
type vm struct {
	rig     *rig
	name    string
	zone    string
	ip      string
	service string
	memory  int
	// storeAddress is the address of the store, or of a proxy before it.
	storeAddress string
	// advertise is the address of a proxy before the port for other nodes, or empty.
	advertise string
	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	backend   *backend
}

func (v *vm) at(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// newRig chooses a free part of the loopback network and starts the store.
func newRig(root, folder string) (*rig, error) {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	r := &rig{rec: rec, root: root, dir: dir}
	if r.command, err = deployCommand(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return nil, err
	}
	for range 50 {
		r.prefix = fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250))
		if r.store, err = startStore(fmt.Sprintf("%s.250:%d", r.prefix, portStore)); err == nil {
			r.storeAddress = r.store.address
			return r, nil
		}
	}
	return nil, err
}

// deployCommand returns the command of the role from the deploy file.
func deployCommand(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("no command in %s", path)
}

// addVM adds a VM. Nothing is started yet.
func (r *rig) addVM(name, zone, service string) *vm {
	v := &vm{rig: r, name: name, zone: zone, service: service, memory: 284,
		ip: fmt.Sprintf("%s.%d", r.prefix, 10+len(r.vms)), storeAddress: r.storeAddress}
	r.vms = append(r.vms, v)
	return v
}

// settings returns the settings file of the node, in the form of DEPLOY.md.
func (v *vm) settings() string {
	return fmt.Sprintf(`node_name: %q
role: "sidecar"
machine_class: "sidecar"
serves:
  - "sidecar"
ip: %q
zone: %q
region: "north"
zones:
  %s: "north"
listen:
  inbound: %q
  outbound: %q
  ready_addr: %q
  control: %q
internal_ports:
  - %d
  - %d
seeds: []
bootstrap: true
in_loss_budget: false
limits:
  cpu_share: 0.64
  cpu_cores: 1
  memory_mb: %d
  max_fds: 4100
  bandwidth_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "static"
entry: "static"
heartbeat: "1500ms"
bounds:
%s
app_addr: %q
service: %q
platform:
  address: %q
  form: "log"
  writes_per_s: 400
  reads_per_s: 2000
  parts: 32
  append: "2ms"
  ingress_per_s: 20.0
  egress_per_s: 80.0
  record_bytes: 262144
  call_bytes: 2097152
  keep: "300s"
  part_mb: 200
  min_ttl: "1000ms"
`, v.name, v.ip, v.zone, v.zone, v.at(portInbound), v.at(portOutbound), v.at(portReady), v.at(portControl),
		portPeer, portPeerLast, v.memory, v.rig.bounds, v.at(portApp), v.service, v.storeAddress)
}

// start starts the node process with the command of the deploy file.
func (v *vm) start() error {
	path := filepath.Join(v.rig.dir, v.name+".yaml")
	if err := os.WriteFile(path, []byte(v.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.rig.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := v.rig.command[1:]
	if v.advertise != "" {
		args = append(append([]string{}, args...), "--advertise", v.advertise)
	}
	program := v.rig.command[0]
	if !filepath.IsAbs(program) {
		program = filepath.Join(v.rig.root, program)
	}
	c := exec.Command(program, args...)
	c.Dir = v.rig.root
	c.Env = append(os.Environ(), "PRIMROSEMOUNT_SETTINGS="+path, "GOMAXPROCS=2")
	c.Stdout, c.Stderr = log, log
	// A group of its own: the system continues the suspended processes of a group whose
	// shell ends.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.process, v.exited = c, exited
	v.mu.Unlock()
	go func() {
		err := c.Wait()
		v.rig.rec.line("node %s: process %d ended: %v", v.name, c.Process.Pid, err)
		_ = log.Close()
		close(exited)
	}()
	v.rig.rec.line("node %s: process %d started", v.name, c.Process.Pid)
	return nil
}

// pid returns the process ID of the node, or 0.
func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return 0
	}
	return v.process.Process.Pid
}

// signal sends a signal to the node process.
func (v *vm) signal(s syscall.Signal) {
	v.rig.rec.line("node %s: signal %v", v.name, s)
	_ = v.process.Process.Signal(s)
}

// hasEnded reports whether the node process has ended.
func (v *vm) hasEnded() bool {
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

// awaitReady waits until the nodes say that they are ready.
func (r *rig) awaitReady(vms []*vm, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, v := range vms {
		for !isReady(v) {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(v *vm) bool {
	conn, err := net.DialTimeout("tcp", v.at(portReady), time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.Contains(line, " 200 ")
}

// close ends all processes.
func (r *rig) close() {
	for _, v := range r.vms {
		if v.process != nil && !v.hasEnded() {
			_ = v.process.Process.Kill()
			<-v.exited
		}
	}
	r.rec.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs:", r.dir)
	}
}
