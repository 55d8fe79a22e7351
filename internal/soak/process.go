package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one life of a node.
type process struct {
	command *exec.Cmd
	output  *os.File
	ended   chan struct{}
	// expected is set before the soak ends the process.
	expected bool
}

// node is the node of one VM over all its lives.
type node struct {
	vm          *vm
	binary      string
	folder      string
	history     *History
	mutex       sync.Mutex
	running     *process
	incarnation int
	// peakKB is the largest memory that any life used.
	peakKB int
}

// start begins a life unless one runs.
func (n *node) start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.running != nil {
		return nil
	}
	n.incarnation++
	output, err := os.Create(filepath.Join(n.folder, fmt.Sprintf("%s-%d.log", n.vm.name, n.incarnation)))
	if err != nil {
		return err
	}
	p := &process{command: exec.Command(n.binary, "sidecar", "--metrics-port", "0", "--advertise", n.vm.peers.address()),
		output: output, ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), "PRIMROSEMOUNT_SETTINGS="+n.vm.settingsPath)
	p.command.Stdout, p.command.Stderr = output, output
	// A node must not outlive a soak that is ended by a signal.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	n.running = p
	go n.wait(p, n.incarnation)
	return nil
}

// wait notes the end of a life.
func (n *node) wait(p *process, incarnation int) {
	err := p.command.Wait()
	_ = p.output.Close()
	n.mutex.Lock()
	if n.running == p {
		n.running = nil
	}
	expected := p.expected
	n.mutex.Unlock()
	if !expected {
		n.history.unexpectedExit(fmt.Sprintf("the node of %s ended by itself in life %d: %v", n.vm.name, incarnation, err))
	}
	close(p.ended)
}

// signal sends a signal to the life that runs, if any; ending tells that the
// process may end because of it.
func (n *node) signal(s syscall.Signal, mayEnd bool) *process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p := n.running
	if p == nil {
		return nil
	}
	n.peakKB = max(n.peakKB, peakKB(p.command.Process.Pid))
	p.expected = p.expected || mayEnd
	_ = p.command.Process.Signal(s)
	return p
}

// kill ends the life at once.
func (n *node) kill() {
	if p := n.signal(syscall.SIGKILL, true); p != nil {
		<-p.ended
	}
}

// stop asks the life to stop and kills it after the grace period.
func (n *node) stop(grace time.Duration) {
	p := n.signal(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	select {
	case <-p.ended:
	case <-time.After(grace):
		_ = p.command.Process.Kill()
		<-p.ended
	}
}

// lives returns the number of the present life.
func (n *node) currentIncarnation() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.incarnation
}

// peakKB reads the largest resident memory of a process; 0 if it has ended.
func peakKB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}
