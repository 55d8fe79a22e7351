package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/primrosemount/primrosemount/internal/standin/logservice"
)

// Options configure one run.
type Options struct {
	// Binary is the program primrosemount.
	Binary string
	// Folder takes settings, logs, schedule and findings.
	Folder string
	Seed   uint64
	// VMs is the number of VMs, at least 2.
	VMs int
	// Clients is the number of clients on each VM.
	Clients int
	// Faults is the time in which faults begin; Calm is the time of load after
	// the fleet has had RecoveryBound to recover.
	Faults time.Duration
	Calm   time.Duration
	// Sabotage puts LinkTwice on the links to targets, which the checks have to
	// find.
	Sabotage bool
}

// Report is the outcome of one run.
type Report struct {
	Seed     uint64
	Steps    []Step
	Attempts int
	Served   int
	Arrivals int
	// PeakMB is the largest memory of a node process.
	PeakMB int
	// Stall is the longest time in which the soak's own process did not run.
	Stall    time.Duration
	Findings []Finding
}

// run is one soak that runs.
type run struct {
	options Options
	history *History
	fleet   *fleet
	// work waits for the steps.
	work sync.WaitGroup
	// failed collects errors of the soak itself.
	mutex  sync.Mutex
	failed []string
}

// Run plays one seed.
func Run(o Options) (*Report, error) {
	history := &History{}
	f, err := newFleet(o, history)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &run{options: o, history: history, fleet: f}
	steps := Plan(o.Seed, o.VMs, o.Faults)
	if err := r.writeSchedule(steps); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	if err := f.start(done); err != nil {
		close(done)
		return nil, err
	}
	load := r.load(done)
	load.Go(func() { history.watchStalls(done) })
	started := time.Now()
	r.play(steps, started)
	r.heal()
	time.Sleep(RecoveryBound + o.Calm)
	close(done)
	load.Wait()
	r.checkMemory()
	report := r.report(steps)
	return report, r.writeFindings(report)
}

// load starts clients and probes.
func (r *run) load(done <-chan struct{}) *sync.WaitGroup {
	load := &sync.WaitGroup{}
	for _, v := range r.fleet.vms {
		for n := range r.options.Clients {
			c := &client{
				vm: v, history: r.history, name: fmt.Sprintf("c%d-%d", v.index+1, n),
				random: rand.New(rand.NewPCG(r.options.Seed, uint64(v.index*1000+n))),
			}
			load.Go(func() { c.run(done) })
		}
		p := &probe{vm: v, fleet: r.fleet, history: r.history}
		load.Go(func() { p.run(done) })
	}
	return load
}

// play starts each step at its time and waits for the last to end.
func (r *run) play(steps []Step, started time.Time) {
	if r.options.Sabotage {
		for _, v := range r.fleet.vms {
			v.toTarget.set(LinkTwice)
		}
	}
	for _, step := range steps {
		time.Sleep(time.Until(started.Add(step.At)))
		r.work.Go(func() { r.step(step) })
	}
	time.Sleep(time.Until(started.Add(r.options.Faults)))
	r.work.Wait()
}

// step plays one entry of the schedule.
func (r *run) step(s Step) {
	v := r.fleet.vms[s.VM]
	struck := s.VM
	if s.Kind == StoreDown || s.Kind == StoreSlow || s.Kind == StoreLosesAnswers || s.Kind == ConfigChange {
		struck = allVMs
	}
	defer r.history.disturb(s.Kind, struck)()
	var err error
	switch s.Kind {
	case NodeKill, NodePause, NodeStop, NodeReload, NodeClockBack:
		err = r.stepNode(s, v.node)
	case ClientLink:
		hold(v.clients, s)
	case PeerLink:
		hold(v.peers, s)
	case TargetLink:
		hold(v.toTarget, s)
	case StoreLink:
		hold(v.toStore, s)
	case StoreDown, StoreSlow, StoreLosesAnswers:
		r.stepStore(s)
	case ConfigChange:
		err = r.fleet.configure()
	default:
		err = r.stepTarget(s, v.target)
	}
	if err != nil {
		r.fail("%s: %v", s, err)
	}
}

func (r *run) fail(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failed = append(r.failed, fmt.Sprintf(format, values...))
}

func hold(p *proxy, s Step) {
	p.set(s.Link)
	time.Sleep(s.For)
	p.set(LinkSound)
}

func (r *run) stepNode(s Step, n *node) error {
	switch s.Kind {
	case NodePause:
		n.signal(syscall.SIGSTOP, false)
		time.Sleep(s.For)
		n.signal(syscall.SIGCONT, false)
		return nil
	case NodeReload:
		n.signal(syscall.SIGHUP, false)
		return nil
	case NodeStop:
		n.stop(gracePeriod)
		return n.start()
	case NodeClockBack:
		n.kill()
		if err := r.fleet.leaveLaterLife(n.vm); err != nil && !r.storeTroubled() {
			return err
		}
		return n.start()
	default:
		n.kill()
		time.Sleep(s.For)
		return n.start()
	}
}

