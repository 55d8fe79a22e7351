package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/internal/standin/plaintarget"
)

// Keys of the histories in these tests.
const (
	birchKey    = keyPrefix + "birch"
	birchOldKey = keyPrefix + "birch-old"
	cedarKey    = keyPrefix + "cedar"
)

// birchRate is the rate and burst of the limited account, which may run 86 requests in a
// window.
const birchRate = 10

// accountHistory returns a history with two generations. The second one, acknowledged at
// the first minute, takes birchOldKey away.
func accountHistory() *History {
	h := &History{}
	cedar := Account{Name: "cedar", Keys: []string{cedarKey}}
	h.change(Change{Generation: 1, Sent: start, Acked: start, Accounts: []Account{
		{Name: "birch", Keys: []string{birchOldKey, birchKey}, Rate: birchRate, Burst: birchRate}, cedar,
	}})
	h.change(Change{Generation: 2, Sent: after(time.Minute), Acked: after(time.Minute), Accounts: []Account{
		{Name: "birch", Keys: []string{birchKey}, Rate: birchRate, Burst: birchRate}, cedar,
	}})
	return h
}

// servedWithKey adds a request with a key, which reached a target with an account.
func (h *History) servedWithKey(id, key, account string, at time.Duration) (*Attempt, *Arrival) {
	a, arrival := served(id, RouteView, 0, at)
	a.Key, arrival.Account = key, account
	h.attempt(a)
	h.arrival(arrival)
	return a, &h.Arrivals[len(h.Arrivals)-1]
}

// refusedWithStatus adds a request with a key that was refused.
func (h *History) refusedWithStatus(id, key string, status int, at time.Duration) {
	a, _ := served(id, RouteView, 0, at)
	a.Key, a.Status, a.Sealed, a.ResponseBody = key, status, false, ""
	h.attempt(a)
}

// Guards against checks of accounts that cannot fail: each history contains one
// violation, which exactly the check of that guarantee must report.
func TestCheckFindsEachViolationOfAccounts(t *testing.T) {
	late := time.Minute + configApply + time.Second
	cases := map[string]struct {
		rule    string
		violate func(h *History)
	}{
		"unknown key ran": {"KEY", func(h *History) { h.servedWithKey("r-1", keyPrefix+"x", "birch", late) }},
		"no key ran":      {"KEY", func(h *History) { h.servedWithKey("r-1", "", "", late) }},
		"removed key ran": {"KEY", func(h *History) { h.servedWithKey("r-1", birchOldKey, "birch", late) }},
		"key ran before it was added": {"KEY", func(h *History) {
			h.Changes[0].Accounts[0].Keys = []string{birchOldKey}
			h.servedWithKey("r-1", birchKey, "birch", 30*time.Second)
		}},
		"account of another key": {"TENANT", func(h *History) { h.servedWithKey("r-1", birchKey, "cedar", late) }},
		"account missing":        {"TENANT", func(h *History) { h.servedWithKey("r-1", birchKey, "", late) }},
		"account stated by the client": {"TENANT", func(h *History) {
			a, arrival := served("r-1", RouteGeneration, 0, late)
			a.Generation = 2
			a.ForgedAccount, arrival.Account = "cedar", "cedar"
			h.attempt(a)
			h.arrival(arrival)
		}},
		"call without the account of its root": {"TENANT", func(h *History) {
			h.servedWithKey("r-1", birchKey, "birch", late)
			a, arrival := served("r-1.7", RoutePrice, 0, late)
			h.attempt(a)
			h.arrival(arrival)
		}},
		"key at a target": {"LEAK", func(h *History) {
			_, arrival := h.servedWithKey("r-1", birchKey, "birch", late)
			arrival.KeyIn = "header X-Credential"
		}},
		"key in a log": {"LEAK", func(h *History) { h.LogLeaks = []string{"vm-1-1.log, line 1"} }},
		"key in a response": {"LEAK", func(h *History) {
			h.refusedWithStatus("r-1", keyPrefix+"x", 401, late)
			h.Attempts[0].ResponseBody = "the key " + keyPrefix + "x is unknown"
		}},
		"401 for a valid key": {"DENIED", func(h *History) { h.refusedWithStatus("r-1", birchKey, 401, late) }},
		"401 for a key before its removal": {"DENIED", func(h *History) {
			h.refusedWithStatus("r-1", birchOldKey, 401, time.Minute-time.Second)
		}},
		"401 for a call": {"DENIED", func(h *History) { h.refusedWithStatus("r-1.7", "", 401, late) }},
		"401 for a public route": {"DENIED", func(h *History) {
			h.refusedWithStatus("r-1", "", 401, late)
			h.Attempts[0].Route = RouteGeneration
		}},
		"401 without accounts": {"DENIED", func(h *History) {
			h.Changes[0].Accounts, h.Changes[1].Accounts = nil, nil
			h.refusedWithStatus("r-1", birchKey, 401, late)
		}},
		"account over its quota": {"QUOTA", func(h *History) { h.runMany(birchKey, 87, late, quotaWindow) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := accountHistory()
			c.violate(h)
			require.Equal(t, []string{c.rule}, rules(Check(h)))
		})
	}
}

