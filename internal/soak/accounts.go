package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/internal/standin/plainplatform"
	"github.com/primrosemount/primrosemount/internal/standin/plaintarget"
)

// Account is one client account of a generation of the configuration.
type Account struct {
	Name string
	Keys []string
	// Rate and Burst are its quota; a Rate of 0 means no limit.
	Rate, Burst float64
}

// accountNames are the names of the accounts. The first one has no quota.
var accountNames = [...]string{"atlas", "birch", "cedar", "dune"}

// accountShares are the parts of the usual load that belong to the accounts, in percent.
var accountShares = [len(accountNames)]int{40, 30, 20, 10}

const (
	// One in accountsOneIn seeds has client accounts.
	accountsOneIn = 3
	// keyPrefix starts every key, including unknown ones, so that a key is found
	// wherever it appears.
	keyPrefix = "soak-credential-"
	// usualRatePerClient is above the requests per second that one client sends.
	usualRatePerClient = 20.0
	// quotaHeadroom is the ratio of a quota to the usual load of its account, as at the
	// customers. loweredQuota is the ratio of a lowered quota to the usual one.
	quotaHeadroom = 1.6
	loweredQuota  = 0.25
	// Of all requests, these percentages carry an unknown key, a removed key and no key.
	unknownKeyPercent = 3
	removedKeyPercent = 5
	missingKeyPercent = 1
	// One in forgedOneIn requests states the name of an account.
	forgedOneIn = 20
)

// HasAccounts reports whether the configuration of a seed has client accounts.
func HasAccounts(seed uint64) bool { return seed%accountsOneIn == 0 }

// keyring holds the client accounts of the newest generation, and the keys that clients
// send. Its methods are safe for concurrent use.
type keyring struct {
	mutex    sync.Mutex
	accounts []Account
	// usual holds the quotas as they were at first.
	usual []float64
	// removed holds the keys that were taken away.
	removed []string
	// created counts the keys.
	created int
}

// newKeyring returns the accounts of the first generation, for the given number of
// clients.
func newKeyring(clients int) *keyring {
	k := &keyring{}
	for i, name := range accountNames {
		rate := 0.0
		if i > 0 {
			rate = quotaHeadroom * usualRatePerClient * float64(clients*accountShares[i]) / 100
		}
		k.accounts = append(k.accounts, Account{Name: name, Keys: []string{k.newKey(name), k.newKey(name)}, Rate: rate, Burst: rate})
		k.usual = append(k.usual, rate)
	}
	return k
}

// newKey returns a key that no account has held. The caller must hold the mutex.
func (k *keyring) newKey(name string) string {
	k.created++
	return fmt.Sprintf("%s%s-%d", keyPrefix, name, k.created)
}

// all returns a copy of the accounts, or nil if k is nil.
func (k *keyring) all() []Account {
	if k == nil {
		return nil
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	list := slices.Clone(k.accounts)
	for i := range list {
		list[i].Keys = slices.Clone(list[i].Keys)
	}
	return list
}

// change applies a step to an account. The oldest key is removed, unless it is the only
// one: an account always has a key.
func (k *keyring) change(s Step) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	a := &k.accounts[s.Account]
	switch s.Kind {
	case KeyAdded:
		a.Keys = append(a.Keys, k.newKey(a.Name))
	case KeyRemoved:
		if len(a.Keys) > 1 {
			k.removed = append(k.removed, a.Keys[0])
			a.Keys = a.Keys[1:]
		}
	case QuotaLowered:
		a.Rate = k.usual[s.Account] * loweredQuota
		a.Burst = a.Rate
	case QuotaRestored:
		a.Rate = k.usual[s.Account]
		a.Burst = a.Rate
	}
}

// draw returns the key of a request: usually one of an account, or an unknown one, a
// removed one or none.
func (k *keyring) draw(r *rand.Rand) string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	percent := r.IntN(100)
	switch {
	case percent < missingKeyPercent:
		return ""
	case percent < missingKeyPercent+unknownKeyPercent:
		return keyPrefix + "unknown"
	case percent < missingKeyPercent+unknownKeyPercent+removedKeyPercent && len(k.removed) > 0:
		return k.removed[r.IntN(len(k.removed))]
	}
	rest := r.IntN(100)
	for i, share := range accountShares {
		if rest -= share; rest < 0 {
			return k.keyOf(i, r)
		}
	}
	return k.keyOf(0, r)
}

// keyOf returns a key of an account. The caller must hold the mutex.
func (k *keyring) keyOf(index int, r *rand.Rand) string {
	keys := k.accounts[index].Keys
	return keys[r.IntN(len(keys))]
}

