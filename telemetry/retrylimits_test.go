package telemetry

import (
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against metrics of retry limits that are missing, or whose number grows with
// that of the services.
func TestRetryLimitsAreBounded(t *testing.T) {
	m, err := NewMetrics()
	require.NoError(t, err)
	samples := make([]RetryLimitSample, MaxServices+5)
	for i := range samples {
		samples[i] = RetryLimitSample{Service: strconv.Itoa(i), Level: 300, RefusalShare: 0.5, RetriesLeft: 7}
	}
	require.NoError(t, m.ObserveRetryLimits(func() []RetryLimitSample { return samples }))
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	text := recorder.Body.String()
	require.Contains(t, text, `primrosemount_retry_limit_level{service="0"} 300`)
	require.Contains(t, text, `primrosemount_retry_limit_refused_share{service="0"} 0.5`)
	require.Contains(t, text, `primrosemount_retry_limit_retries_left{service="0"} 7`)
	require.Equal(t, MaxServices, strings.Count(text, "primrosemount_retry_limit_level{"))
}