// runMany adds requests that ran at even intervals within a period.
func (h *History) runMany(key string, count int, from, period time.Duration) {
	for i := range count {
		h.servedWithKey(fmt.Sprintf("m%d-%d", from, i), key, "birch", from+time.Duration(i)*period/time.Duration(count))
	}
}

// Guards against findings in a history that keeps the rules of accounts.
func TestCheckAcceptsValidAccounts(t *testing.T) {
	h := accountHistory()
	h.servedWithKey("old key in time", birchOldKey, "birch", time.Minute+configApply-time.Second)
	h.refusedWithStatus("removal applied", birchOldKey, 401, time.Minute+time.Millisecond)
	h.refusedWithStatus("removed", birchOldKey, 401, 2*time.Minute)
	h.refusedWithStatus("unknown", keyPrefix+"x", 401, 2*time.Minute)
	h.refusedWithStatus("missing", "", 401, 2*time.Minute)
	h.servedWithKey("r-1", cedarKey, "cedar", 2*time.Minute)
	a, arrival := served("r-1.1", RoutePrice, 0, 2*time.Minute)
	arrival.Account = "cedar"
	h.attempt(a)
	h.arrival(arrival)
	public, arrival := served("public", RouteGeneration, 0, 2*time.Minute)
	public.Generation = 2
	h.attempt(public)
	h.arrival(arrival)
	require.Empty(t, Check(h))
}

// Guards against findings about a removed key at a node that was disturbed and may not
// have the version that removed it, and against accepting one that was never held there.
func TestCheckExemptsRemovedKeyAtDisturbedVM(t *testing.T) {
	h := accountHistory()
	h.Disturbances = []*Disturbance{{Kind: StoreLink, VM: 0, From: after(59 * time.Second), To: after(2 * time.Minute)}}
	h.servedWithKey("removed", birchOldKey, "birch", 90*time.Second)
	require.Empty(t, Check(h))
	h.servedWithKey("unknown", keyPrefix+"x", "birch", 90*time.Second)
	require.Equal(t, []string{"KEY"}, rules(Check(h)))
}

// Guards against a check of quotas that counts requests that did not run, repeated runs,
// calls, or windows other than those of quotaWindow.
func TestCheckQuotaCountsRootRequestsOnce(t *testing.T) {
	h := accountHistory()
	h.runMany(birchKey, 86, 2*time.Minute, quotaWindow)
	h.runMany(birchKey, 86, 2*time.Minute+2*quotaWindow, quotaWindow)
	for i := range 5 {
		root := h.Attempts[i]
		h.Arrivals = append(h.Arrivals, h.Arrivals[i])
		call, arrival := served(root.ID+".1", RoutePrice, 0, 2*time.Minute)
		arrival.Account = "birch"
		h.attempt(call)
		h.arrival(arrival)
		refused, arrival := served(fmt.Sprintf("refused-%d", i), RouteView, 0, 2*time.Minute)
		refused.Key, refused.Status, refused.Sealed = birchKey, 503, false
		arrival.Account, arrival.Ran = "birch", false
		h.attempt(refused)
		h.arrival(arrival)
	}
	require.Empty(t, Check(h))
	h.servedWithKey("r-1", birchKey, "birch", 2*time.Minute+time.Second)
	require.Equal(t, []string{"QUOTA"}, rules(Check(h)))
}

