package faults

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/fleet"
	"github.com/primrosemount/primrosemount/internal/standin/logservice"
	"github.com/primrosemount/primrosemount/internal/standin/target"
	"github.com/primrosemount/primrosemount/wire"
)

const (
	// drainBound is the time from the start of a drain after which the target must
	// receive no new work.
	drainBound = 2 * time.Second
	slowName   = "slow"
	slowPath   = wire.ServicesPath + serviceName + "/" + slowName
	// slowWork is the mean duration of the slow operation. The stand-in takes at
	// least half of it, so that the target is still busy after drainBound.
	slowWork     = 5 * time.Second
	slowDeadline = time.Minute
	// slowLeadTime is how long before the drain the slow operations start.
	slowLeadTime = 200 * time.Millisecond
	loadCallers  = 8
)

// ordersWithSlow returns the service orders with an additional operation that remains
// in progress for longer than drainBound.
func ordersWithSlow() fleet.Service {
	service := orders(workTime, fillerBytes, "a", "b", "c")
	service.Entry.Deadline = durationpb.New(slowDeadline)
	service.Entry.Limits.Drain = durationpb.New(slowDeadline)
	service.Entry.Operations = append(service.Entry.Operations, &pb.Operation{Name: slowName, Class: pb.Class_CLASS_CRITICAL})
	service.Operations = append(service.Operations, target.Operation{Name: slowName, Work: slowWork})
	return service
}

// load counts the requests of one operation and collects failures.
type load struct {
	mutex  sync.Mutex
	count  int
	failed []string
}

func (l *load) record(got completeResponse, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.count++
	if err != nil {
		l.failed = append(l.failed, err.Error())
	} else if got.status != http.StatusOK {
		l.failed = append(l.failed, string(got.body))
	}
}

// run sends one booking after the other to the address until stop is closed.
func (l *load) run(client *http.Client, address string, caller int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
			l.record(post(context.Background(), client, address, bookPath, fmt.Sprintf("load%d-%d", caller, n), ""))
		}
	}
}

// Guards against new work at a target more than 2 s after it announced its drain,
// under steady load and while the log service is down, and against requests that are
// aborted or refused during the drain.
func TestDrainUnderLoadWithLogDown(t *testing.T) {
	running := startFleet(t, ordersWithSlow(), entries("a", "b"))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadCallers}}
	defer client.CloseIdleConnections()
	fronts := running.InstancesOf("front")
	draining := running.InstancesOf(serviceName)[0]
	running.Log.SetFaults(logservice.Faults{Down: true})

	stop := make(chan struct{})
	work := &load{}
	var wait sync.WaitGroup
	for n := range loadCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			work.run(client, fronts[n%len(fronts)].Node.CallersAddress(), n, stop)
		}()
	}
	time.Sleep(time.Second)
	slow := &load{}
	for n := range 3 * len(running.InstancesOf(serviceName)) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			slow.record(post(context.Background(), client, fronts[0].Node.CallersAddress(), slowPath, fmt.Sprintf("slow%d", n), ""))
		}()
	}
	time.Sleep(slowLeadTime)
	before := draining.Target.Received()
	require.NotZero(t, before)

	startTime := time.Now()
	drained := make(chan error, 1)
	go func() { drained <- draining.Target.Drain(context.Background()) }()
	time.Sleep(drainBound - time.Since(startTime))
	received := draining.Target.Received()
	require.NotZero(t, draining.Target.Running(), "the target must still be busy, otherwise the check proves nothing")
	require.NoError(t, <-drained)
	taken := time.Since(startTime)
	close(stop)
	wait.Wait()

	t.Logf("drain took %s; received %d before, %d in the first %s, %d after; %d other requests, %d slow ones",
		taken.Round(time.Millisecond), before, received-before, drainBound, draining.Target.Received()-received, work.count, slow.count)
	require.Greater(t, taken, drainBound)
	require.Equal(t, received, draining.Target.Received())
	require.Empty(t, running.Ledger.Aborted())
	require.Empty(t, work.failed)
	require.Empty(t, slow.failed)
}
