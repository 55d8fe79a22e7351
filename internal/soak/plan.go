package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind uint8

// Kinds of steps. The comments state which fields of the step the kind uses besides
// VM.
const (
	// NodeKill kills a node process and starts it again after For.
	NodeKill Kind = iota
	// NodePause suspends a node process (SIGSTOP) for For.
	NodePause
	// NodeStop stops a node with SIGTERM, waits until it exits and starts it again.
	NodeStop
	// NodeReload sends SIGHUP to a node.
	NodeReload
	// NodeClockBack kills and restarts a node whose earlier incarnation appears to
	// have had a clock that was an hour ahead.
	NodeClockBack
	// ClientLink, PeerLink, TargetLink and StoreLink apply the fault Link to a link
	// of the node for For.
	ClientLink
	PeerLink
	TargetLink
	StoreLink
	// StoreDown, StoreSlow and StoreLosesResponses last for For.
	StoreDown
	StoreSlow
	StoreLosesResponses
	// TargetCrash stops a target abruptly; after For a new incarnation with a new id
	// starts at its address.
	TargetCrash
	// TargetRestart stops a target abruptly and starts an incarnation with the same
	// id.
	TargetRestart
	// TargetDrain announces that the target drains, waits, stops it and starts a new
	// incarnation. If For is in the upper half of its range, the target calls Leave
	// at once instead of announcing the draining state first.
	TargetDrain
	// TargetSlow and TargetFaulty last for For.
	TargetSlow
	TargetFaulty
	// ConfigChange replaces the routes of one generation with those of the next.
	ConfigChange
	kindCount

	// RunnerStalled is a period in which the soak process itself did not run, so that
	// clients, targets and proxies made no progress. It is measured, not scheduled.
	RunnerStalled
	// StoreReturns makes the store return from a copy. For is divided among the time in
	// which the store takes writes that it loses, an outage, and the time until the
	// operator writes the newest configuration again. It is drawn by PlanReturns, so
	// that the schedules of earlier seeds stay as they are.
	StoreReturns
	// AccountSurge makes the clients of Account send many times their usual load for
	// For. KeyAdded, KeyRemoved, QuotaLowered and QuotaRestored change Account in a new
	// version of the configuration. They are drawn by PlanAccounts.
	AccountSurge
	KeyAdded
	KeyRemoved
	QuotaLowered
	QuotaRestored
	// TargetLeavesEarly replaces a target by one that leaves before its first
	// announcements arrive, which are up to For late. NodesKilled kills all nodes at once
	// and starts them again after For. They are drawn by PlanDrains.
	TargetLeavesEarly
	NodesKilled
)

// ofAccounts reports whether the kind concerns client accounts.
func (k Kind) ofAccounts() bool { return k >= AccountSurge && k <= QuotaRestored }

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case RunnerStalled:
		return "runner stalled"
	case StoreReturns:
		return "store returns from a copy"
	case TargetLeavesEarly:
		return "target leaves before its announcements"
	case NodesKilled:
		return "all nodes killed"
	}
	if k.ofAccounts() {
		return [...]string{"account surges", "key added", "key removed", "quota lowered", "quota restored"}[k-AccountSurge]
	}
	return [...]string{
		"node killed", "node paused", "node stopped", "node reloads", "node with its clock back",
		"link of clients", "link of nodes", "link of the target", "link of the store",
		"store down", "store slow", "store loses answers",
		"target crashes", "target restarts", "target drains", "target slow", "target faulty", "configuration changes",
	}[k]
}

// Planned reports whether the kind is planned work, during which no request may be
// lost.
func (k Kind) Planned() bool {
	return k == NodeStop || k == NodeReload || k == TargetDrain || k == ConfigChange || k.ofAccounts()
}

// Step is one step of a schedule.
type Step struct {
	At   time.Duration
	Kind Kind
	// VM is the index of the affected VM.
	VM   int
	For  time.Duration
	Link LinkFault
	// Account is the index of the affected client account.
	Account int
}

