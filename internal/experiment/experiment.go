// Package experiment replays arrivals of requests through the decision core on a
// virtual clock and compares overload control policies.
//
// Model. The gates and concurrency limits are the real types of the core. The
// environment around them is a small model: call graphs in the shape of both users'
// deployments, targets that hold a slot for a request during its self time and during
// the calls that it makes, callers that have deadlines and retry failed requests, and a
// constant delay per hop. Self time is the time that a target spends on a request
// without the time of its calls. It is random with a standard deviation of half its
// mean, and it increases when a target processes more requests than it has
// processors. A target has as many processors as slots unless a case throttles them.
// The model is no simulation of a cluster: nodes do not fail, and catalogue and
// membership are constant.
//
// Signal. A root request is a request that arrives from outside the call graph. Goodput
// counts the root requests that receive a complete response within callerTimeout, by
// time of arrival. Arrivals within callerTimeout before the end of the trigger are not
// counted, because their retries may be served after it. The best goodput is computed
// from the capacity: the least shares are served first, then the more important
// classes, until slots or processors are used up. The least share of an operation is
// the minimum share of its requests that is admitted before the order of classes
// counts.
//
// Results. For each case and policy, the report contains the goodput during the trigger
// relative to the best goodput, in total and by class; the share of self time that was
// spent on failed requests; the highest number of attempts for one root request; and
// the recovery time: the time from the end of the trigger until the share of requests
// that succeed at the first attempt is back at 95 % of its earlier value.
package experiment

