package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A keyedRequest is a request with all properties that could tell its cost.
type keyedRequest struct {
	operation, account, path int
	bytes                    float64
}

// drawRequest draws one of 40 operations and of 75 accounts by a Zipf law with exponent 1.2,
// one of 50 paths, and a body of 60 KB in the mean for a tenth of the operations.
func drawRequest(random *rand.Rand, operations, accounts *rand.Zipf) keyedRequest {
	r := keyedRequest{operation: int(operations.Uint64()), account: int(accounts.Uint64()), path: random.IntN(50), bytes: 1000}
	if r.operation%10 == 0 {
		r.bytes = math.Min(random.ExpFloat64()*60_000, 360_000)
	}
	return r
}

// costLaw returns the expected cost of a request in milliseconds.
type costLaw func(r keyedRequest) float64

func byOperation(r keyedRequest) float64 { return 4 * math.Pow(1.1, float64(r.operation)) }

// keyings are the properties by which costs could be learned.
var keyings = []struct {
	name string
	key  func(r keyedRequest) string
}{
	{"operation", func(r keyedRequest) string { return fmt.Sprint(r.operation) }},
	{"operation and body size", func(r keyedRequest) string { return fmt.Sprint(r.operation, "/", int(math.Log2(r.bytes+1))) }},
	{"operation and account", func(r keyedRequest) string { return fmt.Sprint(r.operation, "/", r.account) }},
	{"operation and path", func(r keyedRequest) string { return fmt.Sprint(r.operation, "/", r.path) }},
}

// errorOf returns the mean absolute error of the costs learned by a key relative to the mean
// cost, over a minute in which a node sends 200 requests per second to a service. A request
// whose key has no samples has the mean cost of its operation. Costs vary as those of the
// platform: half fixed, half exponential, and 3 % take seven times as long.
func errorOf(law costLaw, key func(keyedRequest) string) float64 {
	const requests, warmUp = 12_000, 2_000
	random := rand.New(rand.NewPCG(1, 1))
	operations, accounts := rand.NewZipf(random, 1.2, 1, 39), rand.NewZipf(random, 1.2, 1, 74)
	learned := map[string]*Average{}
	average := func(key string) *Average {
		if learned[key] == nil {
			learned[key] = &Average{}
		}
		return learned[key]
	}
	deviation, sum := 0.0, 0.0
	for n := range requests {
		r := drawRequest(random, operations, accounts)
		fine, coarse := average(key(r)), average("all/"+fmt.Sprint(r.operation))
		expected, mean := fine.Value(), 1.18*law(r)
		if fine.Samples() < minKeySamples {
			expected = coarse.Value()
		}
		if n >= warmUp {
			deviation += math.Abs(expected - mean)
			sum += mean
		}
		took := law(r) * (0.5 + 0.5*random.ExpFloat64())
		if random.Float64() < 0.03 {
			took *= 7
		}
		at := int64(n) * int64(5*time.Millisecond)
		fine.AddClipped(at, took, workWeight, maxSampleMultiple)
		coarse.AddClipped(at, took, workWeight, maxSampleMultiple)
	}
	return deviation / sum
}

// minKeySamples is the number of samples from which a key counts.
const minKeySamples = 4

// Shows what body size, account and path add to the operation as a key of costs. With the
// law of the loads of the requirements, where the operation decides, each of them only
// thins out the samples. Body size would pay off if the cost grew with it, account if one
// account's requests were dearer. No data of the platform shows either, so that only the
// operation is a key. Guards against a finer key that is added without such data.
func TestOnlyOperationIsWorthAKey(t *testing.T) {
	laws := []struct {
		name string
		law  costLaw
		best string
	}{
		{"operation decides", byOperation, "operation"},
		{"half of the cost grows with the body", func(r keyedRequest) float64 { return byOperation(r) * (0.5 + 0.5*r.bytes/60_000) }, "operation and body size"},
		{"requests of the largest account cost three times as much", func(r keyedRequest) float64 {
			if r.account == 0 {
				return 3 * byOperation(r)
			}
			return byOperation(r)
		}, "operation and account"},
	}
	for _, law := range laws {
		best, lowest := "", math.Inf(1)
		for _, keying := range keyings {
			e := errorOf(law.law, keying.key)
			t.Logf("%-58s %-24s error %4.1f %%", law.name, keying.name, 100*e)
			if e < lowest {
				best, lowest = keying.name, e
			}
		}
		require.Equal(t, law.best, best, law.name)
	}
}
