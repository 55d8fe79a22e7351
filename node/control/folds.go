package control

import (
	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/catalogue"
	"github.com/primrosemount/primrosemount/core/membership"
	"github.com/primrosemount/primrosemount/core/spread"
)

// catalogueFold adapts the catalogue to spread.Fold.
type catalogueFold struct {
	state  *catalogue.State
	logger *zap.Logger
}

func (f *catalogueFold) Next() uint64             { return f.state.Next() }
func (f *catalogueFold) Encode() []byte           { return f.state.Encode() }
func (f *catalogueFold) CheckpointRecord() []byte { return f.state.CheckpointRecord() }

func (f *catalogueFold) Covered(data []byte) (uint64, bool) { return catalogue.Covered(data) }
func (f *catalogueFold) CheckpointState(data []byte) []byte { return catalogue.CheckpointState(data) }
func (f *catalogueFold) Strip(data []byte) []byte           { return catalogue.Strip(data) }

func (f *catalogueFold) Step(r spread.Record) error {
	effect, err := f.state.Apply(r.Offset, r.Data)
	if effect.Skipped != nil {
		f.logger.Warn("control: skipped a catalogue record", zap.Error(effect.Skipped))
	}
	return err
}

func (f *catalogueFold) Install(data []byte) error {
	state, err := catalogue.Restore(data)
	if err != nil {
		return err
	}
	f.state = state
	return nil
}

// membersFold adapts the member table to spread.Fold. It collects departures
// for the eviction policy.
type membersFold struct {
	state  *membership.State
	logger *zap.Logger
	gone   []membership.Departure
}

func (f *membersFold) Next() uint64             { return f.state.Next() }
func (f *membersFold) Encode() []byte           { return f.state.Encode() }
func (f *membersFold) CheckpointRecord() []byte { return f.state.CheckpointRecord() }

func (f *membersFold) Covered(data []byte) (uint64, bool) { return membership.Covered(data) }
func (f *membersFold) CheckpointState(data []byte) []byte { return membership.CheckpointState(data) }
func (f *membersFold) Strip(data []byte) []byte           { return membership.Strip(data) }

func (f *membersFold) Step(r spread.Record) error {
	effect, err := f.state.Apply(r.Offset, r.Data)
	if effect.Skipped != nil {
		f.logger.Warn("control: skipped a members record", zap.Error(effect.Skipped))
	}
	f.gone = append(f.gone, effect.Gone...)
	return err
}

func (f *membersFold) Install(data []byte) error {
	state, err := membership.Restore(data)
	if err != nil {
		return err
	}
	f.state = state
	return nil
}

// takeGone returns the departures since the last call.
func (f *membersFold) takeGone() []membership.Departure {
	gone := f.gone
	f.gone = nil
	return gone
}
