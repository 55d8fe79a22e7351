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
	// maxQueriedNodes limits the nodes that one query of an operator is forwarded
	// to.
	maxQueriedNodes = 512
	// maxConcurrentQueries limits the queries to other nodes that are in progress
	// at the same time.
	maxConcurrentQueries = 32
	// nodeQueryTimeout limits one query to one node.
	nodeQueryTimeout = 2 * time.Second
	// maxExplainRounds limits the rounds of queries for one explanation. Each
	// round follows the call chain by one call.
	maxExplainRounds = 30
)

// source answers the queries of operators. It implements operator.Source.
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
	if n.certificates.source != nil {
		status.CertificateExpiryUnixSeconds = n.certificates.source.Expiry().Unix()
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

// Burn implements operator.Source. The counters of this node are always
// included, because a node serves callers even before it is a member.
func (s *source) Burn(ctx context.Context) (*pb.BurnReport, error) {
	own, err := s.node.observer.Burn(ctx)
	if err != nil {
		return nil, err
	}
	members := s.membersOnOtherVMs()
	responses := queryAll(ctx, members, func(ctx context.Context, member *membership.Member) (*pb.BurnResponse, error) {
		return s.node.pool.Burn(ctx, member.Address, &pb.BurnRequest{})
	})
	// Members beyond maxQueriedNodes count as queried, so that the report shows
	// that their counters are missing.
	queried := max(s.node.control.Snapshot().Members.Len(), len(members)+1)
	counters, coverage := burn.Merge(queried, append(responses, own))
	return &pb.BurnReport{
		NodesAsked:    uint32(coverage.Queried),
		NodesAnswered: uint32(coverage.Responded),
		Counters:      counters,
		TimeUnixNanos: time.Now().UnixNano(),
	}, nil
}

// membersOnOtherVMs returns at most maxQueriedNodes members, without those on
// the VM of this node.
func (s *source) membersOnOtherVMs() []*membership.Member {
	own := s.node.settings.GetVm()
	return slices.DeleteFunc(s.allMembers(), func(member *membership.Member) bool { return member.VM == own })
}

// allMembers returns at most maxQueriedNodes members.
func (s *source) allMembers() []*membership.Member {
	var members []*membership.Member
	s.node.control.Snapshot().Members.All(func(member *membership.Member) bool {
		members = append(members, member)
		return len(members) < maxQueriedNodes
	})
	return members
}

// Explain implements operator.Source. It queries this node first and then,
// round by round, the nodes of the targets that the previous responses name. If
// the request did not enter the system at this node, or the query is about a
// target, it queries all nodes up to maxQueriedNodes, because the journal of
// this node names only the calls downstream of it.
func (s *source) Explain(ctx context.Context, request *pb.ExplainRequest) (*pb.ExplainReport, error) {
	own, err := s.node.observer.Explain(ctx, request)
	if err != nil {
		return nil, err
	}
	if entry := s.memberStateEntry(request.GetTarget()); entry != nil {
		own.Entries = append(own.Entries, entry)
	}
	report := &pb.ExplainReport{NodesAsked: 1, Answers: []*pb.ExplainResponse{own}}
	traversal := &explainTraversal{source: s, request: request, report: report, queried: map[string]bool{own.GetNode(): true}}
	next := traversal.initialMembers(own)
	for round := 0; len(next) > 0 && round < maxExplainRounds; round++ {
		next = traversal.query(ctx, next)
	}
	return report, nil
}

// hasEntryRecord reports whether the responding node is the entry node of the
// request, that is, has a journal entry about its response to the caller.
func hasEntryRecord(response *pb.ExplainResponse) bool {
	return slices.ContainsFunc(response.GetEntries(), func(entry *pb.JournalEntry) bool {
		return entry.GetPart() == string(telemetry.PartEntry)
	})
}

// memberStateEntry returns an entry that states why, according to the catalogue
// and the member table, a VM gets no work; nil if they do not exclude it. These
// reasons are lasting conditions and not events, so the journals do not contain
// them.
func (s *source) memberStateEntry(vm string) *pb.JournalEntry {
	if vm == "" {
		return nil
	}
	entry := journal.Entry{
		Time:   time.Now(),
		Part:   string(telemetry.PartRouter),
		Target: vm,
		Event:  "gets no work",
	}
	member := s.memberOnVM(vm)
	switch {
	case member == nil:
		entry.Reason = outcome.NoTarget
		entry.Detail = "the VM is not in the member table: its target has not announced itself, has left or was evicted"
	case s.isDraining(member):
		entry.Service = member.Service
		entry.Reason = outcome.Draining
		entry.Detail = "draining_vms of the catalogue names the VM"
	default:
		return nil
	}
	return entry.Proto(s.node.settings.GetVm())
}

// memberOnVM returns the member on a VM, or nil if there is none.
func (s *source) memberOnVM(vm string) *membership.Member {
	var found *membership.Member
	s.node.control.Snapshot().Members.All(func(member *membership.Member) bool {
		if member.VM == vm {
			found = member
		}
		return found == nil
	})
	return found
}

func (s *source) isDraining(member *membership.Member) bool {
	service, ok := s.node.control.Snapshot().Catalogue.Service(member.Service)
	return ok && service.Draining(member.VM)
}

// explainTraversal follows a request from node to node and collects their
// responses.
type explainTraversal struct {
	source  *source
	request *pb.ExplainRequest
	report  *pb.ExplainReport
	queried map[string]bool
}

// initialMembers returns the members to query after this node.
func (t *explainTraversal) initialMembers(own *pb.ExplainResponse) []*membership.Member {
	if t.request.GetTarget() != "" || !hasEntryRecord(own) {
		return t.takeUnqueried(t.source.allMembers())
	}
	return t.namedMembers(own)
}

// query queries the members and returns the members that their responses name.
// A response without entries is kept too, because the report counts the nodes
// that responded.
func (t *explainTraversal) query(ctx context.Context, members []*membership.Member) []*membership.Member {
	t.report.NodesAsked += uint32(len(members))
	responses := queryAll(ctx, members, func(ctx context.Context, member *membership.Member) (*pb.ExplainResponse, error) {
		return t.source.node.pool.Explain(ctx, member.Address, t.request)
	})
	var next []*membership.Member
	for _, response := range responses {
		t.report.Answers = append(t.report.Answers, response)
		next = append(next, t.namedMembers(response)...)
	}
	return next
}

// namedMembers returns the members on the VMs that a response names, without
// those already queried.
func (t *explainTraversal) namedMembers(response *pb.ExplainResponse) []*membership.Member {
	wanted := make(map[string]bool)
	for _, entry := range response.GetEntries() {
		wanted[entry.GetTarget()] = true
	}
	var members []*membership.Member
	t.source.node.control.Snapshot().Members.All(func(member *membership.Member) bool {
		if wanted[member.VM] {
			members = append(members, member)
		}
		return true
	})
	return t.takeUnqueried(members)
}

// takeUnqueried returns the members that were not queried before and marks them
// as queried.
func (t *explainTraversal) takeUnqueried(members []*membership.Member) []*membership.Member {
	var unqueried []*membership.Member
	for _, member := range members {
		if t.queried[member.VM] || len(t.queried) >= maxQueriedNodes {
			continue
		}
		t.queried[member.VM] = true
		unqueried = append(unqueried, member)
	}
	return unqueried
}

// queryAll queries the members concurrently, at most maxConcurrentQueries at a
// time, and returns the responses that were received.
func queryAll[T any](ctx context.Context, members []*membership.Member, query func(context.Context, *membership.Member) (T, error)) []T {
	var mutex sync.Mutex
	var responses []T
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, member := range members {
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, nodeQueryTimeout)
			defer cancel()
			response, err := query(ctx, member)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			responses = append(responses, response)
		}()
	}
	wait.Wait()
	return responses
}
