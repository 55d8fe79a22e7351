// Package processes tests nodes, targets and the log service as separate processes
// that are killed, suspended and stopped under load.
package processes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/internal/freeport"
	"github.com/primrosemount/primrosemount/internal/standin/target"
	"github.com/primrosemount/primrosemount/wire"
)

const (
	startTimeout = 15 * time.Second
	callTimeout  = 4 * time.Second
	// loadPause is the pause of a caller between two bookings.
	loadPause = 10 * time.Millisecond
)

// process is a child process and its output.
type process struct {
	command *exec.Cmd
	output  *bytes.Buffer
	done    chan struct{}
}

// start starts a process that is killed at the end of the test.
func start(t *testing.T, binary string, args ...string) *process {
	p := &process{command: exec.Command(binary, args...), output: &bytes.Buffer{}, done: make(chan struct{})}
	p.command.Stdout = p.output
	p.command.Stderr = p.output
	require.NoError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.done)
	}()
	t.Cleanup(func() { p.kill() })
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// instance is one VM: a node process and a target process.
type instance struct {
	node   *process
	target *process
	// callers and operators are listen addresses of the node, address is that of
	// the target.
	callers   string
	operators string
	address   string
}

// cluster holds the processes and executables of one test.
type cluster struct {
	t *testing.T
	// node and standin are the paths of the executables.
	node      string
	standin   string
	directory string
	// log is the address of the log service.
	log       string
	instances []*instance
}

func build(t *testing.T, directory, name string) string {
	binary := filepath.Join(directory, name)
	command := exec.Command("go", "build", "-o", binary, "github.com/primrosemount/primrosemount/cmd/"+name)
	output, err := command.CombinedOutput()
	require.NoError(t, err, string(output))
	return binary
}

func newCluster(t *testing.T) *cluster {
	directory := t.TempDir()
	c := &cluster{
		t:         t,
		node:      build(t, directory, "primrosemount"),
		standin:   build(t, directory, "standin"),
		directory: directory,
		log:       freeAddress(t),
	}
	start(t, c.standin, "log", "--listen", c.log)
	return c
}

func freeAddress(t *testing.T) string {
	addresses, err := freeport.Addresses(1)
	require.NoError(t, err)
	return addresses[0]
}

// add starts the node and the target of a new VM.
func (c *cluster) add(vm, zone, service string, operations ...string) *instance {
	i := &instance{callers: freeAddress(c.t), operators: freeAddress(c.t), address: freeAddress(c.t)}
	targetListener := freeAddress(c.t)
	settings := fmt.Sprintf(`
vm: %s
availability_zone: %s
region: north
service: %s
listen: {callers: "%s", target: "%s", nodes: "%s", operators: "%s"}
log: {url: "http://%s", timeout: 1s, poll_interval: 100ms}
`, vm, zone, service, i.callers, targetListener, freeAddress(c.t), i.operators, c.log)
	path := filepath.Join(c.directory, vm+".yaml")
	require.NoError(c.t, os.WriteFile(path, []byte(settings), 0o600))
	i.node = start(c.t, c.node, "node", "--config", path)
	args := []string{"target", "--listen", i.address, "--service", service, "--node", "http://" + targetListener}
	for _, operation := range operations {
		args = append(args, "--operation", operation)
	}
	i.target = start(c.t, c.standin, args...)
	c.instances = append(c.instances, i)
	return i
}

const catalogueFile = `
entries:
  - service: orders
    owner: orders-team
    class: normal
    operations:
      - {name: book, idempotent: false, class: critical, deadline: 2s}
      - {name: list, idempotent: true, class: sheddable, deadline: 2s}
    allowed_callers: ["*"]
    deadline: 2s
    limits: {drain: 10s}
    retry: {allowance: 3, edge_ratio: 0.1}
  - service: ledger
    owner: orders-team
    class: normal
    operations:
      - {name: debit, idempotent: false, class: critical, deadline: 2s}
    allowed_callers: [orders]
    deadline: 2s
    limits: {drain: 10s}
    retry: {allowance: 3, edge_ratio: 0.1}
`