import (
	"math"
	"runtime"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Options selects what is replayed.
type Options struct {
	// Seed is the seed of the arrivals and of all random choices.
	Seed uint64
	// Users, Cases and Policies select by name; an empty list selects all.
	Users    []string
	Cases    []string
	Policies []string
	// Shortest is the maximum duration of triggers; longer triggers are cut to it. 0
	// keeps the full durations.
	Shortest time.Duration
	// Arrivals are replayed instead of arrivals drawn from Seed. They require exactly
	// one user.
	Arrivals []Arrival
	// Parallel is the number of concurrent replays; 0 means half the number of
	// processors.
	Parallel int
}

// Row is the result of one case under one policy.
type Row struct {
	User   string `json:"user"`
	Case   string `json:"case"`
	Policy string `json:"policy"`
	// Goodput is the goodput during the trigger relative to the best goodput that the
	// capacity allows.
	Goodput float64 `json:"goodput"`
	// ByClass is the same ratio for each class. Classes whose best goodput is below one
	// request are omitted.
	ByClass map[string]float64 `json:"by_class"`
	// BestShare is the best goodput relative to the offered requests, by class.
	BestShare map[string]float64 `json:"best_share"`
	// CriticalAlone is the share of critical requests that the capacity allows if no
	// least shares are served before them.
	CriticalAlone float64 `json:"critical_alone"`
	// ServedShare is the goodput relative to the offered requests by class; ServedOfAll
	// is this ratio over all classes.
	ServedShare map[string]float64 `json:"served_share"`
	ServedOfAll float64            `json:"served_of_all"`
	// P99Seconds is the 99th percentile of the time from arrival to response, including
	// failed attempts, over the good requests during the trigger.
	P99Seconds float64 `json:"p99_seconds"`
	// WastedWork is the share of self time that was spent on failed requests, over the
	// whole run.
	WastedWork float64 `json:"wasted_work"`
	// MaxAttempts is 1 plus the highest number of retries for one root request, summed
	// over all hops and the caller.
	MaxAttempts int `json:"max_attempts"`
	// RecoverySeconds is the time from the end of the trigger until the share of
	// requests that succeed at the first attempt is back at 95 % of its earlier value.
	// It is negative if the replay ends before.
	RecoverySeconds float64 `json:"recovery_seconds"`
	// Roots is the number of root requests of the run.
	Roots int `json:"roots"`
}

// Report is the result of Run.
type Report struct {
	Seed uint64 `json:"seed"`
	Rows []Row  `json:"rows"`
}

// job is the replay of one case for one user under one policy.
type job struct {
	graph    graph
	scenario scenario
	policy   policy
}

// Run replays the selected cases under the selected policies. It returns an error of
// type *outcome.Error if a selected name does not exist.
func Run(o Options) (Report, error) {
	jobs, err := o.jobs()
	if err != nil {
		return Report{}, err
	}
	report := Report{Seed: o.Seed, Rows: make([]Row, len(jobs))}
	var group errgroup.Group
	group.SetLimit(o.parallel())
	for i := range jobs {
		group.Go(func() error {
			row, err := jobs[i].replay(o)
			report.Rows[i] = row
			return err
		})
	}
	return report, group.Wait()
}

func (o Options) parallel() int {
	if o.Parallel > 0 {
		return o.Parallel
	}
	return max(1, runtime.GOMAXPROCS(0)/2)
}

// jobs returns the replays that the options select.
func (o Options) jobs() ([]job, error) {
	if len(o.Arrivals) > 0 && len(o.Users) != 1 {
		return nil, badOption("recorded arrivals need exactly one user")
	}
	all := scenarios(o.Shortest)
	if err := o.validateNames(all); err != nil {
		return nil, err
	}
	var jobs []job
	for _, g := range graphs() {
		for _, s := range all {
			for _, p := range policies() {
				if selected(o.Users, g.name) && selected(o.Cases, s.name) && selected(o.Policies, p.name) {
					jobs = append(jobs, job{g, s, p})
				}
			}
		}
	}
	return jobs, nil
}

// validateNames returns an error if a selected name does not exist.
func (o Options) validateNames(all []scenario) error {
	var users, cases, names []string
	for _, g := range graphs() {
		users = append(users, g.name)
	}
	for _, s := range all {
		cases = append(cases, s.name)
	}
	for _, p := range policies() {
		names = append(names, p.name)
	}
	if err := checkNames("user", o.Users, users); err != nil {
		return err
	}
	if err := checkNames("case", o.Cases, cases); err != nil {
		return err
	}
	return checkNames("policy", o.Policies, names)
}

// checkNames returns an error if chosen contains a name that is not in names. kind is
// used in the error.
func checkNames(kind string, chosen, names []string) error {
	for _, name := range chosen {
		if !selected(names, name) {
			return badOption("no " + kind + " " + name + "; there are: " + strings.Join(names, ", "))
		}
	}
	return nil
}

func badOption(detail string) error {
	return outcome.New(outcome.NotRun, outcome.BadRequest, detail)
}

// selected reports whether list contains name. An empty list selects all names.
func selected(list []string, name string) bool {
	for _, item := range list {
		if item == name {
			return true
		}
	}
	return len(list) == 0
}

// replay runs the job and returns its measured result.
func (j job) replay(o Options) (Row, error) {
	arrivals, err := j.arrivals(o)
	if err != nil {
		return Row{}, err
	}
	r := newRun(&j.graph, &j.scenario, j.policy, o.Seed+1)
	r.replay(arrivals)
	return j.measure(r), nil
}

// arrivals returns the recorded arrivals if there are any, otherwise those drawn from
// the seed.
func (j job) arrivals(o Options) ([]arrival, error) {
	if len(o.Arrivals) > 0 {
		return convertArrivals(&j.graph, &j.scenario, o.Arrivals)
	}
	return seededArrivals(&j.graph, &j.scenario, o.Seed), nil
}

// measure computes the row of a finished replay.
func (j job) measure(r *run) Row {
	row := Row{User: j.graph.name, Case: j.scenario.name, Policy: j.policy.name, Roots: len(r.roots)}
	row.WastedWork, row.MaxAttempts = wastedWork(r.roots)
	row.RecoverySeconds = recovery(r.roots, &j.scenario)
	j.measureGoodput(r.roots, &row)
	return row
}

// wastedWork returns the share of self time that was spent on failed requests, and the
// highest number of attempts for one root request.
func wastedWork(roots []*root) (share float64, attempts int) {
	var all, lost time.Duration
	retries := 0
	for _, q := range roots {
		all += q.work
		if !q.good {
			lost += q.work
		}
		retries = max(retries, q.retries)
	}
	return float64(lost) / math.Max(1, float64(all)), retries + 1
}

// binWidth is the interval over which offered requests are compared with capacity.
const binWidth = time.Second

// measureGoodput sets the fields of row that concern the duration of the trigger.
func (j job) measureGoodput(roots []*root, row *Row) {
	offered, good, bestGoodput := map[outcome.Class]float64{}, map[outcome.Class]float64{}, map[outcome.Class]float64{}
	bestInOrder := map[outcome.Class]float64{}
	var latencies []time.Duration
	bins := bins{}
	for _, q := range roots {
		if !j.scenario.measured(q.arrival) {
			continue
		}
		offered[q.spec.class]++
		bins.add(q)
		if q.good {
			good[q.spec.class]++
			latencies = append(latencies, q.latency)
		}
	}
	for _, b := range bins {
		c := capacity{graph: &j.graph, scenario: &j.scenario, at: b.at}
		for class, rate := range c.bestGoodput(b.offered, j.leastShare(c, b.offered)) {
			bestGoodput[class] += rate * binWidth.Seconds()
		}
		for class, rate := range c.bestGoodput(b.offered, 0) {
			bestInOrder[class] += rate * binWidth.Seconds()
		}
	}
	row.setRatios(offered, good, bestGoodput)
	row.CriticalAlone = bestInOrder[outcome.Critical] / math.Max(1, offered[outcome.Critical])
	row.P99Seconds = percentile99(latencies)
}

// leastShare returns the least share that the best plan maintains under the policy.
func (j job) leastShare(c capacity, offered []offer) float64 {
	if j.policy.strictOrder {
		return 0
	}
	return c.leastShare(offered)
}

// bins counts the offered root requests in intervals of binWidth, in order of time.
type bins []bin

// bin holds the rates of the root requests that arrived in one interval.
type bin struct {
	at      time.Duration
	offered []offer
}

// add counts a root request. Requests must be added in order of arrival.
func (b *bins) add(q *root) {
	at := q.arrival.Truncate(binWidth)
	if len(*b) == 0 || (*b)[len(*b)-1].at != at {
		*b = append(*b, bin{at: at})
	}
	last := &(*b)[len(*b)-1]
	for i := range last.offered {
		if last.offered[i].spec == q.spec {
			last.offered[i].rate += 1 / binWidth.Seconds()
			return
		}
	}
	last.offered = append(last.offered, offer{q.spec, 1 / binWidth.Seconds()})
}

// percentile99 returns the 99th percentile in seconds, or 0 if there are no values.
func percentile99(values []time.Duration) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)*99/100].Seconds()
}

