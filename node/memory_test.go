package node_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/fleet"
	"github.com/primrosemount/primrosemount/internal/freeport"
	"github.com/primrosemount/primrosemount/internal/standin/logservice"
	"github.com/primrosemount/primrosemount/internal/standin/target"
	"github.com/primrosemount/primrosemount/operator"
)

const (
	memoryCalls = 1000
	// maxControlBytes is the goal for the memory of a node's control work at the
	// fleet size expected in two years; see docs/design.md, section 1.4.
	maxControlBytes = 32_000_000
	// settleTime is the time for the Go runtime to return the memory that the
	// start or the calls have used.
	settleTime = 2 * time.Second
)

// Guards against a node whose memory exceeds the budget for the control work
// even in a fleet of one node. It also logs the measured sizes.
func TestIdleNodeMemory(t *testing.T) {
	log := httptest.NewServer(logservice.New(logservice.Config{}).Handler())
	defer log.Close()
	service := twoTiers(0)[0]
	addresses := freeAddresses(t, 4)
	process := startProcess(t, addresses, log.URL)
	client, err := operator.NewClient("http://"+addresses[3], nil, testTime)
	require.NoError(t, err)
	defer client.Close()
	require.Eventually(t, func() bool { return addEntry(t, client, service.Entry) }, testTime, 50*time.Millisecond)
	started, err := target.Start(target.Config{
		Service:    "orders",
		Slots:      service.Slots,
		NodeURL:    "http://" + addresses[1],
		Operations: service.Operations,
		Ledger:     target.NewLedger(),
	})
	require.NoError(t, err)
	defer started.Crash()
	call := func() bool {
		return post(t, addresses[0], "/v1/services/orders/note", "x", nil).status == http.StatusOK
	}
	require.Eventually(t, call, testTime, 50*time.Millisecond)

	time.Sleep(settleTime)
	before := memoryOf(t, process)
	for range memoryCalls {
		call()
	}
	after := memoryOf(t, process)
	time.Sleep(settleTime)
	later := memoryOf(t, process)
	t.Logf("idle: %v; after %d calls: %v; %s later: %v", before, memoryCalls, after, settleTime, later)
	require.Less(t, before.anonymous, maxControlBytes)
}

func addEntry(t *testing.T, client *operator.Client, entry *pb.Entry) bool {
	// A node without peers polls the log at long intervals, so the first change
	// takes several seconds.
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	defer cancel()
	change := &pb.Change{
		Id:               make([]byte, 16),
		Operator:         fleet.Operator,
		Service:          entry.GetService(),
		Entry:            entry,
		CreatedUnixNanos: time.Now().UnixNano(),
	}
	result, err := client.SubmitChange(ctx, change)
	if err != nil {
		t.Logf("retrying the change: %v", err)
	}
	return err == nil && result.GetAccepted()
}

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(t *testing.T, count int) []string {
	addresses, err := freeport.Addresses(count)
	require.NoError(t, err)
	return addresses
}

// startProcess builds the binary, starts a node, and returns its process ID.
func startProcess(t *testing.T, addresses []string, logURL string) int {
	dir := t.TempDir()
	binary := filepath.Join(dir, "primrosemount")
	output, err := exec.Command("go", "build", "-o", binary, "../cmd/primrosemount").CombinedOutput()
	require.NoError(t, err, string(output))
	settings := fmt.Sprintf(`vm: orders-a-1
availability_zone: zone-a
region: north
service: orders
listen: {callers: %q, target: %q, nodes: %q, operators: %q}
log: {url: %q, timeout: 3s, poll_interval: 500ms}
bounds: {header_bytes: 32KiB, body_bytes: 1MiB, caller_connections: 2000, key_table_bytes: 12MiB, journal_entries: 4096}
`, addresses[0], addresses[1], addresses[2], addresses[3], logURL)
	file := filepath.Join(dir, "node.yaml")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	command := exec.Command(binary, "node", "--config", file)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		_ = command.Wait()
	})
	return command.Process.Pid
}

// memory holds sizes in bytes.
type memory struct{ resident, anonymous int }

// String returns the sizes in MiB.
func (m memory) String() string {
	const mebibyte = 1 << 20
	return fmt.Sprintf("VmRSS %.1f MiB, RssAnon %.1f MiB", float64(m.resident)/mebibyte, float64(m.anonymous)/mebibyte)
}

func memoryOf(t *testing.T, process int) memory {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	require.NoError(t, err)
	return memory{resident: statusBytes(t, status, "VmRSS:"), anonymous: statusBytes(t, status, "RssAnon:")}
}

// statusBytes returns a size from /proc/PID/status, where sizes are given in
// units of 1024 bytes.
func statusBytes(t *testing.T, status []byte, name string) int {
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == name {
			kilobytes, err := strconv.Atoi(fields[1])
			require.NoError(t, err)
			return kilobytes * 1024
		}
	}
	require.Fail(t, "no line "+name)
	return 0
}