// apply applies the catalogue with the command line, as an operator does. It retries
// until the node accepts the change.
func (c *cluster) apply() {
	path := filepath.Join(c.directory, "catalogue.yaml")
	require.NoError(c.t, os.WriteFile(path, []byte(catalogueFile), 0o600))
	args := []string{"catalogue", "apply", "--node", "http://" + c.instances[0].operators, "--operator", "orders-team", path}
	var output []byte
	require.Eventually(c.t, func() bool {
		var err error
		output, err = exec.Command(c.node, args...).CombinedOutput()
		return err == nil
	}, startTimeout, 100*time.Millisecond, "apply: %s", output)
}

// awaitReady waits until a booking through every node succeeds.
func (c *cluster) awaitReady() {
	for n, i := range c.instances {
		require.Eventually(c.t, func() bool {
			return post(i.callers, "book", fmt.Sprintf("ready-%d-%d", n, time.Now().UnixNano()), nil).outcome == "completed"
		}, startTimeout, 50*time.Millisecond)
	}
}

// result is the outcome that was reported to a caller. The outcome "wrong" stands for
// an invalid response.
type result struct {
	outcome string
	reason  string
	key     string
}

// post sends a request to the service orders and returns the reported result. The
// outcome is unknown if no complete response is received.
func post(address, operation, id string, header map[string]string) result {
	body, err := json.Marshal(target.Request{ID: id})
	if err != nil {
		return result{outcome: "wrong", reason: err.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	url := "http://" + address + wire.ServicesPath + "orders/" + operation
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return result{outcome: "wrong", reason: err.Error()}
	}
	request.ContentLength = int64(len(body))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{outcome: "unknown", reason: "connection"}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return result{outcome: "unknown", reason: "cut"}
	}
	reported := interpret(response, data, id)
	reported.key = response.Header.Get(wire.IdempotencyKeyHeader)
	return reported
}

// interpret returns the result that a response reports for the request with the id.
func interpret(response *http.Response, data []byte, id string) result {
	if response.Header.Get("Content-Type") == wire.ProblemType {
		var problem wire.Problem
		if err := json.Unmarshal(data, &problem); err != nil {
			return result{outcome: "wrong", reason: err.Error()}
		}
		return result{outcome: problem.Outcome, reason: problem.Reason}
	}
	if response.StatusCode != http.StatusOK {
		return result{outcome: "unknown", reason: response.Status}
	}
	var parsed target.Response
	if err := json.Unmarshal(data, &parsed); err != nil || parsed.ID != id {
		return result{outcome: "wrong", reason: string(data)}
	}
	return result{outcome: "completed"}
}

// ledger returns the number of times that each execution was started, summed over all
// targets.
func (c *cluster) ledger() map[target.Execution]int {
	total := make(map[target.Execution]int)
	for _, i := range c.instances {
		response, err := http.Get("http://" + i.address + target.LedgerPath)
		require.NoError(c.t, err)
		var counts []target.ExecutionCount
		require.NoError(c.t, json.NewDecoder(response.Body).Decode(&counts))
		require.NoError(c.t, response.Body.Close())
		for _, count := range counts {
			total[count.Execution] += count.Begun
		}
	}
	return total
}

// load books continuously through the entry nodes until stopped. It retries a booking
// with an unknown outcome through the next entry node with the same key.
type load struct {
	entries  []string
	stop     chan struct{}
	wait     sync.WaitGroup
	mutex    sync.Mutex
	reported map[string][]result
}

const loadCallers = 8

func startLoad(entries []string) *load {
	l := &load{entries: entries, stop: make(chan struct{}), reported: make(map[string][]result)}
	for caller := range loadCallers {
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			l.run(caller)
		}()
	}
	return l
}

