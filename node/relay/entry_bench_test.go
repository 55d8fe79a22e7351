package relay

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/callgraph"
	"github.com/primrosemount/primrosemount/core/fairshare"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/memory"
)

// BenchmarkAccept measures the entry's own time for a request without a body, in a
// deployment without client accounts: from the parsed head to the request to send.
func BenchmarkAccept(b *testing.B) { benchmarkAccept(b, testCodec{}, nil) }

// BenchmarkAcceptOfAccount is BenchmarkAccept with 10,000 client accounts. The time of the
// quota is not part of it.
func BenchmarkAcceptOfAccount(b *testing.B) {
	accounts := make([]account.Account, 10_000)
	for i := range accounts {
		name := strconv.Itoa(i)
		accounts[i] = account.Account{Name: name, Keys: []account.Digest{account.DigestOf("key-" + name)}, RatePerSecond: 10, Burst: 10}
	}
	directory, err := account.NewDirectory(accounts)
	require.NoError(b, err)
	benchmarkAccept(b, keyCodec{}, directory)
}

func benchmarkAccept(b *testing.B, codec HeaderCodec, accounts *account.Directory) {
	config := newConfiguration(nil, time.Now(), zap.NewNop())
	table := ingress.NewTable(1, []ingress.Route{
		{Name: "r", Host: "h", PathPrefix: "/r/", Destinations: []ingress.Destination{{Service: "s"}}},
	}, nil, ingress.Limits{})
	table.Accounts = accounts
	config.table.Store(table)
	budget := memory.NewBudget(1 << 20)
	e := &entry{
		wire: codec, config: config, graph: callgraph.New(), shares: leastshare.New(),
		quotas: &countedQuotas{relative: 1}, fair: fairshare.New(),
		originService: func() string { return "s" }, budget: budget, maxBodyBytes: 1 << 10,
	}
	r, err := http.NewRequest(http.MethodGet, "http://h/r/1", http.NoBody)
	require.NoError(b, err)
	r.Header.Set("Id", "0123456789abcdef")
	r.Header.Set("Key", "key-7")
	b.ReportAllocs()
	for b.Loop() {
		o, refused := e.accept(r, time.Now())
		if refused != nil {
			b.Fatal(refused)
		}
		o.requestMemory.Release()
		o.responseMemory.Release()
	}
}
