package cost

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a number of samples that wraps to zero in a long-running process: the
// weight of the next sample was infinite then, and the average stayed invalid.
func TestAverageStaysValidAfterManySamples(t *testing.T) {
	var a Average
	a.Add(0, 10, workWeight)
	a.count.Store(math.MaxUint32)
	a.Add(int64(time.Second), 20, workWeight)
	a.Add(int64(2*time.Second), 20, workWeight)
	require.InDelta(t, 10.3, a.Value(), 0.05)
	require.Equal(t, uint32(math.MaxUint32), a.Samples(), "operations with many samples stay known")
}
