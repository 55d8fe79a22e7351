package control

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/catalogue"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/streamlog"
)

// edit is the input of an operation in a history: a change of the entry of a
// service, based on a revision.
type edit struct {
	service string
	base    uint64
	remove  bool
}

// decision is the output of an operation.
type decision struct {
	accepted bool
	revision uint64
}

// entryState is the state of one entry in the model. A change is accepted if and
// only if its base is the current revision and it does not remove an absent entry.
type entryState struct {
	revision uint64
	deleted  bool
}

var editModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byService := map[string][]porcupine.Operation{}
		for _, op := range history {
			service := op.Input.(edit).service
			byService[service] = append(byService[service], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byService {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return entryState{} },
	Step: func(state, input, output any) (bool, any) {
		entry, in, out := state.(entryState), input.(edit), output.(decision)
		absent := entry.deleted || entry.revision == 0
		if !out.accepted {
			return in.base != entry.revision || (in.remove && absent), entry
		}
		legal := in.base == entry.revision && out.revision > entry.revision && !(in.remove && absent)
		return legal, entryState{revision: out.revision, deleted: in.remove}
	},
}

// attempt is one submitted change and the result that its operator received.
type attempt struct {
	change    *pb.Change
	call, end time.Time
	result    *pb.ChangeResult
	err       error
}

// editorPool submits changes of several operators concurrently.
type editorPool struct {
	f        *fleet
	mu       sync.Mutex
	attempts []attempt
	ids      uint64
	stop     bool
}

// next returns the next change id and whether to submit another change.
func (e *editorPool) next() (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ids++
	return e.ids, !e.stop
}

func (e *editorPool) run(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	for {
		id, more := e.next()
		if !more {
			return
		}
		nodes := e.f.nodes()
		e.submit(rng, nodes[rng.IntN(len(nodes))].control, id)
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
	}
}

func (e *editorPool) submit(rng *rand.Rand, control *Control, id uint64) {
	service := fmt.Sprintf("service-%d", rng.IntN(3))
	view := control.Snapshot().Catalogue
	change := entryChange(id, service, "ops", view.Revision(service), uint32(id))
	if _, present := view.Service(service); present && rng.IntN(4) == 0 {
		change.Entry = nil
	}
	ctx, cancel := context.WithTimeout(e.f.t.Context(), time.Duration(1+rng.IntN(8))*time.Second)
	defer cancel()
	a := attempt{change: change, call: time.Now()}
	a.result, a.err = control.Submit(ctx, change)
	a.end = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = append(e.attempts, a)
}

// injectFaults makes the log and nodes fail at random for the duration d.
func (f *fleet) injectFaults(d time.Duration, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 6))
	until := time.Now().Add(d)
	for time.Now().Before(until) {
		address := fakeMember(rng.IntN(8), f.zones, 1).GetNodeAddress()
		switch rng.IntN(4) {
		case 0:
			f.log.update(func() { f.log.down = true })
		case 1:
			f.log.update(func() { f.log.delay = 2 * time.Second })
		case 2:
			f.net.setPaused(address, true)
		case 3:
			i := rng.IntN(8)
			f.stop(i)
			f.start(i)
		}
		time.Sleep(time.Duration(500+rng.IntN(5000)) * time.Millisecond)
		f.log.update(func() { f.log.down = false; f.log.delay = 100 * time.Millisecond })
		f.net.setPaused(address, false)
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	}
}

