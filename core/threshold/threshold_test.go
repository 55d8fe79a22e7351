package threshold

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// Guards against a threshold that stays low after recovery.
func TestThresholdRisesToAllLevels(t *testing.T) {
	var c Cell
	c.Store(0, outcome.LevelOf(outcome.Critical, 0))
	require.Equal(t, outcome.LevelOf(outcome.Critical, 0), c.At(int64(Hold)))
	require.Equal(t, outcome.MaxLevel, c.At(int64(2*time.Second)))
}