// setRatios sets the fields that are ratios of goodput, best goodput and offered
// requests.
func (row *Row) setRatios(offered, good, best map[outcome.Class]float64) {
	row.ByClass, row.BestShare, row.ServedShare = map[string]float64{}, map[string]float64{}, map[string]float64{}
	allGood, allBest, allOffered := 0.0, 0.0, 0.0
	for class := outcome.Critical; class <= outcome.Sheddable; class++ {
		allGood += good[class]
		allBest += best[class]
		allOffered += offered[class]
		if offered[class] > 0 {
			row.BestShare[class.String()] = best[class] / offered[class]
			row.ServedShare[class.String()] = good[class] / offered[class]
		}
		if best[class] >= 1 {
			row.ByClass[class.String()] = good[class] / best[class]
		}
	}
	row.Goodput = allGood / math.Max(1, allBest)
	row.ServedOfAll = allGood / math.Max(1, allOffered)
}

// The recovery time is found with a window of arrivals that is moved in small steps
// from the end of the trigger.
const (
	recoveryWindow = time.Second
	recoveryStep   = 100 * time.Millisecond
	recoveredShare = 0.95
)

// recovery returns the seconds from the end of the trigger to the start of the first
// window in which the share of requests that succeed at the first attempt reaches
// recoveredShare of its value in the second half of warmUp. Requests that succeed at a
// retry do not count, because they say little about the time of their arrival. It
// returns -1 if there is no such window.
func recovery(roots []*root, s *scenario) float64 {
	before := firstAttemptShare(roots, warmUp/2, warmUp)
	last := s.end() + coolDown - callerTimeout - recoveryWindow
	for at := s.end(); at <= last; at += recoveryStep {
		if firstAttemptShare(roots, at, at+recoveryWindow) >= recoveredShare*before {
			return (at - s.end()).Seconds()
		}
	}
	return -1
}

// firstAttemptShare returns the share of requests that succeed at the first attempt
// among those that arrive at or after from and before to.
func firstAttemptShare(roots []*root, from, to time.Duration) float64 {
	all, good := 0.0, 0.0
	for _, q := range roots {
		if q.arrival < from || q.arrival >= to {
			continue
		}
		all++
		if q.good && q.callerRetries == 0 {
			good++
		}
	}
	return good / math.Max(1, all)
}
