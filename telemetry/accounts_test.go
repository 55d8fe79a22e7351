package telemetry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an unbounded number of label values, and against requests that are not
// counted because their account has no label.
func TestAccountLabelsAreBounded(t *testing.T) {
	m := newMetrics(t)
	samples := []AccountSample{{Account: "east", Result: "completed", Count: 7}, {Account: "east", Result: "over_quota", Count: 2}}
	for i := range 3 * MaxAccounts {
		samples = append(samples, AccountSample{Account: fmt.Sprintf("account-%d", i), Result: "completed", Count: 1})
	}
	require.NoError(t, m.ObserveAccounts(func() []AccountSample { return samples }))
	for range 2 {
		got := scrape(t, m)
		require.Contains(t, got, `primrosemount_account_requests_total{account="east",result="completed"} 7`)
		require.Contains(t, got, `primrosemount_account_requests_total{account="east",result="over_quota"} 2`)
		require.Contains(t, got, fmt.Sprintf(`primrosemount_account_requests_total{account="other",result="completed"} %d`, 2*MaxAccounts+1))
		require.Equal(t, MaxAccounts+2, strings.Count(got, "primrosemount_account_requests_total{"))
		samples[0], samples[9] = samples[9], samples[0]
	}
}
