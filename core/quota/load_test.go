package quota

import (
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/account"
)

const minLetThrough = 0.98

// zipfAccounts returns accounts as those of the platform: 75, the largest with 723/s, by
// a Zipf law with exponent 1.2, but not below 4/s.
func zipfAccounts(count int) []account.Account {
	accounts := make([]account.Account, 0, count)
	for i := range count {
		rate := max(723*math.Pow(float64(i+1), -1.2), 4)
		accounts = append(accounts, accountOf("account-"+string(rune('0'+i/10))+string(rune('0'+i%10)), rate, rate))
	}
	return accounts
}

// usual is the usual load of an account.
func usual(a *account.Account) float64 { return a.RatePerSecond / 1.6 }

// report logs the share let through, and returns that of all accounts together.
func (w *world) report(t *testing.T, from time.Time) float64 {
	t.Helper()
	ran, owed, asked, worst, worstName := 0.0, 0.0, 0, 1.0, ""
	for _, a := range w.accounts {
		accountRan, accountOwed := w.owed(a, from)
		ran, owed, asked = ran+accountRan, owed+accountOwed, asked+len(w.asked[a.Name])
		if share := accountRan / max(accountOwed, 1); share < worst {
			worst, worstName = share, a.Name
		}
		require.LessOrEqual(t, excess(w.ran[a.Name], func(time.Time) float64 { return testRules.Bound(a.RatePerSecond, a.Burst) }), 0.0, a.Name)
	}
	seconds := w.now.Sub(time.Unix(1_700_000_000, 0)).Seconds()
	t.Logf("asked %d, owed %.0f, ran %.0f: %.4f; least %.3f at %s; %.1f exchanges a second and node", asked, owed, ran, ran/owed,
		worst, worstName, float64(w.exchanges)/seconds/float64(len(w.nodes)))
	return ran / owed
}

// play runs the world for a time. load returns the load of an account, as a multiple of the
// usual one, and the entry of its next request.
func (w *world) play(length time.Duration, load func(a *account.Account) float64, entry func(a *account.Account) int) {
	for end := w.now.Add(length); w.now.Before(end); {
		w.step()
		for _, a := range w.accounts {
			for range w.arrivals(usual(a) * load(a)) {
				w.request(w.nodes[entry(a)], a.Name)
			}
		}
	}
}

// Guards against an account that is refused below its quota on a calm day: 65 nodes, 75
// accounts, the largest at eight times its usual load for a part of the day, clients that
// move from zone to zone, and all accounts at 1.8 times the usual load for 18 s.
func TestCalmDayLetsOwedPartThrough(t *testing.T) {
	for seed := range uint64(3) {
		require.GreaterOrEqual(t, playCalmDay(t, seed), minLetThrough)
	}
}

// playCalmDay plays the day and returns the share of the owed part that was let through.
func playCalmDay(t *testing.T, seed uint64) float64 {
	t.Helper()
	const nodes, zones = 65, 4
	w := newWorld(seed, nodes, zipfAccounts(75)...)
	w.play(2*time.Second, func(*account.Account) float64 { return 0 }, nil)
	from := w.now
	zone := 0
	// Half of the clients are in one zone, which changes.
	entry := func(*account.Account) int {
		if w.rng.IntN(2) == 0 {
			return w.rng.IntN(nodes)
		}
		return (w.rng.IntN(nodes/zones)*zones + zone) % nodes
	}
	one := func(*account.Account) float64 { return 1 }
	w.play(5*time.Second, one, entry)
	zone = 1
	w.play(10*time.Second, func(a *account.Account) float64 {
		if a == w.accounts[0] {
			return 8
		}
		return 1
	}, entry)
	zone = 2
	w.play(18*time.Second, func(*account.Account) float64 { return 1.8 }, entry)
	zone = 3
	w.play(5*time.Second, one, entry)
	return w.report(t, from)
}

// Guards against refusals of an account with fewer tokens than entries: it has one request
// in 20 s at each of 65 entries, within a quota of 4/s and a burst of 4.
func TestTinyAccountIsLetThrough(t *testing.T) {
	const nodes = 65
	w := newWorld(2, nodes, accountOf("tiny", 4, 4))
	// After the start of all nodes, the owners wait for what may have run before.
	w.play(5*time.Second, func(*account.Account) float64 { return 0 }, nil)
	from := w.now
	w.play(60*time.Second, func(*account.Account) float64 { return float64(nodes) / 20 / usual(w.accounts[0]) }, func(*account.Account) int { return w.rng.IntN(nodes) })
	require.GreaterOrEqual(t, w.report(t, from), minLetThrough)
}

