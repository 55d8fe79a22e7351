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

// minRelativeShare is the minimum served share of the sheddable operation's
// calls, relative to the served share of all calls. Rejected callers send again
// immediately, so hardly a tenth of all calls is served in this test.
const minRelativeShare = 0.25

// callFunc returns a function that makes one call to an operation of orders and
// reports whether it succeeded.
func callFunc(t *testing.T, address, operation string) func(id string) bool {
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

// Sends more critical calls than two targets can process, for 5 s. Guards
// against an operation of a lower class of which nothing is served meanwhile,
// although its least share (the minimum share of its requests that is admitted
// before the order of classes counts) is above zero, and against a least share
// of zero in the catalogue that is ignored.
func TestLeastShareUnderCriticalOverload(t *testing.T) {
	for name, test := range map[string]struct {
		leastShare *float64
		// minShare and maxShare bound the served share of list relative to that
		// of all calls.
		minShare, maxShare float64
	}{
		"default":      {nil, minRelativeShare, 1},
		"strict order": {proto.Float64(0), -1, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			services := twoTiers(100 * time.Millisecond)
			services[0].Entry.LeastShare = test.leastShare
			running := startFleet(t, services)
			address := running.InstancesOf("orders")[0].Node.CallersAddress()
			counts := press.Run(5*time.Second,
				press.Load{Callers: 60, Pause: 20 * time.Millisecond, Send: callFunc(t, address, "note")},
				press.Load{Callers: 20, Pause: 100 * time.Millisecond, Send: callFunc(t, address, "list")})
			critical, sheddable := counts[0], counts[1]
			overall := press.ServedShare(critical, sheddable)
			require.Greater(t, press.ServedShare(sheddable)/overall, test.minShare, "%v of all calls are served", overall)
			require.Less(t, press.ServedShare(sheddable)/overall, test.maxShare, "%v of all calls are served", overall)
			require.Greater(t, critical.Served(), 3*sheddable.Served())
		})
	}
}
