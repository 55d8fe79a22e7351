package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// pressed counts the calls of one operation and those that were served.
type pressed struct {
	sent   atomic.Int64
	served atomic.Int64
}

func (p *pressed) share() float64 { return float64(p.served.Load()) / float64(p.sent.Load()) }

// leastOfAll is the least share of an operation relative to that of all calls. Callers
// that are refused send again at once, so hardly a tenth of all calls is served here.
const leastOfAll = 0.25

// press lets callers call an operation one after the other until the end. After a
// refusal they wait.
func press(t *testing.T, wait *sync.WaitGroup, address, operation string, callers int, until time.Time, pause time.Duration) *pressed {
	p := &pressed{}
	for caller := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := 0; time.Now().Before(until); i++ {
				p.sent.Add(1)
				id := fmt.Sprintf("%s-%d-%d", operation, caller, i)
				request := newRequest(context.Background(), t, address, "/v1/services/orders/"+operation, id, nil)
				response, err := http.DefaultClient.Do(request)
				if err == nil {
					_ = response.Body.Close()
				}
				if err == nil && response.StatusCode == http.StatusOK {
					p.served.Add(1)
					continue
				}
				time.Sleep(pause)
			}
		}()
	}
	return p
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
			address := running.Of("orders")[0].Node.CallersAddress()
			var wait sync.WaitGroup
			until := time.Now().Add(5 * time.Second)
			important := press(t, &wait, address, "note", 60, until, 20*time.Millisecond)
			low := press(t, &wait, address, "list", 20, until, 100*time.Millisecond)
			wait.Wait()
			all := float64(important.served.Load()+low.served.Load()) / float64(important.sent.Load()+low.sent.Load())
			require.Greater(t, low.share()/all, test.above, "%v of all calls are served", all)
			require.Less(t, low.share()/all, test.most, "%v of all calls are served", all)
			require.Greater(t, important.served.Load(), 3*low.served.Load())
		})
	}
}
