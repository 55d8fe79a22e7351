package quota

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemount/primrosemount/core/account"
)

const (
	// minCandidates is the minimum number of members that may own quotas.
	minCandidates = maxOwners
	// membersPerCandidate is the number of members for each further candidate. With
	// few candidates, one message covers all accounts, and an entry stays in contact
	// with the owners of accounts that it rarely sees.
	membersPerCandidate = 64
	// maxWitnesses is the number of members that a holder of a part asks whether its view
	// still holds.
	maxWitnesses = 4
	// maxPredecessors is the number of members that may own quotas in the views of others
	// while up to four members join at about the same time.
	maxPredecessors = 2 * maxOwners
	// scoreKeyBytes is the length of an account's and a VM's name up to which a score
	// needs no allocation.
	scoreKeyBytes = 256
)

// A View is what a node knows of the members and of the accounts with a quota. It is
// immutable.
type View struct {
	// candidates are the VMs that may own quotas, in the order that all nodes use.
	candidates []string
	// first are the first members in the order of the candidates.
	first []string
	// home is the index, modulo the number of owners, of the owner that this node
	// prefers. Consecutive members have consecutive indices, so that entries are
	// spread evenly over the owners.
	home int
	// members is the number of members.
	members int
	limits  map[string]Limits
	// hash identifies the owners of all quotas, and candidatesHash the candidates.
	hash, candidatesHash uint64
	// self is this node.
	self string
}

// NewView returns the view of the node on a VM. The members are the VMs of all members
// that have not announced their stop.
func NewView(self string, members []string, accounts []*account.Account, rules Rules) *View {
	type ranked struct {
		rank uint64
		vm   string
	}
	order := make([]ranked, 0, len(members))
	for _, vm := range members {
		order = append(order, ranked{xxhash.Sum64String(vm), vm})
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.vm, b.vm)) })
	v := &View{
		self:    self,
		home:    max(slices.IndexFunc(order, func(r ranked) bool { return r.vm == self }), 0),
		members: len(members),
		limits:  make(map[string]Limits),
	}
	count := max(minCandidates, len(members)/membersPerCandidate)
	for _, r := range order[:min(count, len(order))] {
		v.candidates = append(v.candidates, r.vm)
	}
	for _, r := range order[:min(maxPredecessors, len(order))] {
		v.first = append(v.first, r.vm)
	}
	for _, a := range accounts {
		if a.Limited() {
			v.limits[a.Name] = LimitsOf(rules, a, len(members))
		}
	}
	v.candidatesHash = v.hashCandidates()
	v.hash = v.ownersHash()
	return v
}

// hashCandidates returns a hash of the candidates.
func (v *View) hashCandidates() uint64 {
	digest := xxhash.New()
	for _, vm := range v.candidates {
		// Writing to a digest does not fail.
		_, _ = digest.WriteString(vm + "\x00")
	}
	return digest.Sum64()
}

// ownersHash returns a hash of what determines the owners of all quotas.
func (v *View) ownersHash() uint64 {
	sum := v.candidatesHash
	for name, limits := range v.limits {
		sum += xxhash.Sum64String(name + "\x00" + strconv.Itoa(limits.Owners))
	}
	return sum
}

// Limited returns the number of accounts with a quota.
func (v *View) Limited() int { return len(v.limits) }

// Candidates returns the members that may own quotas. The caller must not modify it.
func (v *View) Candidates() []string { return v.candidates }

// Owners returns the owners of an account by rendezvous hashing, in the order of the
// candidates, or nil if the account has no quota.
func (v *View) Owners(name string) []string {
	limits, ok := v.limits[name]
	if !ok {
		return nil
	}
	if limits.Owners >= len(v.candidates) {
		return v.candidates
	}
	type scored struct {
		score uint64
		index int
	}
	scores := make([]scored, 0, len(v.candidates))
	for i, vm := range v.candidates {
		scores = append(scores, scored{score(name, vm), i})
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	scores = scores[:limits.Owners]
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(a.index, b.index) })
	owners := make([]string, 0, len(scores))
	for _, s := range scores {
		owners = append(owners, v.candidates[s.index])
	}
	return owners
}

// score ranks the candidates for an account; the highest ones own its quota.
func score(account, vm string) uint64 {
	var buffer [scoreKeyBytes]byte
	return xxhash.Sum64(append(append(append(buffer[:0], account...), 0), vm...))
}

// witnesses returns the members that a holder of a part asks whether its view still holds.
func (v *View) witnesses() []string { return v.candidates[:min(maxWitnesses, len(v.candidates))] }

// asked returns the members that this node asks in each period: the owners on which an
// entry relies for credit, if they are few enough to contact all of them, and otherwise the
// witnesses, if this node is a candidate. A candidate that joins also asks those that may
// have had its part.
func (v *View) asked(joining bool) []string {
	candidate := slices.Contains(v.candidates, v.self)
	switch {
	case len(v.limits) == 0:
		return nil
	case joining && candidate:
		return v.first
	case len(v.candidates) <= minCandidates:
		return v.candidates
	case candidate:
		return v.witnesses()
	}
	return nil
}

// Owns reports whether a VM owns a part of the quota of an account.
func (v *View) Owns(vm, name string) bool {
	if _, limited := v.limits[name]; !limited || !slices.Contains(v.candidates, vm) {
		return false
	}
	own, higher, count := score(name, vm), 0, v.ownerCount(name)
	for _, candidate := range v.candidates {
		if candidate != vm && score(name, candidate) >= own {
			higher++
		}
		if higher == count {
			return false
		}
	}
	return true
}

// ownerCount returns the number of owners of an account with a quota.
func (v *View) ownerCount(name string) int { return min(v.limits[name].Owners, len(v.candidates)) }

// equalParts reports whether two views divide the same quotas among the same members.
func (v *View) equalParts(other *View) bool {
	return slices.Equal(v.candidates, other.candidates) && maps.Equal(v.limits, other.limits)
}

// nameHash identifies an account in the list of accounts without credit.
func nameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
