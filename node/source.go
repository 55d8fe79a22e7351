package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/burn"
	"github.com/primrosemount/primrosemount/core/journal"
	"github.com/primrosemount/primrosemount/core/membership"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/node/control"
	"github.com/primrosemount/primrosemount/operator"
	"github.com/primrosemount/primrosemount/streamlog"
	"github.com/primrosemount/primrosemount/telemetry"
)

const (
	// maxAsked bounds the nodes that one question is passed on to.
	maxAsked = 512
	// askParallel bounds the questions that are on their way at one time.
	askParallel = 32
	// askTimeout bounds one question to one node.
	askTimeout = 2 * time.Second
	// maxExplainRounds bounds how far an explanation follows a call chain.
	maxExplainRounds = 30
)

// source answers operators. It implements operator.Source.
type source struct {
	node    *Node
	started time.Time
}

var _ operator.Source = (*source)(nil)

// Status implements operator.Source.
func (s *source) Status(context.Context) (*pb.NodeStatus, error) {
	n := s.node
	snapshot := n.control.Snapshot()
	status := &pb.NodeStatus{
		Node:             n.settings.GetVm(),
		Incarnation:      n.current().Incarnation(),
		Service:          n.settings.GetService(),
		AvailabilityZone: n.settings.GetAvailabilityZone(),
		Region:           n.settings.GetRegion(),
		Version:          operator.Version().GetVersion(),
		Streams: []*pb.StreamStatus{
			{Stream: streamlog.CatalogueStream, NextOffset: snapshot.CataloguePosition, Known: snapshot.CatalogueKnown},
			{Stream: streamlog.MembersStream, NextOffset: snapshot.MembersPosition, Known: snapshot.MembersKnown},
		},
		LogReachable:     !snapshot.LogDown,
		Gate:             n.gateReport(n.current(), ""),
		Services:         uint32(snapshot.Catalogue.Len()),
		Members:          uint32(snapshot.Members.Len()),
		StartedUnixNanos: s.started.UnixNano(),
	}
	if n.trust.source != nil {
		status.CertificateExpiryUnixSeconds = n.trust.source.Expiry().Unix()
	}
	return status, nil
}

// Catalogue implements operator.Source.
func (s *source) Catalogue(ctx context.Context) (*pb.CatalogueState, error) {
	if !s.node.control.Snapshot().CatalogueKnown {
		return nil, operator.ErrStateUnknown
	}
	entries, _, err := s.node.control.States(ctx)
	return entries, err
}

// Members implements operator.Source.
func (s *source) Members(ctx context.Context) (*pb.MembersState, error) {
	if !s.node.control.Snapshot().MembersKnown {
		return nil, operator.ErrStateUnknown
	}
	_, members, err := s.node.control.States(ctx)
	return members, err
}

// SubmitChange implements operator.Source.
func (s *source) SubmitChange(ctx context.Context, change *pb.Change) (*pb.ChangeResult, error) {
	result, err := s.node.control.Submit(ctx, change)
	switch {
	case errors.Is(err, control.ErrInvalidChange):
		return nil, errors.Mark(err, operator.ErrInvalid)
	case errors.Is(err, control.ErrLogDown), errors.Is(err, control.ErrLogRefused):
		return nil, errors.Mark(err, operator.ErrUnavailable)
	case err != nil:
		return nil, errors.Mark(err, operator.ErrUnsettled)
	}
	return result, nil
}

// Burn implements operator.Source. The own counters are always in the report,
// because a node serves callers before its target has made it a member.
func (s *source) Burn(ctx context.Context) (*pb.BurnReport, error) {
	own, err := s.node.observer.Burn(ctx)
	if err != nil {
		return nil, err
	}
	members := s.others()
	responses := askAll(ctx, members, func(ctx context.Context, member *membership.Member) (*pb.BurnResponse, error) {
		return s.node.pool.Burn(ctx, member.Address, &pb.BurnRequest{})
	})
	// More members than one question reaches count as asked, so that the report
	// shows the gap.
	asked := max(s.node.control.Snapshot().Members.Len(), len(members)+1)
	counters, coverage := burn.Merge(asked, append(responses, own))
	return &pb.BurnReport{
		NodesAsked:    uint32(coverage.Queried),
		NodesAnswered: uint32(coverage.Responded),
		Counters:      counters,
		TimeUnixNanos: time.Now().UnixNano(),
	}, nil
}

// others lists the members on other VMs, up to the bound of one question.
func (s *source) others() []*membership.Member {
	own := s.node.settings.GetVm()
	return slices.DeleteFunc(s.everyone(), func(member *membership.Member) bool { return member.VM == own })
}

// everyone lists the members, up to the bound of one question.
func (s *source) everyone() []*membership.Member {
	var members []*membership.Member
	s.node.control.Snapshot().Members.All(func(member *membership.Member) bool {
		members = append(members, member)
		return len(members) < maxAsked
	})
	return members
}

