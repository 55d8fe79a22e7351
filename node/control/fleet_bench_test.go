package control

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// changesPerRun is the number of changes in one run, submitted at the rate of a
// typical day.
const changesPerRun = 6

// BenchmarkFleet runs control tasks in real time on a fake log and network. It
// reports the CPU time per node, the time until a change has been applied by 99 %
// and by all of the nodes, and the heap per node. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{75, 300, 1200} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for range b.N {
				benchFleet(b, size)
			}
		})
	}
}

func benchFleet(b *testing.B, size int) {
	before := heap()
	f := newFleet(b, 6)
	f.log.delay = 10 * time.Millisecond
	defer f.stopAll()
	for i := range size {
		f.start(i)
	}
	f.waitForMembers(size)
	time.Sleep(5 * time.Second)
	b.ReportMetric(float64(heap()-before)/float64(size), "heap-bytes/node")
	start, used := time.Now(), processorTime()
	var times []time.Duration
	for i := range changesPerRun {
		times = append(times, f.change(b, i)...)
		time.Sleep(changeInterval - time.Since(start)%changeInterval)
	}
	cpuPerNode := (processorTime() - used).Seconds() / time.Since(start).Seconds() / float64(size)
	slices.Sort(times)
	b.ReportMetric(cpuPerNode*1e6, "cpu-us/node-second")
	b.ReportMetric(float64(times[len(times)*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
}

func (f *fleet) waitForMembers(size int) {
	for _, node := range f.nodes() {
		for node.control.Snapshot().Members.Len() < size {
			time.Sleep(100 * time.Millisecond)
		}
	}
	runtime.GC()
}

// change submits a change and returns the time from then until each node has
// applied it.
func (f *fleet) change(b *testing.B, i int) []time.Duration {
	nodes := f.nodes()
	times := make([]time.Duration, len(nodes))
	start := time.Now()
	var wait sync.WaitGroup
	for n, node := range nodes {
		wait.Go(func() {
			node.control.waitForPosition(uint64(i + 1))
			times[n] = time.Since(start)
		})
	}
	entry := benchEntry(i)
	c := &pb.Change{Id: changeID(uint64(i)), Operator: "ops", Service: entry.GetService(), Entry: entry}
	if _, err := nodes[0].control.Submit(b.Context(), c); err != nil {
		b.Fatal(err)
	}
	wait.Wait()
	return times
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
