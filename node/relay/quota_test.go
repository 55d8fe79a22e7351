package relay

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// quotaFleet is a fleet of quota tasks that exchange messages in memory.
type quotaFleet struct {
	tasks []*quotaTask
	table *ingress.Table
	sent  atomic.Int64
	// unreachable makes all exchanges fail, and silent makes them last until their
	// time-out.
	unreachable, silent atomic.Bool
	lines               *observer.ObservedLogs
}

var errQuotaUnreachable = errors.New("unreachable")

func newQuotaFleet(t *testing.T, count int, rejoining bool, accounts ...account.Account) *quotaFleet {
	t.Helper()
	directory, err := account.NewDirectory(accounts)
	require.NoError(t, err)
	core, lines := observer.New(zap.InfoLevel)
	f := &quotaFleet{table: &ingress.Table{Version: 1, Accounts: directory}, lines: lines}
	members := &quotaMembers{addresses: map[string]string{}, rejoining: rejoining}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for i := range count {
		vm := "vm-" + strconv.Itoa(i)
		members.vms = append(members.vms, vm)
		members.addresses[vm] = strconv.Itoa(i)
		task := newQuotaTask(Options{VM: vm, Logger: zap.New(core)}, uint64(time.Now().UnixNano()), time.Now(), f.exchange, func() *ingress.Table { return f.table })
		f.tasks = append(f.tasks, task)
	}
	for _, task := range f.tasks {
		task.setMembers(members)
		group.Go(func() { task.run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return f
}

func (f *quotaFleet) exchange(ctx context.Context, address string, request *pb.QuotaRequest) (*pb.QuotaResponse, error) {
	f.sent.Add(1)
	if f.unreachable.Load() {
		return nil, errQuotaUnreachable
	}
	if f.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(peerLatency)
	index, err := strconv.Atoi(address)
	if err != nil {
		return nil, err
	}
	response := &pb.QuotaResponse{}
	f.tasks[index].serve(request, response)
	return response, nil
}

func limitedAccount(rate float64) account.Account {
	return account.Account{Name: "a", Keys: []account.Digest{account.DigestOf("k")}, RatePerSecond: rate, Burst: rate}
}

// account returns the only account.
func (f *quotaFleet) account() *account.Account { return f.table.Accounts.All()[0] }

// Guards against a node that sends messages about quotas although no account has one, and
// against a quota on an account without one.
func TestQuotasCostNothingWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 5, true, limitedAccount(0))
		time.Sleep(5 * time.Second)
		require.Nil(t, f.tasks[0].take(time.Now(), f.account()))
		require.Nil(t, f.tasks[0].take(time.Now(), nil))
		_, known := f.tasks[0].load(time.Now(), f.account())
		require.False(t, known)
		time.Sleep(time.Second)
		require.Zero(t, f.sent.Load())
	})
}

// Guards against requests that are refused for long after a restart of all nodes, or that
// wait for an exchange: the load is the usual one of an account of 100/s at 12 nodes.
func TestQuotaIsAvailableSoonAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 12, true, limitedAccount(100))
		start, first := time.Now(), time.Duration(0)
		refused := 0
		for i := range 300 {
			before := time.Now()
			err := f.tasks[i%len(f.tasks)].take(time.Now(), f.account())
			require.Equal(t, before, time.Now(), "a request has waited")
			switch {
			case err == nil && first == 0:
				first = time.Since(start)
			case err != nil && first > 0 && time.Since(start) > 2*time.Second:
				refused++
			}
			time.Sleep(16 * time.Millisecond)
		}
		require.Less(t, first, time.Second)
		require.LessOrEqual(t, refused, 3)
		load, known := f.tasks[0].load(time.Now(), f.account())
		require.True(t, known)
		require.InDelta(t, 0.625, load, 0.25)
		require.Equal(t, "a", f.tasks[0].snapshot(time.Now())[0].Account)
	})
}

// Guards against a refusal over the quota that is not a 429 with a wait, that is not logged,
// or that is logged for each request.
func TestExhaustedQuotaIsRefusedAndLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 5, true, limitedAccount(4))
		time.Sleep(5 * time.Second)
		admitted := 0
		var last *outcome.Error
		for i := range 2000 {
			if err := f.tasks[i%len(f.tasks)].take(time.Now(), f.account()); err == nil {
				admitted++
			} else {
				last = err
			}
			time.Sleep(2 * time.Millisecond)
		}
		require.Equal(t, outcome.QuotaExceeded, last.Reason)
		require.Equal(t, outcome.NotRun, last.Outcome)
		require.Positive(t, last.RetryAfter)
		require.LessOrEqual(t, admitted, 46)
		lines := f.lines.FilterMessage("The quota of a client account is used up.")
		require.Positive(t, lines.Len())
		require.LessOrEqual(t, lines.Len(), 5*len(f.tasks), "4 s of refusals at each node")
		for _, field := range []string{"account", "rate", "load", "retry_after", "age"} {
			require.Contains(t, lines.All()[0].ContextMap(), field)
		}
	})
}

// Guards against a node that is cut off and runs more than the tokens that it holds, or that
// refuses as if the quota were exceeded.
func TestNodeWithoutOwnersRefusesWithUnknownQuota(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newQuotaFleet(t, 12, true, limitedAccount(100))
			time.Sleep(2 * time.Second)
			f.unreachable.Store(!silent)
			f.silent.Store(silent)
			time.Sleep(2 * time.Second)
			var task *quotaTask
			for _, candidate := range f.tasks {
				if candidate.vm != "" && candidate.entry.Take(time.Now(), "a").Verdict != 0 {
					task = candidate
				}
			}
			require.NotNil(t, task)
			err := task.take(time.Now(), f.account())
			require.Equal(t, outcome.QuotaUnknown, err.Reason)
			require.Positive(t, err.RetryAfter)
			require.Positive(t, f.lines.FilterMessage("An owner of quotas is out of reach.").Len())
			f.unreachable.Store(false)
			f.silent.Store(false)
			time.Sleep(time.Second)
			require.Nil(t, task.take(time.Now(), f.account()))
			require.Positive(t, f.lines.FilterMessage("An owner of quotas is in reach again.").Len())
		})
	}
}

// Guards against requests that were admitted but did not run and use up the quota.
func TestRefundedRequestsDoNotUseQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 1, true, limitedAccount(4))
		time.Sleep(5 * time.Second)
		refused := 0
		for range 200 {
			if err := f.tasks[0].take(time.Now(), f.account()); err != nil {
				refused++
			} else {
				f.tasks[0].refund(time.Now(), f.account())
			}
			time.Sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, refused, 4)
	})
}
