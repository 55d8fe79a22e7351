package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind uint8

// Kinds of faults. The comment after each says what the step's fields hold
// besides the victim.
const (
	// NodeKill kills a node process and starts it again after For.
	NodeKill Kind = iota
	// NodePause stops a node process from running for For.
	NodePause
	// NodeStop asks a node to stop, waits for its end and starts it again.
	NodeStop
	// NodeReload sends SIGHUP.
	NodeReload
	// NodeClockBack restarts a node whose clock was an hour ahead before.
	NodeClockBack
	// ClientLink, PeerLink, TargetLink and StoreLink put Link on a link for For.
	ClientLink
	PeerLink
	TargetLink
	StoreLink
	// StoreDown, StoreSlow and StoreLosesResponses last for For.
	StoreDown
	StoreSlow
	StoreLosesResponses
	// TargetCrash ends a target; after For a new life starts at its address.
	TargetCrash
	// TargetRestart ends a target; its next life has the same id.
	TargetRestart
	// TargetDrain announces that the target leaves, waits, ends it and starts a
	// new life.
	TargetDrain
	// TargetSlow and TargetFaulty last for For.
	TargetSlow
	TargetFaulty
	// ConfigChange replaces the routes of one generation by those of the next.
	ConfigChange
	kindCount

	// RunnerStalled is a time in which the soak's own process did not run, so that
	// clients, targets and links stood still. It is measured, not drawn.
	RunnerStalled
)

// String returns the name of the kind.
func (k Kind) String() string {
	if k == RunnerStalled {
		return "runner stalled"
	}
	return [...]string{
		"node killed", "node paused", "node stopped", "node reloads", "node with its clock back",
		"link of clients", "link of nodes", "link of the target", "link of the store",
		"store down", "store slow", "store loses answers",
		"target crashes", "target restarts", "target drains", "target slow", "target faulty", "configuration changes",
	}[k]
}

// Planned tells whether the kind is planned work, which must cut no request.
func (k Kind) Planned() bool {
	return k == NodeStop || k == NodeReload || k == TargetDrain || k == ConfigChange
}

// Step is one entry of a schedule.
type Step struct {
	At   time.Duration
	Kind Kind
	// VM is the index of the VM that is struck.
	VM   int
	For  time.Duration
	Link LinkFault
}

// String describes the step.
func (s Step) String() string {
	text := fmt.Sprintf("%6.2fs %s, VM %d, for %.2fs", s.At.Seconds(), s.Kind, s.VM+1, s.For.Seconds())
	if s.Link != LinkHealthy {
		text += ", " + s.Link.String()
	}
	return text
}

const (
	// calmStart is the time before the first fault.
	initialDelay = 2 * time.Second
	// meanGap is the mean time between two series of faults.
	meanGap = 900 * time.Millisecond
	// shortestFault and longestFault bound the length of a fault.
	minFault = 200 * time.Millisecond
	maxFault = 3500 * time.Millisecond
	// seriesShare is one over the share of faults that come again on several VMs
	// in short succession.
	seriesOneIn = 4
	// seriesGap is the longest time between two steps of a series.
	maxSeriesGap = 600 * time.Millisecond
)

// plannedShare is one over the share of schedules that hold planned work and faults
// of the store only. Rules about planned work do not bind while anything else is
// wrong.
const plannedOneIn = 3

// drawable returns the kinds that one schedule draws from.
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

// Plan draws a schedule for the VMs: faults from calmStart on, the last of which
// ends at the length at the latest.
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

// clip orders the steps and ends them with the schedule.
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
