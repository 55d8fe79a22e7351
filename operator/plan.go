package operator

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/settings"
)

// Actions of an EntryPlan.
const (
	ActionCreate = "create"
	ActionUpdate = "update"
	ActionDelete = "delete"
	ActionKeep   = "keep"
)

// basedOnLine is the comment by which `catalogue get` marks a file with the
// offset up to which the catalogue was read.
var basedOnLine = regexp.MustCompile(`(?m)^# based-on: (\d+)\s*$`)

// BasedOn returns the offset with which `catalogue get` marked a file, or false
// if the file has no such mark.
func BasedOn(file []byte) (uint64, bool) {
	match := basedOnLine.FindSubmatch(file)
	if match == nil {
		return 0, false
	}
	offset, err := strconv.ParseUint(string(match[1]), 10, 64)
	return offset, err == nil
}

// PlanOptions are the conditions of a plan.
type PlanOptions struct {
	// BasedOn is the offset up to which the author of the file knew the
	// catalogue. Entries that were changed later are in conflict. Nil means
	// that the author knew the present state.
	BasedOn *uint64
	// Delete plans the deletion of entries that the file does not hold.
	Delete bool
	// Only limits the plan to these services; empty means all.
	Only []string
}

// Plan compares a file with the state of the catalogue. Entries of the file come
// first, in their order, and deletions after them. The error names a service of
// options.Only for which there is nothing to plan.
func Plan(state *pb.CatalogueState, file *pb.CatalogueFile, options PlanOptions) (*pb.CataloguePlan, error) {
	p := planner{
		basedOn:    state.NextOffset,
		entries:    map[string]*pb.EntryState{},
		tombstones: map[string]*pb.Tombstone{},
	}
	if options.BasedOn != nil {
		p.basedOn = *options.BasedOn
	}
	p.index(state)
	plan := &pb.CataloguePlan{NextOffset: state.NextOffset}
	named := map[string]bool{}
	for _, entry := range file.Entries {
		named[entry.Service] = true
		plan.Entries = append(plan.Entries, p.entry(entry))
	}
	for _, present := range state.Entries {
		if options.Delete && !named[present.Entry.GetService()] {
			plan.Entries = append(plan.Entries, p.delete(present))
		}
	}
	return plan, limit(plan, options.Only)
}

// limit removes the entries of services that are not named.
func limit(plan *pb.CataloguePlan, only []string) error {
	if len(only) == 0 {
		return nil
	}
	for _, service := range only {
		if !slices.ContainsFunc(plan.Entries, func(e *pb.EntryPlan) bool { return e.Service == service }) {
			return errors.Newf("operator: the file has no service %q; correct --service, or give --delete to delete one that is in force", service)
		}
	}
	plan.Entries = slices.DeleteFunc(plan.Entries, func(e *pb.EntryPlan) bool { return !slices.Contains(only, e.Service) })
	return nil
}

// planner holds the state by service.
type planner struct {
	basedOn    uint64
	entries    map[string]*pb.EntryState
	tombstones map[string]*pb.Tombstone
}

func (p *planner) index(state *pb.CatalogueState) {
	for _, entry := range state.Entries {
		p.entries[entry.Entry.GetService()] = entry
	}
	for _, tombstone := range state.Tombstones {
		p.tombstones[tombstone.Service] = tombstone
	}
}

func (p *planner) entry(entry *pb.Entry) *pb.EntryPlan {
	present := p.entries[entry.Service]
	if present == nil {
		return p.create(entry)
	}
	plan := &pb.EntryPlan{Service: entry.Service, Action: ActionKeep, BaseRevision: present.Revision}
	if proto.Equal(present.Entry, entry) {
		return plan
	}
	plan.Action = ActionUpdate
	plan.Changes = compare(present.Entry, entry)
	plan.Conflict = p.conflict("changed", present.Revision, present.ChangedBy)
	return plan
}

func (p *planner) create(entry *pb.Entry) *pb.EntryPlan {
	plan := &pb.EntryPlan{Service: entry.Service, Action: ActionCreate, Changes: compare(&pb.Entry{}, entry)}
	if tombstone := p.tombstones[entry.Service]; tombstone != nil {
		plan.BaseRevision = tombstone.Revision
		plan.Conflict = p.conflict("deleted", tombstone.Revision, tombstone.ChangedBy)
	}
	return plan
}

func (p *planner) delete(present *pb.EntryState) *pb.EntryPlan {
	return &pb.EntryPlan{
		Service:      present.Entry.GetService(),
		Action:       ActionDelete,
		BaseRevision: present.Revision,
		Changes:      compare(present.Entry, &pb.Entry{}),
		Conflict:     p.conflict("changed", present.Revision, present.ChangedBy),
	}
}

// conflict returns why a change would overwrite one that its author had not
// seen. A revision is an offset plus 1.
func (p *planner) conflict(verb string, revision uint64, by string) string {
	if revision <= p.basedOn {
		return ""
	}
	return fmt.Sprintf("%q %s the entry at revision %d, after the file was read at offset %d; get the catalogue again and repeat the edit", by, verb, revision, p.basedOn)
}

// compare lists the fields that differ. Truth values that both leave at false
// are equal; text is empty for a field that is not set.
func compare(before, after *pb.Entry) []*pb.FieldChange {
	old := settings.Flatten(before)
	earlier := map[string]string{}
	for _, field := range old {
		earlier[field.Path] = field.Text
	}
	var changes []*pb.FieldChange
	seen := map[string]bool{}
	for _, field := range settings.Flatten(after) {
		seen[field.Path] = true
		if earlier[field.Path] != field.Text {
			changes = append(changes, &pb.FieldChange{Field: field.Path, Before: earlier[field.Path], After: field.Text})
		}
	}
	for _, field := range old {
		if !seen[field.Path] {
			changes = append(changes, &pb.FieldChange{Field: field.Path, Before: field.Text})
		}
	}
	return append(changes, reordered(before, after, changes)...)
}

// reordered reports entries that differ only in the order of their operations.
func reordered(before, after *pb.Entry, changes []*pb.FieldChange) []*pb.FieldChange {
	if len(changes) > 0 || proto.Equal(before, after) {
		return nil
	}
	return []*pb.FieldChange{{Field: "operations", Before: "other order", After: "order of the file"}}
}