// String returns a one-line description of the step.
func (s Step) String() string {
	text := fmt.Sprintf("%6.2fs %s, VM %d, for %.2fs", s.At.Seconds(), s.Kind, s.VM+1, s.For.Seconds())
	if s.Kind.ofAccounts() {
		text = fmt.Sprintf("%6.2fs %s, account %s, for %.2fs", s.At.Seconds(), s.Kind, accountNames[s.Account], s.For.Seconds())
	}
	if s.Link != LinkHealthy {
		text += ", " + s.Link.String()
	}
	return text
}

const (
	// initialDelay is the time before the first fault.
	initialDelay = 2 * time.Second
	// meanGap is the mean time between the starts of two faults or series of faults.
	meanGap = 900 * time.Millisecond
	// minFault and maxFault bound the duration of a fault.
	minFault = 200 * time.Millisecond
	maxFault = 3500 * time.Millisecond
	// One in seriesOneIn faults is repeated in short succession on random VMs.
	seriesOneIn = 4
	// maxSeriesGap is the maximum time between two steps of a series.
	maxSeriesGap = 600 * time.Millisecond
)

// One in plannedOneIn schedules holds only planned work and faults of the store. The
// rules about planned work do not apply while any other fault is active.
const plannedOneIn = 3

// drawKinds draws the set of kinds that one schedule uses.
func drawKinds(r *rand.Rand) []Kind {
	planned := r.IntN(plannedOneIn) == 0
	var list []Kind
	for k := range kindCount {
		if !planned || k.Planned() || k.affectsStore() {
			list = append(list, k)
		}
	}
	return list
}

// Plan draws a schedule from the seed. The first fault starts at initialDelay, and all
// faults are scheduled to end within length.
func Plan(seed uint64, vms int, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, uint64(vms)))
	from := drawKinds(r)
	var steps []Step
	for at := initialDelay; at < length-minFault; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		first := drawStep(r, from, at, vms)
		steps = append(steps, first)
		if r.IntN(seriesOneIn) > 0 {
			continue
		}
		next := first
		for range r.IntN(vms) {
			next.At += time.Duration(r.Int64N(int64(maxSeriesGap)))
			next.VM = r.IntN(vms)
			steps = append(steps, next)
		}
	}
	return clip(steps, length)
}

const (
	// One in returnsOneIn schedules has returns of the store from copies, up to
	// maxReturns of them.
	returnsOneIn = 2
	maxReturns   = 3
	// returnsStream is the stream of random numbers of PlanReturns.
	returnsStream = 44
)

// PlanReturns draws the returns of the store from copies that a seed adds to a schedule,
// and returns both in order.
func PlanReturns(steps []Step, seed uint64, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, returnsStream))
	if r.IntN(returnsOneIn) > 0 {
		return steps
	}
	for range 1 + r.IntN(maxReturns) {
		at := initialDelay + time.Duration(r.Int64N(int64(length-initialDelay-minFault)))
		steps = append(steps, Step{At: at, Kind: StoreReturns, For: minFault + time.Duration(r.Int64N(int64(maxFault-minFault)))})
	}
	return clip(steps, length)
}

func drawStep(r *rand.Rand, from []Kind, at time.Duration, vms int) Step {
	step := Step{
		At: at, Kind: from[r.IntN(len(from))], VM: r.IntN(vms),
		For: minFault + time.Duration(r.Int64N(int64(maxFault-minFault))),
	}
	switch step.Kind {
	case ClientLink, PeerLink, TargetLink, StoreLink:
		step.Link = drawLinkFault(r)
	}
	return step
}

// clip drops steps that start after length, shortens those that end after it, and
// sorts the steps by start time.
func clip(steps []Step, length time.Duration) []Step {
	kept := steps[:0]
	for _, step := range steps {
		if step.At < length {
			step.For = min(step.For, length-step.At)
			kept = append(kept, step)
		}
	}
	slices.SortStableFunc(kept, func(a, b Step) int { return int(a.At - b.At) })
	return kept
}