// storeTroubled tells whether the store refuses writes by schedule.
func (r *run) storeTroubled() bool {
	now := time.Now()
	r.history.mutex.Lock()
	defer r.history.mutex.Unlock()
	return !r.history.calm(now, now, func(d *Disturbance) bool { return d.Kind.ofStore() })
}

// storeDelay is the time that a slow store takes.
const storeDelay = 400 * time.Millisecond

func (r *run) stepStore(s Step) {
	faults := logservice.Faults{
		Down:                s.Kind == StoreDown,
		LoseAppendResponses: s.Kind == StoreLosesAnswers,
	}
	if s.Kind == StoreSlow {
		faults.Delay = storeDelay
	}
	r.fleet.store.SetFaults(faults)
	time.Sleep(s.For)
	r.fleet.store.SetFaults(logservice.Faults{})
}

func (r *run) stepTarget(s Step, t *target) error {
	switch s.Kind {
	case TargetSlow, TargetFaulty:
		t.set(s.Kind, true)
		time.Sleep(s.For)
		t.set(s.Kind, false)
		return nil
	case TargetDrain:
		return t.drain(s.For > (shortestFault+longestFault)/2)
	case TargetRestart:
		t.stop()
		return t.start(true)
	default:
		t.stop()
		time.Sleep(s.For)
		return t.start(false)
	}
}

// heal ends all faults and notes when that was.
func (r *run) heal() {
	r.fleet.store.SetFaults(logservice.Faults{})
	for _, v := range r.fleet.vms {
		for _, link := range v.links() {
			link.set(LinkSound)
		}
		v.node.signal(syscall.SIGCONT, false)
		if err := v.node.start(); err != nil {
			r.fail("%s: %v", v.name, err)
		}
		if err := v.target.start(false); err != nil {
			r.fail("%s: %v", v.name, err)
		}
	}
	r.history.mutex.Lock()
	defer r.history.mutex.Unlock()
	r.history.Healed = time.Now()
}

// checkMemory notes nodes that used more than they may.
func (r *run) checkMemory() {
	for _, v := range r.fleet.vms {
		v.node.signal(0, false)
		if v.node.peakKB > memoryMB<<10 {
			r.history.endedByItself(fmt.Sprintf("the node of %s used %d KB of %d MB", v.name, v.node.peakKB, memoryMB))
		}
	}
}

func (r *run) report(steps []Step) *Report {
	report := &Report{Seed: r.options.Seed, Steps: steps, Findings: Check(r.history)}
	for _, text := range r.failed {
		report.Findings = append(report.Findings, Finding{Rule: "SOAK", Text: text})
	}
	report.Stall = r.history.longestStall()
	report.Attempts, report.Arrivals = len(r.history.Attempts), len(r.history.Arrivals)
	for _, a := range r.history.Attempts {
		if a.Status/100 == 2 {
			report.Served++
		}
	}
	for _, v := range r.fleet.vms {
		report.PeakMB = max(report.PeakMB, v.node.peakKB>>10)
	}
	return report
}

func (r *run) writeSchedule(steps []Step) error {
	var text strings.Builder
	for _, step := range steps {
		fmt.Fprintln(&text, step)
	}
	return os.WriteFile(filepath.Join(r.options.Folder, "schedule.txt"), []byte(text.String()), 0o600)
}

// writeFindings writes each finding with what is known of its request.
func (r *run) writeFindings(report *Report) error {
	if len(report.Findings) == 0 {
		return nil
	}
	var text strings.Builder
	for _, f := range report.Findings {
		fmt.Fprintln(&text, f)
		for _, line := range r.history.story(f.Request) {
			fmt.Fprintln(&text, "   ", line)
		}
	}
	for _, d := range r.history.Disturbances {
		fmt.Fprintf(&text, "%s to %s: %s, VM %d\n", clock(d.From), clock(d.To), d.Kind, d.VM+1)
	}
	return os.WriteFile(filepath.Join(r.options.Folder, "findings.txt"), []byte(text.String()), 0o600)
}

// story returns what senders and targets saw of a request.
func (h *History) story(id string) []string {
	if id == "" {
		return nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var lines []string
	for _, a := range h.Attempts {
		if a.ID == id {
			lines = append(lines, fmt.Sprintf("%s sent to VM %d (life %d), %s: status %d, connected %t, gave up %t", clock(a.Sent), a.VM+1, a.Life, clock(a.Ended), a.Status, !a.Unconnected, a.GaveUp))
		}
	}
	for _, a := range h.Arrivals {
		if a.ID == id {
			lines = append(lines, fmt.Sprintf("%s reached %s on VM %d with %s left, ran %t", clock(a.At), a.TargetID, a.VM+1, a.Deadline, a.Ran))
		}
	}
	return lines
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }
