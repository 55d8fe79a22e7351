package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/primrosemount/primrosemount/internal/standin/logservice"
)

// Options configures one run.
type Options struct {
	// Binary is the path of the primrosemount executable.
	Binary string
	// Folder is the directory to which settings, logs, the schedule and findings
	// are written.
	Folder string
	Seed   uint64
	// VMs is the number of VMs, at least 2.
	VMs int
	// Clients is the number of clients on each VM.
	Clients int
	// Faults is the length of the schedule of faults. Calm is how long the load
	// continues without faults once RecoveryBound has passed.
	Faults time.Duration
	Calm   time.Duration
	// Sabotage applies LinkDuplicate to the links to targets for the whole run, to
	// show that the checks find a real violation.
	Sabotage bool
	// Returns adds returns of the store from copies to the schedule.
	Returns bool
	// Drains adds drains beside late announcements and kills to the schedule.
	Drains bool
	// Accounts adds client accounts to the configuration, and steps that concern them to
	// the schedule.
	Accounts bool
}

// Report is the result of one run.
type Report struct {
	Seed     uint64
	Steps    []Step
	Attempts int
	Served   int
	Arrivals int
	// Unauthorized and OverQuota count the requests that were refused for their key and
	// for the quota of their account.
	Unauthorized, OverQuota int
	// PeakMB is the peak resident memory of any node process, in MiB.
	PeakMB int
	// Stall is the longest time for which the soak process itself did not run.
	Stall    time.Duration
	Findings []Finding
}

// run is a soak run in progress.
type run struct {
	options Options
	history *History
	fleet   *fleet
	// stepGroup waits for the steps of the schedule.
	stepGroup sync.WaitGroup
	// mutex guards runErrors, the errors of the soak itself as opposed to violations
	// by the nodes. They become findings of the rule SOAK.
	mutex     sync.Mutex
	runErrors []string
	// surges counts the surges, so that the ids of their requests are unique.
	surges atomic.Int32
}

// Run runs the schedule of one seed under load, writes schedule.txt, and writes
// findings.txt if a guarantee was violated.
func Run(o Options) (*Report, error) {
	history := &History{}
	f, err := newFleet(o, history)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &run{options: o, history: history, fleet: f}
	steps := Plan(o.Seed, o.VMs, o.Faults)
	if o.Returns {
		steps = PlanReturns(steps, o.Seed, o.Faults)
	}
	if o.Drains {
		steps = PlanDrains(steps, o.Seed, o.VMs, o.Faults)
	}
	if o.Accounts {
		steps = PlanAccounts(steps, o.Seed, o.Faults)
	}
	if err := r.writeSchedule(steps); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	if err := f.start(done); err != nil {
		close(done)
		return nil, err
	}
	load := r.load(done)
	load.Go(func() { history.recordStalls(done) })
	started := time.Now()
	r.play(steps, started)
	r.endFaults()
	time.Sleep(RecoveryBound + o.Calm)
	close(done)
	load.Wait()
	r.checkMemory()
	if err := r.checkLogs(); err != nil {
		return nil, err
	}
	report := r.report(steps)
	return report, r.writeFindings(report)
}

// load starts the clients and probes, which run until done is closed.
func (r *run) load(done <-chan struct{}) *sync.WaitGroup {
	load := &sync.WaitGroup{}
	for _, v := range r.fleet.vms {
		for n := range r.options.Clients {
			c := r.newClient(v, fmt.Sprintf("c%d-%d", v.index+1, n), n)
			load.Go(func() { c.run(done) })
		}
		slow := &slowReader{client: *r.newClient(v, fmt.Sprintf("%s%d", slowReaderPrefix, v.index+1), r.options.Clients)}
		load.Go(func() { slow.run(done) })
		p := &probe{vm: v, fleet: r.fleet, history: r.history}
		load.Go(func() { p.run(done) })
	}
	return load
}

// newClient returns a client of the VM with a stream of random numbers of its own.
func (r *run) newClient(v *vm, name string, number int) *client {
	return &client{
		vm: v, keys: r.fleet.keys, history: r.history, name: name,
		random: rand.New(rand.NewPCG(r.options.Seed, uint64(v.index*1000+number))),
	}
}

// play starts each step at its scheduled time and waits until all have ended.
func (r *run) play(steps []Step, started time.Time) {
	if r.options.Sabotage {
		for _, v := range r.fleet.vms {
			v.toTarget.set(LinkDuplicate)
		}
	}
	for _, step := range steps {
		time.Sleep(time.Until(started.Add(step.At)))
		r.stepGroup.Go(func() { r.step(step) })
	}
	time.Sleep(time.Until(started.Add(r.options.Faults)))
	r.stepGroup.Wait()
}

// step runs one step of the schedule and records it as a disturbance.
func (r *run) step(s Step) {
	v := r.fleet.vms[s.VM]
	affected := s.VM
	switch s.Kind {
	case StoreDown, StoreSlow, StoreLosesResponses, StoreReturns, ConfigChange,
		AccountSurge, KeyAdded, KeyRemoved, QuotaLowered, QuotaRestored, NodesKilled:
		affected = allVMs
	}
	defer r.history.beginDisturbance(s.Kind, affected)()
	var err error
	switch s.Kind {
	case NodeKill, NodePause, NodeStop, NodeReload, NodeClockBack:
		err = r.stepNode(s, v.node)
	case ClientLink:
		applyLinkFault(v.clients, s)
	case PeerLink:
		applyLinkFault(v.peers, s)
	case TargetLink:
		applyLinkFault(v.toTarget, s)
	case StoreLink:
		applyLinkFault(v.toStore, s)
	case StoreDown, StoreSlow, StoreLosesResponses:
		r.stepStore(s)
	case StoreReturns:
		err = r.returnStore(s)
	case ConfigChange:
		err = r.fleet.configure()
	case KeyAdded, KeyRemoved, QuotaLowered, QuotaRestored:
		err = r.fleet.configureAccount(s)
	case AccountSurge:
		r.surge(s)
	case NodesKilled:
		err = r.killAll(s.For)
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
	r.runErrors = append(r.runErrors, fmt.Sprintf(format, values...))
}

func applyLinkFault(p *proxy, s Step) {
	p.set(s.Link)
	time.Sleep(s.For)
	p.set(LinkHealthy)
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
		if err := r.fleet.storeFutureIncarnation(n.vm); err != nil && !r.storeFaultActive() {
			return err
		}
		return n.start()
	default:
		n.kill()
		time.Sleep(s.For)
		return n.start()
	}
}

// storeFaultActive reports whether a fault of the store, or of a link to it, is
// active, so that writes may fail.
func (r *run) storeFaultActive() bool {
	now := time.Now()
	r.history.mutex.Lock()
	defer r.history.mutex.Unlock()
	return !r.history.noDisturbance(now, now, func(d *Disturbance) bool { return d.Kind.affectsStore() })
}

// storeDelay is the extra latency of each request to a slow store.
const storeDelay = 400 * time.Millisecond

func (r *run) stepStore(s Step) {
	faults := logservice.Faults{
		Down:                s.Kind == StoreDown,
		LoseAppendResponses: s.Kind == StoreLosesResponses,
	}
	if s.Kind == StoreSlow {
		faults.Delay = storeDelay
	}
	r.fleet.store.SetFaults(faults)
	time.Sleep(s.For)
	r.fleet.store.SetFaults(logservice.Faults{})
}

