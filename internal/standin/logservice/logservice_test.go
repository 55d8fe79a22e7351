package logservice

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/platform"
	"github.com/primrosemount/primrosemount/streamlog"
)

func newClient(t *testing.T, service *Service) *platform.Log {
	server := httptest.NewServer(service.Handler())
	store := platform.NewStore(server.URL)
	t.Cleanup(func() {
		store.Close()
		server.Close()
	})
	return store.Log(time.Second)
}

// Guards against retention that changes the offsets of the remaining records.
func TestRetentionKeepsOffsets(t *testing.T) {
	log := newClient(t, New(Config{Retain: 2}))
	ctx := context.Background()
	for i := range 5 {
		offset, err := log.Append(ctx, "s", []byte{byte(i)})
		require.NoError(t, err)
		require.Equal(t, uint64(i), offset)
	}
	batch, err := log.Read(ctx, "s", 0, 10)
	require.NoError(t, err)
	require.Equal(t, uint64(3), batch.Earliest)
	require.Equal(t, uint64(5), batch.Next)
	require.Equal(t, []streamlog.Record{{Offset: 3, Data: []byte{3}}, {Offset: 4, Data: []byte{4}}}, batch.Records)
}

// Guards against a lost response that is reported as a refusal, because the caller
// would then append the record a second time.
func TestFaultsMapToErrorKinds(t *testing.T) {
	service := New(Config{})
	log := newClient(t, service)
	ctx := context.Background()

	service.SetFaults(Faults{LoseAppendResponses: true})
	_, err := log.Append(ctx, "s", []byte("a"))
	require.ErrorIs(t, err, streamlog.ErrAppendUnknown)
	require.Equal(t, uint64(1), service.Appends())

	service.SetFaults(Faults{Down: true})
	_, err = log.Append(ctx, "s", []byte("b"))
	require.ErrorIs(t, err, streamlog.ErrRefused)
	_, err = log.Read(ctx, "s", 0, 1)
	require.ErrorIs(t, err, streamlog.ErrUnavailable)
	require.Equal(t, uint64(1), service.Appends())
}

// Guards against a rate limit that is not enforced.
func TestRateLimitRefuses(t *testing.T) {
	service := New(Config{AppendsPerSecond: 3})
	refused := 0
	for range 20 {
		if _, err := service.Append(context.Background(), "s", nil); err != nil {
			require.ErrorIs(t, err, streamlog.ErrRefused)
			refused++
		}
	}
	require.GreaterOrEqual(t, refused, 15)
}

// Guards against a stand-in that keeps records which a return from a copy loses, or that
// does not give their offsets out again.
func TestRestoredCopyGivesOffsetsOutAgain(t *testing.T) {
	service := New(Config{})
	service.SetEra(1)
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	ctx := context.Background()
	service.append("keyed.s", []byte("\x01ka"))
	saved := service.Copy()
	service.append("keyed.s", []byte("\x01kb"))
	for era := uint64(2); era <= 3; era++ {
		service.Restore(saved)
		require.Equal(t, map[string][]byte{"k": []byte("a")}, service.Newest("keyed.s"))
		response, err := http.Get(server.URL + "/v1/log-read?topic=keyed.s&part=0&from=2")
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusGone, response.StatusCode)
		require.Equal(t, strconv.FormatUint(era, 10), response.Header.Get("Store-Era"))
		offset, err := service.Append(ctx, "keyed.s", []byte("\x01kc"))
		require.NoError(t, err)
		require.Equal(t, uint64(1), offset)
	}
}

// Guards against a response that tells another era than the one of its content.
func TestReadAcrossReturnFromCopyGetsNoResponse(t *testing.T) {
	service := New(Config{})
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	saved := service.Copy()
	time.AfterFunc(50*time.Millisecond, func() { service.Restore(saved) })
	_, err := http.Get(server.URL + "/v1/log-read?topic=s&part=0&from=0&wait_ms=500")
	require.Error(t, err)
}

// Guards against a late append that takes effect at once or never.
func TestAppendTakesEffectLate(t *testing.T) {
	service := New(Config{})
	service.SetFaults(Faults{AppendLateBy: 50 * time.Millisecond})
	_, err := service.Append(context.Background(), "s", []byte("a"))
	require.ErrorIs(t, err, streamlog.ErrAppendUnknown)
	require.Zero(t, service.Appends())
	require.Eventually(t, func() bool { return service.Appends() == 1 }, time.Second, time.Millisecond)
}

// Guards against a reader beyond the end of a restored stream that takes the log for
// unavailable for ever, and against records appended where the stream does not end.
func TestReadBeyondRestoredEndTellsEnd(t *testing.T) {
	service := New(Config{})
	service.SetEra(1)
	log := newClient(t, service)
	ctx := context.Background()
	for i := range 3 {
		_, err := log.Append(ctx, "s", []byte{byte(i)})
		require.NoError(t, err)
	}
	saved := service.Copy()
	_, err := log.Append(ctx, "s", []byte{3})
	require.NoError(t, err)
	service.Restore(saved)
	batch, err := log.Read(ctx, "s", 4, 10)
	require.NoError(t, err)
	second := uint64(2)
	require.Equal(t, streamlog.Batch{Next: 3, Era: era.FromNumber(&second)}, batch)
	require.ErrorIs(t, log.AppendAt(ctx, "s", [][]byte{{9}}, 4), streamlog.ErrConflict)
	require.NoError(t, log.AppendAt(ctx, "s", [][]byte{{3}, {4}}, 3))
	batch, err = log.Read(ctx, "s", 3, 10)
	require.NoError(t, err)
	require.Len(t, batch.Records, 2)
}