// Guards against credit beyond the quota of an account with one token for many entries and
// eight times the load.
func TestHotTinyAccountStaysWithinBound(t *testing.T) {
	const nodes, seeds = 65, 5
	share := 0.0
	for seed := range uint64(seeds) {
		w := newWorld(seed, nodes, accountOf("tiny", 4, 4))
		w.play(5*time.Second, func(*account.Account) float64 { return 0 }, nil)
		from := w.now
		w.play(40*time.Second, func(*account.Account) float64 { return 8 * nodes / 20 / usual(w.accounts[0]) }, func(*account.Account) int { return w.rng.IntN(nodes) })
		t.Logf("excess %.1f", excess(w.ran["tiny"], func(time.Time) float64 { return testRules.Bound(4, 4) }))
		share += w.report(t, from) / seeds
	}
	require.GreaterOrEqual(t, share, minLetThrough)
}

// Guards against clients that return at the told time and are refused again: an account
// asks three times its quota for 2 s, and its usual load afterwards.
func TestRetryAfterComesTrue(t *testing.T) {
	const nodes = 65
	for _, rate := range []float64{723, 60} {
		w := newWorld(3, nodes, accountOf("a", rate, rate))
		w.play(2*time.Second, func(*account.Account) float64 { return 0 }, nil)
		returned, ran, longest := 0, 0, time.Duration(0)
		ask := func(entry int) {
			d := w.request(w.nodes[entry], "a")
			longest = max(longest, d.RetryAfter)
			if d.Verdict == Admitted {
				return
			}
			w.after(d.RetryAfter, func() {
				returned++
				if w.request(w.nodes[entry], "a").Verdict == Admitted {
					ran++
				}
			})
		}
		for start := w.now; w.now.Sub(start) < 12*time.Second; {
			w.step()
			load := usual(w.accounts[0])
			if w.now.Sub(start) < 2*time.Second {
				load = 3 * rate
			}
			for range w.arrivals(load) {
				ask(w.rng.IntN(nodes))
			}
		}
		t.Logf("rate %.0f: %d of %d returned requests ran; longest wait %v", rate, ran, returned, longest)
		require.GreaterOrEqual(t, float64(ran)/float64(returned), 0.8)
	}
}

// Guards against a join that refuses more than the part of the new owner: 66 nodes at the
// usual load, and a member joins that ranks among the first candidates. The others learn of
// it within a second. Logs the share let through second by second.
func TestJoinOfOwnerCostsAtMostItsPart(t *testing.T) {
	const nodes, seconds = 66, 8
	w := newWorld(4, nodes, zipfAccounts(75)...)
	anywhere := func(*account.Account) int { return w.rng.IntN(nodes) }
	one := func(*account.Account) float64 { return 1 }
	w.play(8*time.Second, one, anywhere)
	joining := w.joinAsOwner()
	for _, n := range w.nodes[:nodes] {
		w.after(time.Duration(w.rng.Int64N(int64(time.Second))), func() { w.view(n, joining) })
	}
	from := w.now
	var shares []float64
	for range seconds {
		start := w.now
		w.play(time.Second, one, anywhere)
		ran, asked := 0, 0
		for name := range w.asked {
			ran, asked = ran+countSince(w.ran[name], start), asked+countSince(w.asked[name], start)
		}
		shares = append(shares, float64(ran)/float64(asked))
	}
	t.Logf("let through each second: %.3f", shares)
	require.GreaterOrEqual(t, w.report(t, from), 1-1.0/maxOwners)
}

// joinAsOwner starts a node that ranks among the first candidates and returns the members.
func (w *world) joinAsOwner() []string {
	n := w.add()
	for i := 0; ; i++ {
		n.vm = "joining-" + strconv.Itoa(i)
		members := w.vms()
		if slices.Contains(NewView("", members, nil, testRules).Candidates(), n.vm) {
			n.members = members
			w.start(n, false)
			return members
		}
	}
}

func countSince(times []time.Time, start time.Time) int {
	count := 0
	for _, t := range times {
		if t.After(start) {
			count++
		}
	}
	return count
}
