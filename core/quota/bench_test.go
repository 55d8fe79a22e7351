package quota

import (
	"math"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/account"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// rootRate is the usual number of root requests per second and node, that of the
	// 65 nodes and 75 accounts of today.
	rootRate = 25
	// benchAccounts is the number of accounts of the planned size.
	benchAccounts = 10_000
)

var fleetSizes = []int{70, 300, 9600}

// plannedAccounts returns accounts that have the given number of root requests per second
// together, by a Zipf law with exponent 1.2.
func plannedAccounts(count int, total float64) []*account.Account {
	sum := 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -1.2)
	}
	accounts := make([]*account.Account, 0, count)
	for i := range count {
		rate := max(1.6*total*math.Pow(float64(i+1), -1.2)/sum, 0.1)
		accounts = append(accounts, &account.Account{Name: "account-" + strconv.Itoa(i), RatePerSecond: rate, Burst: rate})
	}
	return accounts
}

func plannedView(nodes int) (*View, []*account.Account) {
	vms := make([]string, 0, nodes)
	for i := range nodes {
		vms = append(vms, "vm-"+strconv.Itoa(i))
	}
	accounts := plannedAccounts(benchAccounts, rootRate*float64(nodes))
	return NewView(vms[0], vms, accounts, testRules), accounts
}

// BenchmarkTake measures the decision about a request, on all processors, for an account
// with tokens.
func BenchmarkTake(b *testing.B) {
	view, accounts := plannedView(300)
	now := time.Unix(1_700_000_000, 0)
	e := NewEntry(testRules, 1)
	e.SetView(view)
	for _, a := range accounts {
		e.Take(now, a.Name)
		e.accounts[a.Name].lease = lease{tokens: tokens{count: math.MaxUint32, expires: now.Add(time.Hour)}}
	}
	for _, c := range []struct {
		name  string
		count int
	}{{"one", 1}, {"all", len(accounts)}} {
		b.Run(c.name+"-account", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i += 31 {
					e.Take(now, accounts[i%c.count].Name)
				}
			})
		})
	}
}

// BenchmarkServe measures an exchange at the owner with 10 demands.
func BenchmarkServe(b *testing.B) {
	for _, nodes := range fleetSizes {
		b.Run(strconv.Itoa(nodes), func(b *testing.B) {
			view, accounts := plannedView(nodes)
			start := time.Unix(1_700_000_000, 0)
			o := NewOwner(view.candidates[0], uint64(start.UnixNano()), start, true)
			o.SetView(start, view)
			var requests []*pb.QuotaRequest
			request := &pb.QuotaRequest{}
			for _, a := range accounts {
				if !view.Owns(view.candidates[0], a.Name) {
					continue
				}
				request.Demands = append(request.Demands, &pb.QuotaDemand{Account: a.Name, Arrived: 1, UsedOnCredit: 1, Wanted: 2})
				if len(request.Demands) == 10 {
					requests, request = append(requests, request), &pb.QuotaRequest{}
				}
			}
			now := start.Add(time.Minute)
			o.SetContact(Contact{Quorum: now.Add(time.Hour)}, time.Time{})
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(2 * time.Millisecond)
				o.Serve(now, requests[i%len(requests)], &pb.QuotaResponse{})
			}
		})
	}
}

// BenchmarkNewView measures a change of the members or accounts.
func BenchmarkNewView(b *testing.B) {
	for _, nodes := range fleetSizes {
		b.Run(strconv.Itoa(nodes), func(b *testing.B) {
			for range b.N {
				plannedView(nodes)
			}
		})
	}
}

// trafficSample runs a sample of the entries of a fleet at the usual load; owners answer at
// once.
type trafficSample struct {
	*world
	view            *View
	entries         []*Entry
	owners          map[string]*Owner
	received        map[string]int
	messages, bytes int
	asked, refused  int
}