// returnStore lets the store return from a copy: it loses what it takes in the first half
// of the step, is away for a quarter, and the operator writes again after the rest.
func (r *run) returnStore(s Step) error {
	saved := r.fleet.store.Copy()
	time.Sleep(s.For / 2)
	r.fleet.store.SetFaults(logservice.Faults{Down: true})
	time.Sleep(s.For / 4)
	r.fleet.store.Restore(saved)
	r.fleet.store.SetFaults(logservice.Faults{})
	time.Sleep(s.For / 4)
	return r.fleet.configureAgain()
}

func (r *run) stepTarget(s Step, t *target) error {
	switch s.Kind {
	case TargetSlow, TargetFaulty:
		t.set(s.Kind, true)
		time.Sleep(s.For)
		t.set(s.Kind, false)
		return nil
	case TargetDrain:
		return t.drain(s.For > (minFault+maxFault)/2)
	case TargetLeavesEarly:
		return t.leaveEarly(s.For)
	case TargetRestart:
		t.stop()
		return t.start(true)
	default:
		t.stop()
		time.Sleep(s.For)
		return t.start(false)
	}
}

// endFaults ends all faults, starts the nodes and targets that are not running, and
// records the time.
func (r *run) endFaults() {
	r.fleet.store.SetFaults(logservice.Faults{})
	for _, v := range r.fleet.vms {
		for _, link := range v.links() {
			link.set(LinkHealthy)
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
	r.history.FaultsEnded = time.Now()
}

// checkMemory records the nodes whose peak memory exceeded memoryMB.
func (r *run) checkMemory() {
	for _, v := range r.fleet.vms {
		v.node.signal(0, false)
		if v.node.peakKB > memoryMB<<10 {
			r.history.unexpectedExit(fmt.Sprintf("the node of %s used %d KB of %d MB", v.name, v.node.peakKB, memoryMB))
		}
	}
}

func (r *run) report(steps []Step) *Report {
	report := &Report{Seed: r.options.Seed, Steps: steps, Findings: Check(r.history)}
	for _, text := range r.runErrors {
		report.Findings = append(report.Findings, Finding{Rule: "SOAK", Text: text})
	}
	report.Stall = r.history.maxStall()
	report.Attempts, report.Arrivals = len(r.history.Attempts), len(r.history.Arrivals)
	for _, a := range r.history.Attempts {
		switch {
		case a.Status/100 == 2:
			report.Served++
		case a.Status == http.StatusUnauthorized:
			report.Unauthorized++
		case a.Status == http.StatusTooManyRequests:
			report.OverQuota++
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

// writeFindings writes each finding with the timeline of its request, followed by
// all disturbances.
func (r *run) writeFindings(report *Report) error {
	if len(report.Findings) == 0 {
		return nil
	}
	var text strings.Builder
	for _, f := range report.Findings {
		fmt.Fprintln(&text, f)
		for _, line := range r.history.timeline(f.Request) {
			fmt.Fprintln(&text, "   ", line)
		}
	}
	for _, d := range r.history.Disturbances {
		fmt.Fprintf(&text, "%s to %s: %s, VM %d\n", formatTime(d.From), formatTime(d.To), d.Kind, d.VM+1)
	}
	return os.WriteFile(filepath.Join(r.options.Folder, "findings.txt"), []byte(text.String()), 0o600)
}

// timeline returns one line for each time that the request was sent and for each
// time that it reached a target.
func (h *History) timeline(id string) []string {
	if id == "" {
		return nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var lines []string
	for _, a := range h.Attempts {
		if a.ID == id {
			lines = append(lines, fmt.Sprintf("%s sent to VM %d (incarnation %d), %s: status %d, connected %t, gave up %t", formatTime(a.Sent), a.VM+1, a.Incarnation, formatTime(a.Ended), a.Status, !a.Unconnected, a.GaveUp))
		}
	}
	for _, a := range h.Arrivals {
		if a.ID == id {
			lines = append(lines, fmt.Sprintf("%s reached %s on VM %d with %s left, ran %t", formatTime(a.At), a.TargetID, a.VM+1, a.Deadline, a.Ran))
		}
	}
	return lines
}

func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }
