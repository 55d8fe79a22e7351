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

// process is one incarnation of a node.
type process struct {
	command *exec.Cmd
	output  *os.File
	ended   chan struct{}
	// expected is set before the soak ends the process. It is guarded by the mutex
	// of the node.
	expected bool
}

// node is the node of one VM across its incarnations.
type node struct {
	vm          *vm
	binary      string
	folder      string
	history     *History
	mutex       sync.Mutex
	running     *process
	incarnation int
	// peakKB is the peak resident memory of any incarnation, in KiB.
	peakKB int
}

// start starts an incarnation unless one is running.
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
	// The kernel kills the node if the soak process ends, for example by a signal.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	n.running = p
	go n.wait(p, n.incarnation)
	return nil
}

// wait waits until the process exits, and records the exit if it was not expected.
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
		n.history.unexpectedExit(fmt.Sprintf("the node of %s exited unexpectedly in incarnation %d: %v; last output: %q",
			n.vm.name, incarnation, err, lastLine(p.output.Name())))
	}
	close(p.ended)
}

// lastLine returns the last line of a file, or what kept it from being read.
func lastLine(path string) string {
	content, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	text := strings.TrimSpace(string(content))
	return text[strings.LastIndexByte(text, '\n')+1:]
}

// signal sends a signal to the running process, if any, and returns the process.
// mayEnd states that the process may exit because of the signal. Signal 0 only
// updates peakKB.
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

// kill kills the process and waits until it has exited.
func (n *node) kill() {
	if p := n.signal(syscall.SIGKILL, true); p != nil {
		<-p.ended
	}
}

// stop sends SIGTERM to the process and kills it after the grace period.
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

// currentIncarnation returns the number of the latest incarnation, from 1 on.
func (n *node) currentIncarnation() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.incarnation
}

// peakKB returns the peak resident memory of a process in KiB, or 0 if the process
// has exited.
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