// Explain implements operator.Source. It asks this node and then, round by
// round, the nodes of the targets that the answers name. If this node is not
// where the request entered, it asks all nodes up to the bound, because its
// journal names only the calls behind it.
func (s *source) Explain(ctx context.Context, request *pb.ExplainRequest) (*pb.ExplainReport, error) {
	own, err := s.node.observer.Explain(ctx, request)
	if err != nil {
		return nil, err
	}
	if entry := s.memberEntry(request.GetTarget()); entry != nil {
		own.Entries = append(own.Entries, entry)
	}
	report := &pb.ExplainReport{NodesAsked: 1, Answers: []*pb.ExplainResponse{own}}
	walk := &explainWalk{source: s, request: request, report: report, asked: map[string]bool{own.GetNode(): true}}
	next := walk.first(own)
	for round := 0; len(next) > 0 && round < maxExplainRounds; round++ {
		next = walk.step(ctx, next)
	}
	return report, nil
}

// entered tells that a request came from its caller to the answering node.
func entered(answer *pb.ExplainResponse) bool {
	return slices.ContainsFunc(answer.GetEntries(), func(entry *pb.JournalEntry) bool {
		return entry.GetPart() == string(telemetry.PartEntry)
	})
}

// memberEntry tells what the state in force says about the work of a VM; nil if
// nothing there keeps work from it. Journals do not hold this, because it lasts.
func (s *source) memberEntry(vm string) *pb.JournalEntry {
	if vm == "" {
		return nil
	}
	entry := journal.Entry{
		Time:   time.Now(),
		Part:   string(telemetry.PartRouter),
		Target: vm,
		Event:  "gets no work",
	}
	member := s.memberOf(vm)
	switch {
	case member == nil:
		entry.Reason = outcome.NoTarget
		entry.Detail = "the VM is not in the member table: its target has not announced itself, has left or was evicted"
	case s.drains(member):
		entry.Service = member.Service
		entry.Reason = outcome.Draining
		entry.Detail = "draining_vms of the catalogue names the VM"
	default:
		return nil
	}
	return entry.Proto(s.node.settings.GetVm())
}

// memberOf returns the member on a VM, or nil.
func (s *source) memberOf(vm string) *membership.Member {
	var found *membership.Member
	s.node.control.Snapshot().Members.All(func(member *membership.Member) bool {
		if member.VM == vm {
			found = member
		}
		return found == nil
	})
	return found
}

func (s *source) drains(member *membership.Member) bool {
	service, ok := s.node.control.Snapshot().Catalogue.Service(member.Service)
	return ok && service.Draining(member.VM)
}

// explainWalk follows a request from node to node.
type explainWalk struct {
	source  *source
	request *pb.ExplainRequest
	report  *pb.ExplainReport
	asked   map[string]bool
}

// first returns the members to ask after the own node.
func (w *explainWalk) first(own *pb.ExplainResponse) []*membership.Member {
	if w.request.GetTarget() != "" || !entered(own) {
		return w.unasked(w.source.everyone())
	}
	return w.named(own)
}

// step asks the members and returns those that their answers name. An answer
// without entries is kept, because the report counts the nodes that answered.
func (w *explainWalk) step(ctx context.Context, members []*membership.Member) []*membership.Member {
	w.report.NodesAsked += uint32(len(members))
	answers := askAll(ctx, members, func(ctx context.Context, member *membership.Member) (*pb.ExplainResponse, error) {
		return w.source.node.pool.Explain(ctx, member.Address, w.request)
	})
	var next []*membership.Member
	for _, answer := range answers {
		w.report.Answers = append(w.report.Answers, answer)
		next = append(next, w.named(answer)...)
	}
	return next
}

// named returns the members on the VMs that an answer names.
func (w *explainWalk) named(answer *pb.ExplainResponse) []*membership.Member {
	wanted := make(map[string]bool)
	for _, entry := range answer.GetEntries() {
		wanted[entry.GetTarget()] = true
	}
	var members []*membership.Member
	w.source.node.control.Snapshot().Members.All(func(member *membership.Member) bool {
		if wanted[member.VM] {
			members = append(members, member)
		}
		return true
	})
	return w.unasked(members)
}

// unasked leaves out members that were asked before, and marks the others.
func (w *explainWalk) unasked(members []*membership.Member) []*membership.Member {
	var fresh []*membership.Member
	for _, member := range members {
		if w.asked[member.VM] || len(w.asked) >= maxAsked {
			continue
		}
		w.asked[member.VM] = true
		fresh = append(fresh, member)
	}
	return fresh
}

// askAll asks the members at the same time, within bounds, and returns the
// answers that came.
func askAll[T any](ctx context.Context, members []*membership.Member, ask func(context.Context, *membership.Member) (T, error)) []T {
	var mutex sync.Mutex
	var answers []T
	var wait sync.WaitGroup
	slots := make(chan struct{}, askParallel)
	for _, member := range members {
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			answer, err := ask(ctx, member)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, answer)
		}()
	}
	wait.Wait()
	return answers
}