func (l *load) run(caller int) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(loadPause):
		}
		l.book(caller+n, fmt.Sprintf("order-%d-%d", caller, n))
	}
}

// book makes one booking with a key that the first entry node issues. It makes no
// booking if that node issues none.
func (l *load) book(pick int, id string) {
	key := fetchKey(l.entries[pick%len(l.entries)])
	if key == "" {
		return
	}
	for attempt := range 3 {
		header := map[string]string{wire.IdempotencyKeyHeader: key, wire.AttemptHeader: fmt.Sprint(attempt)}
		reported := post(l.entries[(pick+attempt)%len(l.entries)], "book", id, header)
		l.mutex.Lock()
		l.reported[id] = append(l.reported[id], reported)
		l.mutex.Unlock()
		if reported.outcome != "unknown" {
			return
		}
	}
}

// fetchKey returns a new idempotency key, or an empty string if the node issues none.
func fetchKey(address string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.ServicesPath+"orders/keys", nil)
	if err != nil {
		return ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var parsed struct {
		Keys []string `json:"keys"`
	}
	if json.NewDecoder(response.Body).Decode(&parsed) != nil || len(parsed.Keys) == 0 {
		return ""
	}
	return parsed.Keys[0]
}

// end stops the callers and waits for their last requests.
func (l *load) end() {
	close(l.stop)
	l.wait.Wait()
}

// check compares the outcomes that were reported to callers with the executions that
// targets started, and returns the number of completed bookings.
func (l *load) check(t *testing.T, started map[target.Execution]int) (completed int) {
	for id, reported := range l.reported {
		book := started[target.Execution{Service: "orders", Operation: "book", ID: id}]
		debit := started[target.Execution{Service: "ledger", Operation: "debit", ID: id}]
		require.LessOrEqual(t, book, 1, "%s booked twice: %v", id, reported)
		require.LessOrEqual(t, debit, 1, "%s debited twice: %v", id, reported)
		last := reported[len(reported)-1]
		switch last.outcome {
		case "completed":
			require.Equal(t, 1, book, id)
			completed++
		case "not_run":
			require.Zero(t, book, "%s was reported as not run: %v", id, reported)
		default:
			require.Equal(t, "unknown", last.outcome, "%s: %v", id, reported)
		}
	}
	return completed
}

// Guards against duplicate executions, wrong responses and requests reported as not
// run that ran, when nodes are suspended, killed or stopped with SIGTERM under load,
// and against a planned stop that aborts requests, does not end in time or does not
// exit with code 0.
func TestKillSuspendAndStopUnderLoad(t *testing.T) {
	c := newCluster(t)
	first := c.add("orders-1", "a", "orders", "book=ledger/debit", "list")
	suspended := c.add("orders-2", "b", "orders", "book=ledger/debit", "list")
	draining := c.add("orders-3", "c", "orders", "book=ledger/debit", "list")
	c.add("ledger-1", "a", "ledger", "debit")
	killed := c.add("ledger-2", "b", "ledger", "debit")
	c.apply()
	c.awaitReady()

	entries := []string{first.callers, c.instances[3].callers}
	l := startLoad(entries)
	time.Sleep(time.Second)

	suspended.node.signal(syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	suspended.node.signal(syscall.SIGCONT)

	draining.node.signal(syscall.SIGTERM)
	select {
	case <-draining.node.done:
	case <-time.After(10 * time.Second):
		t.Fatal("the node did not stop in time")
	}
	require.Zero(t, draining.node.command.ProcessState.ExitCode(), draining.node.output.String())

	killed.node.kill()
	time.Sleep(2 * time.Second)
	l.end()

	completed := l.check(t, c.ledger())
	require.Greater(t, completed, 100, "too few bookings succeeded; output of the first node: %s", tail(first.node.output.String()))
	for _, i := range c.instances {
		require.NotContains(t, i.node.output.String(), "panic")
	}
}

// tail returns the last lines of the output.
func tail(output string) string {
	const lines = 20
	all := strings.Split(output, "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