// Guards against a lowered quota that never binds, or that binds before one window has
// passed since it is in force everywhere.
func TestCheckLoweredQuota(t *testing.T) {
	lowered := func(at time.Duration) *History {
		h := accountHistory()
		h.Changes[1].Accounts[0].Rate, h.Changes[1].Accounts[0].Burst = 1, 1
		h.runMany(birchKey, 60, time.Minute+at, quotaWindow)
		return h
	}
	require.Empty(t, Check(lowered(configApply)))
	late := configApply + quotaWindow + time.Second
	require.Equal(t, []string{"QUOTA"}, rules(Check(lowered(late))))
	suspended := []*Disturbance{{Kind: NodePause, VM: 0, From: after(time.Minute), To: after(time.Minute + 4*time.Second)}}
	h := lowered(late)
	h.Disturbances = suspended
	require.Empty(t, Check(h), "a suspended node has the lowered quota later")
	h = lowered(4*time.Second + settleTime + configApply + quotaWindow + time.Second)
	h.Disturbances = suspended
	require.Equal(t, []string{"QUOTA"}, rules(Check(h)))
	h = lowered(late + 10*time.Second)
	returned := &Disturbance{Kind: StoreReturns, VM: allVMs, From: after(time.Minute + late), To: after(time.Minute + late + 6*time.Second)}
	h.Disturbances = []*Disturbance{returned}
	require.Empty(t, Check(h), "the store may have brought the earlier quota back")
	returned.To = returned.From.Add(time.Second)
	require.Equal(t, []string{"QUOTA"}, rules(Check(h)), "the lowered quota binds again")
}

// Guards against refusals by a quota that the recovery does not bound, and against
// findings about an account that asks for more than its quota.
func TestCheckBoundsQuotaRefusalsAfterRecovery(t *testing.T) {
	history := func(served, refused int) *History {
		h := accountHistory()
		h.FaultsEnded = after(2*time.Minute - RecoveryBound)
		for i := range served + refused {
			id, at := fmt.Sprintf("r-%d", i), 2*time.Minute+time.Duration(i)*10*time.Second/time.Duration(served+refused)
			if i%(served+refused) < served {
				h.servedWithKey(id, birchKey, "birch", at)
			} else {
				h.refusedWithStatus(id, birchKey, 429, at)
			}
		}
		return h
	}
	require.Empty(t, Check(history(90, 60)), "100 of the 150 requests are owed")
	require.Equal(t, []string{"RECOVER"}, rules(Check(history(30, 30))))
}

// Guards against findings about calls of a root request whose client closed the
// connection (seed 60102), and against accepting refused calls of other requests.
func TestCheckExemptsCallsOfAbandonedRequests(t *testing.T) {
	h := accountHistory()
	h.FaultsEnded = after(2*time.Minute - RecoveryBound)
	root, _ := h.servedWithKey("r-1", birchKey, "birch", 2*time.Minute)
	root.Status, root.GaveUp = 0, true
	h.refusedWithStatus("r-1.1", "", 503, 2*time.Minute+time.Millisecond)
	h.Attempts[1].Route = RoutePrice
	h.servedWithKey("r-2", birchKey, "birch", 2*time.Minute)
	require.Empty(t, Check(h))
	root.GaveUp, root.Status = false, 200
	require.Equal(t, []string{"RECOVER"}, rules(Check(h)))
}

// Guards against keys in log files or requests at targets that the search misses.
func TestSearchFindsKeys(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "vm-1-1.log"), []byte("one line\nkey "+birchKey+"\n"), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "vm-2-1.log"), []byte("one line\n"), 0o600))
	r := &run{options: Options{Folder: folder}, history: &History{}}
	require.NoError(t, r.checkLogs())
	require.Equal(t, []string{"vm-1-1.log, line 2"}, r.history.LogLeaks)
	header := func(name, value string) plaintarget.Run {
		return plaintarget.Run{Header: map[string][]string{name: {value}}}
	}
	require.Equal(t, "header X-Credential", partWithKey(header("X-Credential", "other")))
	require.Equal(t, "header X-Other", partWithKey(header("X-Other", "a "+birchKey)))
	require.NotEmpty(t, partWithKey(plaintarget.Run{Target: "/view/" + birchKey}))
	require.Empty(t, partWithKey(header("X-Tenant", "birch")))
}
