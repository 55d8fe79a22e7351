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

// Actions of an EntryPlan. ActionKeep means that the entry does not change.
const (
	ActionCreate = "create"
	ActionUpdate = "update"
	ActionDelete = "delete"
	ActionKeep   = "keep"
)

// basedOnPattern matches the comment in which `catalogue get` states the offset up to
// which the catalogue was read.
var basedOnPattern = regexp.MustCompile(`(?m)^# based-on: (\d+)\s*$`)

// BasedOn returns the offset that `catalogue get` wrote into a file, or false if the
// file contains none.
func BasedOn(file []byte) (uint64, bool) {
	match := basedOnPattern.FindSubmatch(file)
	if match == nil {
		return 0, false
	}
	offset, err := strconv.ParseUint(string(match[1]), 10, 64)
	return offset, err == nil
}

// PlanOptions configures a plan.
type PlanOptions struct {
	// BasedOn is the offset of the catalogue on which the file is based. Entries that
	// were changed later are in conflict. Nil means that the file is based on the
	// current state.
	BasedOn *uint64
	// Delete plans the deletion of entries that the file does not contain.
	Delete bool
	// Only restricts the plan to these services. Empty means all services.
	Only []string
}

// Plan compares a file with the state of the catalogue. The entries of the file come
// first, in their order, followed by the deletions. It returns an error if a service of
// options.Only is neither in the file nor to be deleted.
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
	inFile := map[string]bool{}
	for _, entry := range file.Entries {
		inFile[entry.Service] = true
		plan.Entries = append(plan.Entries, p.entry(entry))
	}
	for _, current := range state.Entries {
		if options.Delete && !inFile[current.Entry.GetService()] {
			plan.Entries = append(plan.Entries, p.delete(current))
		}
	}
	return plan, filterServices(plan, options.Only)
}

// filterServices removes the entries of all services that are not in only, unless only
// is empty.
func filterServices(plan *pb.CataloguePlan, only []string) error {
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

// planner holds the state of the catalogue by service.
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

// entry plans an entry of the file.
func (p *planner) entry(entry *pb.Entry) *pb.EntryPlan {
	current := p.entries[entry.Service]
	if current == nil {
		return p.create(entry)
	}
	plan := &pb.EntryPlan{Service: entry.Service, Action: ActionKeep, BaseRevision: current.Revision}
	if proto.Equal(current.Entry, entry) {
		return plan
	}
	plan.Action = ActionUpdate
	plan.Changes = diffEntries(current.Entry, entry)
	plan.Conflict = p.conflict("changed", current.Revision, current.ChangedBy)
	return plan
}

// create plans an entry that the catalogue does not contain. If it was deleted earlier, the
// base revision is that of the deletion.
func (p *planner) create(entry *pb.Entry) *pb.EntryPlan {
	plan := &pb.EntryPlan{Service: entry.Service, Action: ActionCreate, Changes: diffEntries(&pb.Entry{}, entry)}
	if tombstone := p.tombstones[entry.Service]; tombstone != nil {
		plan.BaseRevision = tombstone.Revision
		plan.Conflict = p.conflict("deleted", tombstone.Revision, tombstone.ChangedBy)
	}
	return plan
}

// delete plans the deletion of an entry that the file does not contain.
func (p *planner) delete(current *pb.EntryState) *pb.EntryPlan {
	return &pb.EntryPlan{
		Service:      current.Entry.GetService(),
		Action:       ActionDelete,
		BaseRevision: current.Revision,
		Changes:      diffEntries(current.Entry, &pb.Entry{}),
		Conflict:     p.conflict("changed", current.Revision, current.ChangedBy),
	}
}

// conflict returns a message if the entry was changed after the offset on which the file
// is based, so that a change would overwrite another one unseen. Otherwise it returns
// "". A revision is the offset of a change plus 1.
func (p *planner) conflict(verb string, revision uint64, by string) string {
	if revision <= p.basedOn {
		return ""
	}
	return fmt.Sprintf("%q %s the entry at revision %d, after the file was read at offset %d; get the catalogue again and repeat the edit", by, verb, revision, p.basedOn)
}

// diffEntries returns the fields that differ. The text of a field that is not set is
// empty. An unset boolean equals one that is set to false.
func diffEntries(before, after *pb.Entry) []*pb.FieldChange {
	oldFields := settings.Flatten(before)
	oldTexts := map[string]string{}
	for _, field := range oldFields {
		oldTexts[field.Path] = field.Text
	}
	var changes []*pb.FieldChange
	inAfter := map[string]bool{}
	for _, field := range settings.Flatten(after) {
		inAfter[field.Path] = true
		if oldTexts[field.Path] != field.Text {
			changes = append(changes, &pb.FieldChange{Field: field.Path, Before: oldTexts[field.Path], After: field.Text})
		}
	}
	for _, field := range oldFields {
		if !inAfter[field.Path] {
			changes = append(changes, &pb.FieldChange{Field: field.Path, Before: field.Text})
		}
	}
	return append(changes, orderChange(before, after, changes)...)
}

// orderChange returns a change for entries that differ only in the order of their
// operations, and nil for other entries.
func orderChange(before, after *pb.Entry, changes []*pb.FieldChange) []*pb.FieldChange {
	if len(changes) > 0 || proto.Equal(before, after) {
		return nil
	}
	return []*pb.FieldChange{{Field: "operations", Before: "other order", After: "order of the file"}}
}
