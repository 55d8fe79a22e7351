package plaintarget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a target that still listens after it was stopped right after its start, so
// that its successor cannot use the address.
func TestStoppedTargetListensNoLonger(t *testing.T) {
	const rounds = 500
	target, err := Start("127.0.0.1:0", Config{})
	require.NoError(t, err)
	address := target.Address()
	for range rounds {
		target.Stop()
		target, err = Start(address, Config{})
		require.NoError(t, err)
	}
	target.Stop()
}