// checkMonotonic fails the test if a position or a revision decreases at a running
// node.
func (f *fleet) checkMonotonic(stop <-chan struct{}) {
	type seen struct{ position, revision uint64 }
	last := map[*Control]seen{}
	for {
		for _, node := range f.nodes() {
			view := node.control.Snapshot()
			now := seen{view.CataloguePosition, view.Catalogue.Revision("service-0")}
			if now.position < last[node.control].position || now.revision < last[node.control].revision {
				f.t.Errorf("the state moved back from %v to %v", last[node.control], now)
			}
			last[node.control] = now
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// runConcurrentEdits runs concurrent edits with lost responses, a slow or
// unavailable log, and paused and restarted nodes. It returns the attempts of the
// operators and the final catalogue.
func runConcurrentEdits(t *testing.T, seed uint64) ([]attempt, *catalogue.State) {
	var attempts []attempt
	final := catalogue.NewState()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.log = newFakeLog(seed)
		f.log.lossRate = 0.3
		f.log.maxRetained = 50
		f.log.maxAppendRate = 20
		defer f.stopAll()
		for i := range 8 {
			f.start(i)
		}
		time.Sleep(15 * time.Second)
		e := &editorPool{f: f}
		var wait sync.WaitGroup
		for i := range uint64(6) {
			wait.Go(func() { e.run(seed*100 + i) })
		}
		stop := make(chan struct{})
		wait.Go(func() { f.checkMonotonic(stop) })
		f.injectFaults(2*time.Minute, seed)
		e.mu.Lock()
		e.stop = true
		e.mu.Unlock()
		close(stop)
		wait.Wait()
		f.log.update(func() { f.log.lossRate = 0 })
		time.Sleep(30 * time.Second)
		f.waitForSpread()
		f.requireAgreement(8)
		attempts = e.attempts
		for i, data := range f.log.stream(streamlog.CatalogueStream).history {
			_, err := final.Apply(uint64(i), data)
			require.NoError(t, err)
		}
		for _, service := range final.Snapshot().Services() {
			require.Equal(t, final.Snapshot().Revision(service), f.nodes()[0].control.Snapshot().Catalogue.Revision(service))
		}
	})
	return attempts, final
}

// spreadBound is the time within which a record reaches every node.
const spreadBound = 3 * time.Second

// waitForSpread waits until the last record, which may be a checkpoint that a node has
// just written, has had the time to reach every node.
func (f *fleet) waitForSpread() {
	for {
		var last time.Time
		f.log.update(func() { last = f.log.lastAppend })
		if time.Since(last) >= spreadBound {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// operations converts attempts into a history. A change with a result unknown to
// its operator is concurrent with all later ones if it was written to the log, and
// is left out otherwise.
func operations(t *testing.T, attempts []attempt, final *catalogue.State) []porcupine.Operation {
	var history []porcupine.Operation
	for i, a := range attempts {
		result, written := final.Result(a.change.GetId())
		end := a.end.UnixNano()
		switch {
		case a.err == nil:
			require.True(t, written)
			require.Equal(t, result.GetAccepted(), a.result.GetAccepted())
			result = a.result
		case errors.Is(a.err, ErrLogDown) || errors.Is(a.err, ErrLogRefused):
			require.False(t, written, "a change that was reported as refused has taken effect: %v", a.err)
			continue
		default:
			require.ErrorIs(t, a.err, ErrUnsettled)
			end = math.MaxInt64
		}
		if !written {
			continue
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Call: a.call.UnixNano(), Return: end,
			Input:  edit{a.change.GetService(), a.change.GetBaseRevision(), a.change.GetEntry() == nil},
			Output: decision{result.GetAccepted(), result.GetOffset() + 1},
		})
	}
	return history
}

// Guards against two conflicting changes that are both reported as accepted,
// against a change that is reported as refused but takes effect, and against a
// position or revision that decreases, while responses are lost, the log is slow
// or down, and nodes are paused or restarted.
func TestConcurrentEditsAreLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		attempts, final := runConcurrentEdits(t, seed)
		history := operations(t, attempts, final)
		accepted, unsettled := 0, 0
		for _, a := range attempts {
			if a.err == nil && a.result.GetAccepted() {
				accepted++
			}
			if errors.Is(a.err, ErrUnsettled) {
				unsettled++
			}
		}
		t.Logf("seed %d: %d edits, %d accepted, %d with unknown result, %d in the history", seed, len(attempts), accepted, unsettled, len(history))
		require.Greater(t, accepted, 50)
		require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(editModel, history, 10*time.Second))
	}
}

// Guards against a linearizability check that accepts every history: it must
// detect a second accepted change with the same base revision.
func TestHistoryCheckDetectsTwoAcceptedChanges(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Call: 0, Return: 10, Input: edit{"a", 0, false}, Output: decision{true, 1}},
		{ClientId: 1, Call: 5, Return: 15, Input: edit{"a", 0, false}, Output: decision{false, 2}},
	}
	require.True(t, porcupine.CheckOperations(editModel, history))
	history[1].Output = decision{true, 2}
	require.False(t, porcupine.CheckOperations(editModel, history))
}
