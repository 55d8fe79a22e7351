package telemetry

import (
	"time"

	"github.com/cockroachdb/errors"
)

// A ConfigurationSample is the state of a node's local copy of the configuration.
type ConfigurationSample struct {
	Version uint64
	// Age is the maximum staleness of the copy: the time since it was last known to be
	// the latest version. StoreAge is the time since the store last responded.
	Age      time.Duration
	StoreAge time.Duration
	// StoreEra is the number of the latest era of the store that the node has seen, or nil
	// if the store does not tell it.
	StoreEra *uint64
}

// ObserveConfiguration registers the gauges of the configuration. sample is called
// at each scrape and must not block.
func (m *Metrics) ObserveConfiguration(sample func() ConfigurationSample) error {
	return errors.Join(
		m.gauge("primrosemount.configuration.version", "{version}", "Version of the configuration in force.", func() int64 { return int64(sample().Version) }),
		m.gauge("primrosemount.configuration.age", "ms", "Time since the configuration was last known to be the newest.", func() int64 { return sample().Age.Milliseconds() }),
		m.gauge("primrosemount.configuration.store_age", "ms", "Time since the store's latest answer about the configuration.", func() int64 { return sample().StoreAge.Milliseconds() }),
		m.gaugeIfKnown("primrosemount.store.era", "{era}", "Latest era of the store that the node has seen, if the store tells it. It rises by one each time the store returns from a copy.", func() *uint64 { return sample().StoreEra }),
	)
}
