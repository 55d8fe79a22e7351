package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/callgraph"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/leastshare"
	"github.com/primrosemount/primrosemount/core/memory"
)

// BenchmarkAccept measures the entry's own time for a request without a body, in a
// deployment without client accounts: from the parsed head to the request to send.
func BenchmarkAccept(b *testing.B) {
	config := newConfiguration(nil, time.Now(), zap.NewNop())
	config.table.Store(ingress.NewTable(1, []ingress.Route{
		{Name: "r", Host: "h", PathPrefix: "/r/", Destinations: []ingress.Destination{{Service: "s"}}},
	}, nil, ingress.Limits{}))
	budget := memory.NewBudget(1 << 20)
	e := &entry{
		wire: testCodec{}, config: config, graph: callgraph.New(), shares: leastshare.New(),
		originService: func() string { return "s" }, budget: budget, maxBodyBytes: 1 << 10,
	}
	r, err := http.NewRequest(http.MethodGet, "http://h/r/1", http.NoBody)
	require.NoError(b, err)
	r.Header.Set("Id", "0123456789abcdef")
	r.Header.Set("Accept", "application/json")
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
