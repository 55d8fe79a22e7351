package relay

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/freshness"
	"github.com/primrosemount/primrosemount/core/quota"
)

// accountsPage is the page /accounts: the client accounts in force, and the root requests
// that this node has received from them since its start. It holds no keys or digests.
type accountsPage struct {
	ConfigVersion uint64 `json:"config_version"`
	// ConfigAgeMillis is the age of the configuration. It is missing if it is unknown.
	ConfigAgeMillis *int64        `json:"config_age_ms,omitempty"`
	Accounts        []accountLine `json:"accounts"`
}

// accountLine is one account of the page.
type accountLine struct {
	Name string `json:"name"`
	// Configured is false for an account that is not in the configuration in force.
	Configured bool `json:"configured"`
	// Keys is the number of keys that are valid at present.
	Keys int `json:"keys"`
	// Priority is missing if the priority of the route applies.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond and Burst are missing if there is no limit.
	RatePerSecond float64 `json:"rate_per_s,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
	// Load is the load at all nodes divided by the rate. It is missing if it is unknown.
	Load *float64 `json:"load,omitempty"`
	// Quota is the state of the quota at this node. It is missing if the account had no
	// requests here lately.
	Quota *quotaLine `json:"quota,omitempty"`
	// The counts are those of this node.
	Completed uint64 `json:"completed"`
	OverQuota uint64 `json:"over_quota"`
	Refused   uint64 `json:"refused"`
	Unknown   uint64 `json:"unknown"`
}

// quotaLine is the state of the quota of an account at this node.
type quotaLine struct {
	// AdmittedPerSecond is the rate of requests that this node has admitted lately.
	AdmittedPerSecond float64 `json:"admitted_per_s"`
	// Held is the number of tokens that this node holds.
	Held uint32 `json:"held"`
	// AgeMillis is the time since an owner of the quota has responded. It is missing if
	// none has.
	AgeMillis *int64 `json:"age_ms,omitempty"`
}

// quotaLineOf returns the line of a quota.
func quotaLineOf(use quota.Use) *quotaLine {
	line := &quotaLine{AdmittedPerSecond: use.Used, Held: use.Held}
	if use.Age >= 0 {
		millis := use.Age.Milliseconds()
		line.AgeMillis = &millis
	}
	return line
}

// serveAccounts serves the page of the client accounts. The query parameter name limits it
// to one account.
func (e *entry) serveAccounts(w http.ResponseWriter, r *http.Request) {
	page := e.accountsPage(time.Now(), r.URL.Query().Get("name"))
	w.Header().Set("Content-Type", "application/json")
	// An error means that the reader has left.
	_ = json.NewEncoder(w).Encode(page)
}

// accountsPage returns the content of the page for the account with the name, or for all
// if the name is empty.
func (e *entry) accountsPage(now time.Time, name string) accountsPage {
	page := accountsPage{Accounts: []accountLine{}, ConfigVersion: e.config.version()}
	if age := e.config.tracker.Age(now); age != freshness.Unknown {
		millis := age.Milliseconds()
		page.ConfigAgeMillis = &millis
	}
	var configured []*account.Account
	if table := e.config.table.Load(); table != nil && table.Accounts != nil {
		configured = table.Accounts.All()
	}
	quotas := make(map[string]*quotaLine)
	for _, use := range e.quotas.snapshot(now) {
		quotas[use.Account] = quotaLineOf(use)
	}
	listed := make(map[string]bool, len(configured))
	for _, a := range configured {
		listed[a.Name] = true
		line := e.lineOf(now, a)
		line.Quota = quotas[a.Name]
		page.Accounts = append(page.Accounts, line)
	}
	for _, other := range slices.Sorted(slices.Values(e.use.names())) {
		if !listed[other] {
			line := accountLine{Name: other}
			line.count(e.use.find(other))
			page.Accounts = append(page.Accounts, line)
		}
	}
	if name != "" {
		page.Accounts = slices.DeleteFunc(page.Accounts, func(l accountLine) bool { return l.Name != name })
	}
	return page
}

// lineOf returns the line of an account of the configuration.
func (e *entry) lineOf(now time.Time, a *account.Account) accountLine {
	line := accountLine{Name: a.Name, Configured: true, Keys: len(a.Keys)}
	if a.HasPriority {
		line.Priority = &a.Priority
	}
	if a.Limited() {
		line.RatePerSecond, line.Burst = a.RatePerSecond, a.Burst
		if load, known := e.quotas.load(now, a); known {
			line.Load = &load
		}
	}
	line.count(e.use.find(a.Name))
	return line
}

// count fills in the counts of the account, if it has any.
func (l *accountLine) count(c *accountCounts) {
	if c == nil {
		return
	}
	l.Completed, l.OverQuota = c.completed.Load(), c.overQuota.Load()
	l.Refused, l.Unknown = c.refused.Load(), c.unknown.Load()
}
