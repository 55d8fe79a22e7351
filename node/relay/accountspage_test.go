package relay

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/telemetry"
	"github.com/primrosemount/primrosemount/transport/httpserver"
)

// Guards against a page that shows keys or digests, or that does not tell why requests of
// an account were refused.
func TestAccountsPage(t *testing.T) {
	e, quotas, _ := accountEntry(t)
	quotas.relative = 0.75
	send := func(key string) {
		e.Receive(keyRequest("/r/", "a", key, nil)).Respond(t.Context(), &httpserver.Response{})
	}
	send("key-l")
	quotas.refused = &outcome.Error{Outcome: outcome.NotRun, Reason: outcome.QuotaExceeded}
	send("key-l")
	send("key-l")
	send("key-x")
	e.use.add("former", outcome.Unknown, outcome.AnswerLost)
	get := func(query string) (accountsPage, string) {
		recorder := httptest.NewRecorder()
		e.serveAccounts(recorder, httptest.NewRequest(http.MethodGet, "/accounts"+query, nil))
		var page accountsPage
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &page))
		return page, recorder.Body.String()
	}
	page, text := get("")
	require.Equal(t, uint64(3), page.ConfigVersion)
	require.NotNil(t, page.ConfigAgeMillis)
	load, low, age := 0.75, 2, int64(20)
	require.Equal(t, []accountLine{
		{Name: "limited", Configured: true, Keys: 1, RatePerSecond: 10, Burst: 10, Load: &load, Quota: &quotaLine{AdmittedPerSecond: 1.5, Held: 3, AgeMillis: &age}, OverQuota: 2, Refused: 1},
		{Name: "free", Configured: true, Keys: 1},
		{Name: "low", Configured: true, Keys: 1, Priority: &low},
		{Name: "former", Unknown: 1},
	}, page.Accounts)
	for _, key := range []string{"key-l", "key-f", "key-p", "key-x"} {
		require.NotContains(t, text, key)
		digest := account.DigestOf(key)
		require.NotContains(t, text, hex.EncodeToString(digest[:4]))
	}
	page, _ = get("?name=low")
	require.Len(t, page.Accounts, 1)
	e.config.table.Store(nil)
	page, _ = get("")
	require.Len(t, page.Accounts, 2, "those with requests")
}

// Guards against memory that grows with the accounts that configurations add and remove.
func TestCountedAccountsAreBounded(t *testing.T) {
	use := newAccountUse()
	for i := range maxCountedAccounts + 10 {
		use.add(fmt.Sprint(i), outcome.Completed, 0)
	}
	require.Len(t, use.names(), maxCountedAccounts+1)
	require.Equal(t, uint64(10), use.find(telemetry.OtherAccount).completed.Load())
}

// Guards against a metric that does not follow the requests of accounts.
func TestRequestsOfAccountsAreMeasured(t *testing.T) {
	e, _, _ := accountEntry(t)
	require.NoError(t, e.metrics.ObserveAccounts(e.use.sample))
	o, refused := e.accept(keyRequest("/r/", "a", "key-f", strings.NewReader("x")), time.Now())
	require.Nil(t, refused)
	(&acceptedRequest{entry: e, outgoing: o}).Respond(t.Context(), &httpserver.Response{})
	recorder := httptest.NewRecorder()
	e.metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, recorder.Body.String(), `primrosemount_account_requests_total{account="free",result="refused"} 1`)
}