// drawOf returns a key of an account.
func (k *keyring) drawOf(index int, r *rand.Rand) string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.keyOf(index, r)
}

// drawForgedAccount returns the account name that a client states, usually none.
func drawForgedAccount(r *rand.Rand) string {
	if r.IntN(forgedOneIn) > 0 {
		return ""
	}
	return accountNames[r.IntN(len(accountNames))]
}

// tenants returns the accounts as resources of the configuration.
func tenants(accounts []Account) []plainplatform.Tenant {
	list := make([]plainplatform.Tenant, 0, len(accounts))
	for _, a := range accounts {
		list = append(list, plainplatform.Tenant{Name: a.Name, Keys: a.Keys, RatePerSecond: a.Rate, Burst: a.Burst})
	}
	return list
}

// partWithKey names the part of a request at a target that contains a key, or is the
// header for keys. It returns an empty string if there is none.
func partWithKey(run plaintarget.Run) string {
	for name, values := range run.Header {
		if name == "X-Credential" || strings.Contains(name+strings.Join(values, ","), keyPrefix) {
			return "header " + name
		}
	}
	if strings.Contains(run.Target+run.Body, keyPrefix) {
		return "request target or body"
	}
	return ""
}

const (
	// accountsStream is the stream of random numbers of PlanAccounts.
	accountsStream = 45
	// maxSurges and maxAccountChanges bound the steps of accounts in a schedule.
	maxSurges         = 2
	maxAccountChanges = 6
	// minSurge and maxSurge bound the duration of a surge. They are above quotaWindow,
	// since a burst and the margin hide a rate that is too high in a shorter surge.
	minSurge = 6 * time.Second
	maxSurge = 10 * time.Second
	// surgePause is the mean pause between the requests of a client of a surge.
	surgePause = 4 * time.Millisecond
)

// PlanAccounts draws the surges and the changes of client accounts that a seed adds to a
// schedule, and returns both in order.
func PlanAccounts(steps []Step, seed uint64, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, accountsStream))
	// at draws the start of a step that is to end within length.
	at := func(period time.Duration) time.Duration {
		return initialDelay + time.Duration(r.Int64N(max(int64(length-initialDelay-period), 1)))
	}
	for range 1 + r.IntN(maxSurges) {
		period := minSurge + time.Duration(r.Int64N(int64(maxSurge-minSurge)))
		steps = append(steps, Step{At: at(period), Kind: AccountSurge, Account: 1 + r.IntN(len(accountNames)-1), For: period})
	}
	for range 2 + r.IntN(maxAccountChanges-1) {
		kind := KeyAdded + Kind(r.IntN(int(QuotaRestored-KeyAdded)+1))
		step := Step{At: at(minFault), Kind: kind, Account: r.IntN(len(accountNames))}
		if kind == QuotaLowered || kind == QuotaRestored {
			step.Account = 1 + r.IntN(len(accountNames)-1)
		}
		steps = append(steps, step)
	}
	return clip(steps, length)
}

// surge lets one client on each VM send requests of an account with short pauses, and
// ignore what refusals ask for.
func (r *run) surge(s Step) {
	done := make(chan struct{})
	var clients sync.WaitGroup
	number := r.surges.Add(1)
	for _, v := range r.fleet.vms {
		c := &client{
			vm: v, keys: r.fleet.keys, history: r.history, name: fmt.Sprintf("surge%d-%d", number, v.index+1),
			random: rand.New(rand.NewPCG(r.options.Seed, uint64(s.At)+uint64(v.index))),
		}
		clients.Go(func() { c.runSurge(s.Account, done) })
	}
	time.Sleep(s.For)
	close(done)
	clients.Wait()
}

// runSurge sends requests of an account until done is closed.
func (c *client) runSurge(account int, done <-chan struct{}) {
	defer c.disconnect()
	for {
		pause := time.Duration(c.random.ExpFloat64() * float64(surgePause))
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		a := c.nextAttempt([]Route{RoutePrice, RouteDebit}[c.random.IntN(2)])
		a.Key = c.keys.drawOf(account, c.random)
		if c.connect(a) {
			if keep, _ := a.send(c.connection, 0); !keep {
				c.disconnect()
			}
		}
		c.history.attempt(a)
	}
}

// checkLogs records the log files of nodes that contain a key.
func (r *run) checkLogs() error {
	files, err := filepath.Glob(filepath.Join(r.options.Folder, "*.log"))
	if err != nil {
		return err
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if at := bytes.Index(content, []byte(keyPrefix)); at >= 0 {
			line := bytes.Count(content[:at], []byte("\n")) + 1
			add(r.history, &r.history.LogLeaks, fmt.Sprintf("%s, line %d", filepath.Base(file), line))
		}
	}
	return nil
}
