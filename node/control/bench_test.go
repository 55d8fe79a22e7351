package control

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/catalogue"
	"github.com/primrosemount/primrosemount/core/membership"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/streamlog"
)

// benchSizes are the numbers of members and services, from the current size of the
// fleet to the size expected in two years.
var benchSizes = []struct{ members, services int }{{300, 24}, {1200, 96}, {4800, 385}, {9600, 770}}

const benchOperations = 8

func benchEntry(i int) *pb.Entry {
	service := fmt.Sprintf("service-%03d", i)
	e := &pb.Entry{Service: service, Owner: "ops", AllowedCallers: []string{"service-001", "service-002", "service-003", "service-004"}}
	for j := range benchOperations {
		e.Operations = append(e.Operations, &pb.Operation{Name: fmt.Sprintf("operation-%d", j), Idempotent: j%2 == 0})
	}
	return e
}

// benchTask returns a task that is not running and has the states of both streams.
func benchTask(b *testing.B, members, services int) *task {
	self := fakeMember(1, 6, 2)
	c, err := New(Config{Self: self, Log: newFakeLog(1), Peers: fakePeers{newFakeNet(), self.GetNodeAddress()}, Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	t := c.task
	ctx, cancel := context.WithCancel(context.Background())
	t.ctx = ctx
	b.Cleanup(cancel)
	t.installState(&pb.StreamState{Stream: streamlog.MembersStream, NextOffset: uint64(members), State: benchMembers(members)})
	t.installState(benchCatalogue(b, services))
	t.handleStateChange()
	t.publish()
	t.refresh(time.Now())
	return t
}

// benchMembers returns an encoded state with n members and the maximum number of
// retired incarnations.
func benchMembers(n int) []byte {
	state := &pb.MembersState{NextOffset: uint64(n)}
	for i := range n {
		m := fakeMember(i, 6, uint64(i+1)*0x9e3779b97f4a7c15)
		m.Service = fmt.Sprintf("service-%03d", i%770)
		state.Members = append(state.Members, m)
	}
	for i := range membership.MaxRetired {
		state.Successors = append(state.Successors, &pb.Leave{Incarnation: uint64(i+1) * 0xbf58476d1ce4e5b9})
	}
	data, _ := proto.Marshal(state)
	return data
}

// benchCatalogue returns a state with n services and the maximum number of results
// of changes.
func benchCatalogue(b *testing.B, n int) *pb.StreamState {
	s := catalogue.NewState()
	for i := range catalogue.MaxRecentResults + n {
		entry := benchEntry(i % n)
		c := &pb.Change{Id: changeID(uint64(i)), Operator: "ops", Service: entry.GetService(), Entry: entry}
		if i >= n {
			c.BaseRevision = uint64(i - n + 1)
		}
		effect, err := s.Apply(uint64(i), catalogue.ChangeRecord(c))
		if err != nil || !effect.Result.GetAccepted() {
			b.Fatal(effect, err)
		}
	}
	return &pb.StreamState{Stream: streamlog.CatalogueStream, NextOffset: s.Next(), State: s.Encode()}
}

// forTasks runs a benchmark at each size. The task is not running, so the results
// of requests that it starts stay in its inbox.
func forTasks(b *testing.B, run func(b *testing.B, t *task, members, services int)) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d/services=%d", size.members, size.services), func(b *testing.B) {
			t := benchTask(b, size.members, size.services)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, t, size.members, size.services)
		})
	}
}

// BenchmarkIdleTick measures a tick with nothing due. A node handles ten ticks per
// second.
func BenchmarkIdleTick(b *testing.B) {
	forTasks(b, func(b *testing.B, t *task, _, _ int) {
		notDue := time.Now().Add(time.Hour)
		t.links.nextDue = notDue
		for _, s := range t.streams {
			s.nextReadAt = notDue
		}
		b.ResetTimer()
		for range b.N {
			t.handle(tick{})
		}
	})
}

// BenchmarkCompare measures both sides of an exchange that compares positions.
func BenchmarkCompare(b *testing.B) {
	forTasks(b, func(b *testing.B, t *task, _, _ int) {
		reply := make(chan *pb.ExchangeResponse, 1)
		for range b.N {
			request := t.request()
			t.handle(incomingExchange{request, reply})
			t.handle(exchangeDone{address: "10.0.0.9:7000", request: request, response: <-reply})
		}
	})
}

// BenchmarkCatalogueRecord measures the processing of a change pushed by a peer,
// including the new snapshot.
func BenchmarkCatalogueRecord(b *testing.B) {
	forTasks(b, func(b *testing.B, t *task, _, services int) {
		reply := make(chan *pb.ExchangeResponse, 1)
		revision := t.cat.State.Snapshot().Revision("service-000")
		for i := range b.N {
			offset := t.cat.State.Next()
			c := &pb.Change{Id: changeID(uint64(1e9 + i)), Operator: "ops", Service: "service-000", BaseRevision: revision, Entry: benchEntry(0)}
			record := &pb.StreamRecord{Stream: streamlog.CatalogueStream, Offset: offset, Data: catalogue.ChangeRecord(c)}
			t.handle(incomingExchange{&pb.ExchangeRequest{Records: []*pb.StreamRecord{record}}, reply})
			<-reply
			revision = offset + 1
		}
		if t.cat.State.Snapshot().Revision("service-000") != revision {
			b.Fatal("the changes were not accepted")
		}
	})
}

// BenchmarkMembersRecord measures the processing of a join pushed by a peer,
// including the new snapshot and the selection of readers and partners.
func BenchmarkMembersRecord(b *testing.B) {
	forTasks(b, func(b *testing.B, t *task, members, _ int) {
		reply := make(chan *pb.ExchangeResponse, 1)
		for i := range b.N {
			m := fakeMember(i%members, 6, uint64(members+i+1)*0x9e3779b97f4a7c15)
			join := &pb.MembersRecord{Record: &pb.MembersRecord_Join{Join: &pb.Join{Member: m}}}
			record := &pb.StreamRecord{Stream: streamlog.MembersStream, Offset: t.mem.State.Next(), Data: membership.BatchRecord([]*pb.MembersRecord{join})}
			t.handle(incomingExchange{&pb.ExchangeRequest{Records: []*pb.StreamRecord{record}}, reply})
			<-reply
			t.refreshedAt = time.Time{}
			t.refresh(time.Now())
		}
	})
}

// BenchmarkStart measures the heap used by a task with the states of both streams,
// the maximum numbers of results and retired incarnations, and the encoded states
// cached for peers, but without buffered records. It reports heap-bytes; the time
// includes building the states.
func BenchmarkStart(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d/services=%d", size.members, size.services), func(b *testing.B) {
			for range b.N {
				before := heap()
				t := benchTask(b, size.members, size.services)
				for _, s := range t.streams {
					s.replica.State()
				}
				b.ReportMetric(float64(heap()-before), "heap-bytes")
				runtime.KeepAlive(t)
			}
		})
	}
}

// heap returns the size of the live heap.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
