package node_test

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/operator"
)

// Guards against a burn page that omits services or classes of a fleet under
// load, or that shows values which are not numbers.
func TestBurnPageCoversFleet(t *testing.T) {
	services := twoTiers(5 * time.Millisecond)
	services[0].Slots = 2
	services[0].Entry.Objective = &pb.Objective{Goodput: 0.99, Latency: durationpb.New(200 * time.Millisecond)}
	running := startFleet(t, services)
	address := running.InstancesOf("orders")[0].Node.CallersAddress()
	const callers, calls = 16, 20
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			operation := []string{"list", "book"}[caller%2]
			for n := range calls {
				request := newRequest(t.Context(), t, address, "/v1/services/orders/"+operation, fmt.Sprintf("c%d-%d", caller, n), nil)
				if response, err := http.DefaultClient.Do(request); err == nil {
					response.Body.Close()
				}
			}
		}()
	}
	wait.Wait()
	report, err := operatorClient(t, running.InstancesOf("ledger")[0].Node).Burn(testContext(t))
	require.NoError(t, err)
	page, err := operator.BurnPage(report)
	require.NoError(t, err)
	text := string(page)
	for _, want := range []string{"orders, critical", "orders, sheddable", "99 %", "4 of 4 nodes answered"} {
		require.Contains(t, text, want)
	}
	require.NotContains(t, text, "NaN")
	counted := uint64(0)
	for _, counts := range burnOf(t, running.InstancesOf("ledger")[0].Node) {
		counted += counts[0] + counts[1]
	}
	require.EqualValues(t, callers*calls, counted)
	if file := os.Getenv("BURN_PAGE"); file != "" {
		require.NoError(t, os.WriteFile(file, page, 0o644))
	}
}
