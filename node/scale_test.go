package node_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/catalogue"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/standin/logservice"
	"github.com/primrosemount/primrosemount/operator"
	"github.com/primrosemount/primrosemount/streamlog"
)

const (
	scaleMembers  = 9600
	scaleServices = 770
	scaleBatch    = 256
	// maxCPUShare is the goal for the CPU time of control work, as a share of one
	// core.
	maxCPUShare = 0.027
	// cpuInterval is the time over which CPU time is measured.
	cpuInterval = 5 * time.Second
	// clockTicks is the number of clock ticks per second, the unit of CPU times
	// in /proc.
	clockTicks = 100
)

// Guards against a node whose control work exceeds its memory or CPU budget at
// the fleet size expected in two years. The members do not respond, so that the
// node also has to handle suspected members.
func TestNodeProcessAtScale(t *testing.T) {
	service := logservice.New(logservice.Config{})
	fillCatalogue(t, service)
	fillMembers(t, service)
	log := httptest.NewServer(service.Handler())
	defer log.Close()
	addresses := freeAddresses(t, 4)
	process := startProcess(t, addresses, log.URL)
	client, err := operator.NewClient("http://"+addresses[3], nil, testTime)
	require.NoError(t, err)
	defer client.Close()
	start := time.Now()
	require.Eventually(t, func() bool { return hasLoadedAll(client) }, testTime, 20*time.Millisecond)
	loadTime := time.Since(start)

	time.Sleep(settleTime)
	before := cpuTime(t, process)
	time.Sleep(cpuInterval)
	share := (cpuTime(t, process) - before).Seconds() / cpuInterval.Seconds()
	memory := memoryOf(t, process)
	t.Logf("%d members, %d services: loaded after %s; %v; %.2f %% of a core", scaleMembers, scaleServices, loadTime, memory, 100*share)
	require.Less(t, memory.anonymous, maxControlBytes)
	require.Less(t, share, maxCPUShare)
}

func hasLoadedAll(client *operator.Client) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := client.Status(ctx)
	return err == nil && status.GetMembers() >= scaleMembers && status.GetServices() >= scaleServices
}

func fillCatalogue(t *testing.T, log *logservice.Service) {
	for n := range scaleServices {
		entryOfService := entry(fmt.Sprintf("service-%d", n), []string{"*"}, &pb.Operation{Name: "run", Idempotent: true})
		change := &pb.Change{
			Id:               []byte(fmt.Sprintf("change-%09d", n)),
			Operator:         entryOfService.GetOwner(),
			Service:          entryOfService.GetService(),
			Entry:            entryOfService,
			CreatedUnixNanos: 1,
		}
		_, err := log.Append(context.Background(), streamlog.CatalogueStream, catalogue.ChangeRecord(change))
		require.NoError(t, err)
	}
}

func fillMembers(t *testing.T, log *logservice.Service) {
	for from := 0; from < scaleMembers; from += scaleBatch {
		batch := &pb.MembersBatch{}
		for n := from; n < min(from+scaleBatch, scaleMembers); n++ {
			batch.Records = append(batch.Records, joinRecord(n))
		}
		data, err := proto.Marshal(batch)
		require.NoError(t, err)
		_, err = log.Append(context.Background(), streamlog.MembersStream, data)
		require.NoError(t, err)
	}
}

func joinRecord(n int) *pb.MembersRecord {
	member := &pb.Member{
		Incarnation:      uint64(n) + 1,
		Vm:               fmt.Sprintf("vm-%d", n),
		Service:          fmt.Sprintf("service-%d", n%scaleServices),
		AvailabilityZone: fmt.Sprintf("zone-%d", n%6),
		Region:           fmt.Sprintf("region-%d", n%3),
		// These are loopback addresses on which nothing listens.
		NodeAddress:     fmt.Sprintf("127.1.%d.%d:9", n/250, n%250+1),
		Slots:           100,
		Connections:     400,
		JoinedUnixNanos: 1,
	}
	return &pb.MembersRecord{Record: &pb.MembersRecord_Join{Join: &pb.Join{Member: member}}}
}

// cpuTime returns the user and system time of a process.
func cpuTime(t *testing.T, process int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
	require.NoError(t, err)
	// The line continues after the command name, which is in parentheses and may
	// contain spaces. User and system time are fields 14 and 15 of the line.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	require.NoError(t, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	require.NoError(t, err)
	return time.Duration(user+system) * time.Second / clockTicks
}
