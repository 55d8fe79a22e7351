package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/primrosemount/primrosemount/core/era"
)

// simTopic is a topic of a simulated store.
type simTopic struct {
	records []Record
	written []time.Time
}

// newest returns the newest record of each key.
func (s *simTopic) newest() map[string]Record {
	newest := make(map[string]Record)
	for _, record := range s.records {
		newest[record.Key] = record
	}
	return newest
}

// cut drops the records that were written after a time.
func (s *simTopic) cut(at time.Time) {
	n := len(s.written)
	for n > 0 && s.written[n-1].After(at) {
		n--
	}
	s.records, s.written = slices.Clone(s.records[:n]), slices.Clone(s.written[:n])
}

// simStore is a store that can return from a copy.
type simStore struct {
	mu      sync.Mutex
	era     era.Era
	down    bool
	config  simTopic
	members simTopic
	changed chan struct{}
	// hangsOnReturn makes reads that wait at a return get neither a response nor an
	// error.
	hangsOnReturn bool
	// returned is when the store last returned from a copy.
	returned time.Time
	// back is when the store last returned or became available.
	back time.Time
	// version is the newest version of the operator. acked is when it was acknowledged
	// for the last time.
	version uint64
	acked   map[uint64]time.Time
}

func (s *simStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put appends a record. The mutex must be held.
func (s *simStore) put(topic *simTopic, records ...Record) era.Position {
	at := era.Position{Era: s.era, Offset: uint64(len(topic.records))}
	for _, record := range records {
		record.Offset = uint64(len(topic.records))
		topic.records = append(topic.records, record)
		topic.written = append(topic.written, time.Now())
	}
	s.wake()
	return at
}

// change writes the next version, or the newest one again.
func (s *simStore) change(next bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	if next {
		s.version++
	}
	s.putVersion()
}

// putVersion writes the newest version. The mutex must be held.
func (s *simStore) putVersion() {
	s.put(&s.config, Record{Key: "config", Value: document(s.version)})
	s.acked[s.version] = time.Now()
}

// returnFrom lets the store return from a copy of the given time after an outage. The
// operator then writes the newest version again after a delay, or the next one at once,
// before any node reads.
func (s *simStore) returnFrom(ctx context.Context, at time.Time, outage, rewrite time.Duration) {
	s.mu.Lock()
	s.down = true
	s.wake()
	s.mu.Unlock()
	sleep(ctx, outage)
	s.mu.Lock()
	s.config.cut(at)
	s.members.cut(at)
	s.era++
	s.down, s.back, s.returned = false, time.Now(), time.Now()
	s.wake()
	if string(s.config.newest()["config"].Value) != string(document(s.version)) {
		// Nobody has to have the lost version until it is written again.
		delete(s.acked, s.version)
	}
	if rewrite == 0 {
		s.version++
		s.putVersion()
	}
	s.mu.Unlock()
	sleep(ctx, rewrite)
	s.change(false)
}

// simClient is the connection of one node to a topic of the store.
type simClient struct {
	store *simStore
	node  *simNode
	topic *simTopic
}

// enter waits for the latency of a call and returns an error if the store does not
// respond. The mutex is held on success.
func (c *simClient) enter(ctx context.Context) error {
	sleep(ctx, storeLatency)
	c.store.mu.Lock()
	mode := c.node.mode
	if c.store.down {
		mode = refusing
	}
	switch {
	case ctx.Err() != nil || mode == refusing || mode == unreachable:
		c.store.mu.Unlock()
		return ErrUnavailable
	case mode == silent:
		c.store.mu.Unlock()
		sleep(ctx, 2*time.Second)
		return ErrUnavailable
	}
	return nil
}

// Newest implements Topic.
func (c *simClient) Newest(ctx context.Context) ([]Record, era.Position, error) {
	if err := c.enter(ctx); err != nil {
		return nil, era.Position{}, err
	}
	defer c.store.mu.Unlock()
	var records []Record
	for _, record := range c.topic.newest() {
		records = append(records, record)
	}
	return records, era.Position{Era: c.store.era, Offset: uint64(len(c.topic.records))}, nil
}

// Read implements Topic.
func (c *simClient) Read(ctx context.Context, from era.Position, wait time.Duration) (Batch, error) {
	end := time.Now().Add(wait)
	startedIn := era.Unknown
	for {
		if err := c.enter(ctx); err != nil {
			return Batch{}, err
		}
		if startedIn != era.Unknown && startedIn != c.store.era {
			hangs := c.store.hangsOnReturn
			c.store.mu.Unlock()
			if hangs {
				<-ctx.Done()
			}
			return Batch{}, ErrUnavailable
		}
		startedIn = c.store.era
		last := uint64(len(c.topic.records))
		changed := c.store.changed
		batch := Batch{Next: era.Position{Era: c.store.era, Offset: max(last, from.Offset)}, Complete: true}
		if from.Offset < last {
			batch.Records = slices.Clone(c.topic.records[from.Offset:])
		}
		c.store.mu.Unlock()
		switch {
		case from.Offset > last:
			return Batch{}, ErrHistoryDropped
		case from.Offset < last || !time.Now().Before(end):
			return batch, nil
		}
		timer := time.NewTimer(time.Until(end))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Batch{}, ErrUnavailable
		}
		timer.Stop()
	}
}

// Put implements Topic.
func (c *simClient) Put(ctx context.Context, key string, value []byte) (era.Position, error) {
	if err := c.enter(ctx); err != nil {
		return era.Position{}, err
	}
	defer c.store.mu.Unlock()
	return c.store.put(c.topic, Record{Key: key, Value: value}), nil
}

// PutAll implements Topic.
func (c *simClient) PutAll(ctx context.Context, records []Record, end era.Position) error {
	if err := c.enter(ctx); err != nil {
		return err
	}
	defer c.store.mu.Unlock()
	if uint64(len(c.topic.records)) != end.Offset {
		return ErrConflict
	}
	c.store.put(c.topic, records...)
	return nil
}
