package spread

import (
	"github.com/primrosemount/primrosemount/core/catalogue"
	"github.com/primrosemount/primrosemount/core/membership"
)

// A CatalogueFold implements Fold for the catalogue stream.
type CatalogueFold struct {
	State *catalogue.State
	// OnEffect, if not nil, is called with the effect of each applied record.
	OnEffect func(catalogue.Effect)
}

// Next implements Fold.
func (f *CatalogueFold) Next() uint64 { return f.State.Next() }

// Encode implements Fold.
func (f *CatalogueFold) Encode() []byte { return f.State.Encode() }

// CheckpointRecord implements Fold.
func (f *CatalogueFold) CheckpointRecord() []byte { return f.State.CheckpointRecord() }

// CheckpointOffset implements Fold.
func (f *CatalogueFold) CheckpointOffset(data []byte) (uint64, bool) {
	return catalogue.CheckpointOffset(data)
}

// CheckpointState implements Fold.
func (f *CatalogueFold) CheckpointState(data []byte) []byte { return catalogue.CheckpointState(data) }

// StripCheckpoint implements Fold.
func (f *CatalogueFold) StripCheckpoint(data []byte) []byte { return catalogue.StripCheckpoint(data) }

// ApplyRecord implements Fold.
func (f *CatalogueFold) ApplyRecord(r Record) error {
	effect, err := f.State.Apply(r.Offset, r.Data)
	if f.OnEffect != nil && err == nil {
		f.OnEffect(effect)
	}
	return err
}

// Install implements Fold.
func (f *CatalogueFold) Install(data []byte) error {
	state, err := catalogue.Restore(data)
	if err != nil {
		return err
	}
	f.State = state
	return nil
}

// A MembersFold implements Fold for the members stream.
type MembersFold struct {
	State *membership.State
	// OnEffect, if not nil, is called with the effect of each applied record.
	OnEffect func(membership.Effect)
}

// Next implements Fold.
func (f *MembersFold) Next() uint64 { return f.State.Next() }

// Encode implements Fold.
func (f *MembersFold) Encode() []byte { return f.State.Encode() }

// CheckpointRecord implements Fold.
func (f *MembersFold) CheckpointRecord() []byte { return f.State.CheckpointRecord() }

// CheckpointOffset implements Fold.
func (f *MembersFold) CheckpointOffset(data []byte) (uint64, bool) {
	return membership.CheckpointOffset(data)
}

// CheckpointState implements Fold.
func (f *MembersFold) CheckpointState(data []byte) []byte { return membership.CheckpointState(data) }

// StripCheckpoint implements Fold.
func (f *MembersFold) StripCheckpoint(data []byte) []byte { return membership.StripCheckpoint(data) }

// ApplyRecord implements Fold.
func (f *MembersFold) ApplyRecord(r Record) error {
	effect, err := f.State.Apply(r.Offset, r.Data)
	if f.OnEffect != nil && err == nil {
		f.OnEffect(effect)
	}
	return err
}

// Install implements Fold.
func (f *MembersFold) Install(data []byte) error {
	state, err := membership.Restore(data)
	if err != nil {
		return err
	}
	f.State = state
	return nil
}
