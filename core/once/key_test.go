package once

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

var keySamples = []string{
	"",
	"pm1-",
	"pm1-00000000000000ff-17f0000000000000-000102030405060708090a0b0c0d0e0f-orders",
	"pm1-00000000000000FF-17f0000000000000-000102030405060708090a0b0c0d0e0f-orders",
	"pm1-00000000000000ff-ffffffffffffffff-000102030405060708090a0b0c0d0e0f-orders",
	"pm1-00000000000000ff-17f0000000000000-000102030405060708090a0b0c0d0e0f-a/b",
	"pm1-00000000000000ff-17f0000000000000-000102030405060708090a0b0c0d0e0f-",
	"pm2-00000000000000ff-17f0000000000000-000102030405060708090a0b0c0d0e0f-orders",
	"8e03978e-40d5-43e8-bc93-6894a57f9324",
	"pm1-" + strings.Repeat("0", 200),
}

// Guards against a second spelling of the same key, which would get a second
// record and a second execution.
func FuzzParseKey(f *testing.F) {
	for _, s := range keySamples {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		k, err := ParseKey(s)
		if err != nil {
			require.Equal(t, outcome.NotRun, err.Outcome)
			require.Equal(t, outcome.KeyMalformed, err.Reason)
			return
		}
		require.Equal(t, s, k.String())
	})
}

func TestKeyRoundTrip(t *testing.T) {
	k, err := NewKey("stock.v2", 1<<63, time.Unix(1790000000, 17), [RandomBytes]byte{0: 1, 15: 255})
	require.Nil(t, err)
	parsed, err := ParseKey(k.String())
	require.Nil(t, err)
	require.Equal(t, k, parsed)
}

// Guards against keys that can't be sent in a URL or header.
func TestNewKeyRefusesService(t *testing.T) {
	for _, service := range []string{"", "a b", "a/b", "ä", strings.Repeat("a", MaxServiceBytes+1)} {
		_, err := NewKey(service, 1, time.Unix(1, 0), [RandomBytes]byte{})
		require.NotNil(t, err, service)
		require.Equal(t, outcome.BadRequest, err.Reason)
	}
}

// Guards against requests with different parts and the same concatenation.
func TestFingerprintSeparatesParts(t *testing.T) {
	require.NotEqual(t, FingerprintOf("a", "bc", "", nil), FingerprintOf("ab", "c", "", nil))
	require.NotEqual(t, FingerprintOf("a", "b", "c", nil), FingerprintOf("a", "b", "", []byte("c")))
}
