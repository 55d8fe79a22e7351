package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a returned allowance that is credited twice, or beyond the
// grant, or after the answer was given.
func TestGrantIsSettledOnce(t *testing.T) {
	a := NewAllowance(5)
	g := a.Grant(1)
	require.EqualValues(t, 3, g.Count())
	require.True(t, g.Return(99))
	require.False(t, g.Return(3))
	require.EqualValues(t, 5, a.Left())
	late := a.Grant(1)
	require.EqualValues(t, 2, a.Close())
	require.False(t, late.Return(3))
	require.EqualValues(t, 2, a.Close())
	require.False(t, a.Spend())
}
