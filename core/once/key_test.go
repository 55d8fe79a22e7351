package once

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Guards against a key that changes when it is printed and parsed.
func TestKeyRoundTrip(t *testing.T) {
	k, err := NewKey("stock.v2", 1<<63, time.Unix(1790000000, 17), [RandomBytes]byte{0: 1, 15: 255})
	require.Nil(t, err)
	parsed, err := ParseKey(k.String())
	require.Nil(t, err)
	require.Equal(t, k, parsed)
}

// Guards against keys that cannot be sent in a URL or a header.
func TestNewKeyRefusesInvalidServiceNames(t *testing.T) {
	for _, service := range []string{"", "a b", "a/b", "ä", strings.Repeat("a", MaxServiceBytes+1)} {
		_, err := NewKey(service, 1, time.Unix(1, 0), [RandomBytes]byte{})
		require.NotNil(t, err, service)
		require.Equal(t, outcome.BadRequest, err.Reason)
	}
}

// Guards against equal fingerprints of requests with different parts whose
// concatenation is the same.
func TestFingerprintSeparatesParts(t *testing.T) {
	require.NotEqual(t, FingerprintOf("a", "bc", "", nil), FingerprintOf("ab", "c", "", nil))
	require.NotEqual(t, FingerprintOf("a", "b", "c", nil), FingerprintOf("a", "b", "", []byte("c")))
}