func newTrafficSample(nodes, sample int) *trafficSample {
	view, accounts := plannedView(nodes)
	s := &trafficSample{world: newWorld(1, 0), view: view, owners: map[string]*Owner{}, received: map[string]int{}}
	s.accounts = accounts
	for _, vm := range view.candidates {
		s.owners[vm] = NewOwner(vm, uint64(s.now.UnixNano()), s.now, true)
		s.owners[vm].SetView(s.now, view)
	}
	for i := range sample {
		own := *view
		own.home = s.rng.IntN(nodes)
		e := NewEntry(testRules, uint64(i))
		e.SetView(&own)
		s.entries = append(s.entries, e)
	}
	s.now = s.now.Add(time.Minute)
	return s
}

// step advances the clock by 10 ms.
func (s *trafficSample) step(round bool) {
	const length = 10 * time.Millisecond
	s.now = s.now.Add(length)
	for _, e := range s.entries {
		for _, a := range s.accounts {
			if s.rng.Float64() < usual(a)/float64(s.view.members)*length.Seconds() {
				s.asked++
				if e.Take(s.now, a.Name).Verdict != Admitted {
					s.refused++
				}
			}
		}
		exchanges := e.Urgent(s.now)
		if round {
			exchanges = append(exchanges, e.Round(s.now)...)
		}
		for _, x := range exchanges {
			response := &pb.QuotaResponse{}
			s.owners[x.Owner].SetContact(Contact{Quorum: s.now}, s.now)
			s.owners[x.Owner].Serve(s.now, x.Request, response)
			e.Apply(s.now, x, response)
			s.messages, s.bytes = s.messages+1, s.bytes+proto.Size(x.Request)+proto.Size(response)
			s.received[x.Owner]++
		}
	}
}

// Guards against traffic of an entry beyond the budget of 6 KB/s of payload, and reports what
// owners receive.
func TestTrafficOfAnEntry(t *testing.T) {
	const budget, seconds, sample = 6000, 10, 24
	for _, nodes := range fleetSizes {
		s := newTrafficSample(nodes, sample)
		for step := range 100 * seconds {
			s.step(step%20 == 0)
		}
		busiest := 0
		for _, count := range s.received {
			busiest = max(busiest, count)
		}
		rate := float64(s.bytes) / sample / seconds
		t.Logf("%d nodes, %d accounts, %d candidates: entry %.1f messages/s, %.0f B/s, refused %d of %d; worked out from the sample: owners receive %.0f messages/s on average and %.0f at most",
			nodes, benchAccounts, len(s.view.candidates), float64(s.messages)/sample/seconds, rate, s.refused, s.asked,
			float64(s.messages)/sample/seconds*float64(nodes)/float64(len(s.view.candidates)), float64(busiest)/sample/seconds*float64(nodes))
		require.Less(t, rate, float64(budget))
	}
}

// Guards against state beyond the budget of 32 MB: the view, the parts of one owner with all
// its accounts in use, and an entry with all accounts in use.
func TestMemoryOfQuotas(t *testing.T) {
	const budget = 32
	for _, nodes := range fleetSizes {
		var view *View
		var accounts []*account.Account
		viewSize := heapGrowth(func() any { view, accounts = plannedView(nodes); return view })
		now := time.Unix(1_700_000_000, 0)
		ownerSize := heapGrowth(func() any {
			o := NewOwner(view.candidates[0], 1, now, true)
			o.SetView(now, view)
			o.SetContact(Contact{Quorum: now}, now)
			for _, a := range accounts {
				o.Serve(now, &pb.QuotaRequest{Demands: []*pb.QuotaDemand{{Account: a.Name}}}, &pb.QuotaResponse{})
			}
			return o
		})
		entrySize := heapGrowth(func() any {
			e := NewEntry(testRules, 1)
			e.SetView(view)
			for _, a := range accounts {
				e.Take(now, a.Name)
			}
			return e
		})
		t.Logf("%d nodes, %d accounts: view %.2f MB, owner %.2f MB, entry %.2f MB", nodes, benchAccounts, viewSize, ownerSize, entrySize)
		require.Less(t, viewSize+ownerSize+entrySize, float64(budget))
	}
}

// heapGrowth returns by how many MB the heap grows by what a function returns.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / 1e6
}
