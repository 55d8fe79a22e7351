package node_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/internal/press"
)

// leastOfAll is the least share of an operation relative to that of all calls. Callers
// that are refused send again at once, so hardly a tenth of all calls is served here.
const leastOfAll = 0.25

// calls returns a function that calls an operation of orders once.
func calls(t *testing.T, address, operation string) func(id string) bool {
	return func(id string) bool {
		request := newRequest(context.Background(), t, address, "/v1/services/orders/"+operation, operation+id, nil)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
}

// Plays important calls that ask for more than two targets take, for 5 s. Guards
// against an operation of a low class of which nothing is served meanwhile, and
// against a least share of zero in the catalogue that is not followed.
func TestOperationGetsItsLeastShareWhileImportantOnesDoNotFit(t *testing.T) {
	for name, test := range map[string]struct {
		least *float64
		// above and most bound the share relative to that of all calls.
		above, most float64
	}{
		"default":      {nil, leastOfAll, 1},
		"strict order": {proto.Float64(0), -1, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			services := twoTiers(100 * time.Millisecond)
			services[0].Entry.LeastShare = test.least
			running := startFleet(t, services)
			address := running.InstancesOf("orders")[0].Node.CallersAddress()
			counts := press.Run(5*time.Second,
				press.Load{Callers: 60, Pause: 20 * time.Millisecond, Send: calls(t, address, "note")},
				press.Load{Callers: 20, Pause: 100 * time.Millisecond, Send: calls(t, address, "list")})
			important, low := counts[0], counts[1]
			all := press.ServedShare(important, low)
			require.Greater(t, press.ServedShare(low)/all, test.above, "%v of all calls are served", all)
			require.Less(t, press.ServedShare(low)/all, test.most, "%v of all calls are served", all)
			require.Greater(t, important.Served(), 3*low.Served())
		})
	}
}
