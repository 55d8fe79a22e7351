// Package logservice is a small stand-in for the platform's store. It has append-only
// streams with offsets, topics that keep the newest record of each key, limited
// retention and a rate limit. It can simulate outages, slow responses, responses that
// are lost after the append took effect, appends that take effect after their caller
// has given up, and a return from a copy that lacks the latest records.
package logservice

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/primrosemount/primrosemount/core/era"
	"github.com/primrosemount/primrosemount/streamlog"
)

// keyedPrefix is the prefix of the names of topics that keep the newest record of each
// key.
const keyedPrefix = "keyed."

// Config configures a Service.
type Config struct {
	// Retain is the number of records kept per stream; 0 keeps all.
	Retain int
	// AppendsPerSecond is the maximum rate of appends; 0 means no limit.
	AppendsPerSecond float64
}

// Faults are the faults that the service simulates. They can be changed while the
// service runs.
type Faults struct {
	// Down makes the service refuse all requests.
	Down bool
	// Delay is the delay of each response.
	Delay time.Duration
	// LoseAppendResponses drops the responses to appends that took effect.
	LoseAppendResponses bool
	// AppendLateBy makes appends take effect this long after their response was lost.
	AppendLateBy time.Duration
}

// Service holds the streams in memory. It implements streamlog.Log for use within the
// process; Handler serves it over HTTP. It is safe for concurrent use.
type Service struct {
	config  Config
	limiter *rate.Limiter
	mutex   sync.Mutex
	streams map[string]*stream
	faults  Faults
	appends uint64
	// appended is closed and replaced at each append and at each return from a copy.
	appended chan struct{}
	// era is the era that responses tell, or era.Unknown if they tell none. returns counts
	// the returns from a copy.
	era     era.Era
	returns int
}

type stream struct {
	// firstOffset is the offset of the oldest record that is kept.
	firstOffset uint64
	records     [][]byte
	// newest holds the newest record of each key of a keyed topic.
	newest map[string]keyedRecord
}

// keyedRecord is the newest record of a key with its offset.
type keyedRecord struct {
	value  []byte
	offset uint64
}

// updateNewest stores a record of a keyed topic as the newest of its key. A record
// consists of the length of the key in one byte, the key and the value; an empty value
// deletes the key.
func (s *stream) updateNewest(data []byte) {
	if s.newest == nil || len(data) == 0 || int(data[0]) > len(data)-1 {
		return
	}
	key := string(data[1 : 1+int(data[0])])
	value := data[1+len(key):]
	if len(value) == 0 {
		delete(s.newest, key)
		return
	}
	s.newest[key] = keyedRecord{value: append([]byte(nil), value...), offset: s.firstOffset + uint64(len(s.records)) - 1}
}

var _ streamlog.Log = (*Service)(nil)

// New returns an empty service.
func New(config Config) *Service {
	limit := rate.Inf
	if config.AppendsPerSecond > 0 {
		limit = rate.Limit(config.AppendsPerSecond)
	}
	burst := int(config.AppendsPerSecond) + 1
	return &Service{config: config, limiter: rate.NewLimiter(limit, burst), streams: make(map[string]*stream), appended: make(chan struct{})}
}

// SetFaults replaces the current faults.
func (s *Service) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Appends returns the number of appends that took effect.
func (s *Service) Appends() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.appends
}

// Append implements streamlog.Log.
func (s *Service) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	return s.appendAll(ctx, name, [][]byte{data}, noCondition)
}

// AppendAt implements streamlog.Log.
func (s *Service) AppendAt(ctx context.Context, name string, records [][]byte, end uint64) error {
	_, err := s.appendAll(ctx, name, records, int64(end))
	if errors.Is(err, errEndDiffers) {
		return errors.Wrap(streamlog.ErrConflict, err.Error())
	}
	return err
}

// noCondition lets an append take effect wherever the stream ends.
const noCondition int64 = -1

// errEndDiffers is returned for an append whose condition does not hold.
var errEndDiffers = errors.New("the stream ends at another offset")

// appendAll appends records in one step, if the stream ends at the offset in condition or
// there is none. It returns the offset of the first record, or the end of the stream with
// errEndDiffers.
func (s *Service) appendAll(ctx context.Context, name string, records [][]byte, condition int64) (uint64, error) {
	faults, err := s.applyFaults(ctx)
	if err != nil {
		return 0, err
	}
	if !s.limiter.Allow() {
		return 0, errors.Wrap(streamlog.ErrRefused, "rate limit")
	}
	if faults.AppendLateBy > 0 {
		time.AfterFunc(faults.AppendLateBy, func() { s.store(name, records, condition) })
		return 0, errors.Wrap(streamlog.ErrAppendUnknown, "answer lost")
	}
	offset, holds := s.store(name, records, condition)
	if !holds {
		return offset, errEndDiffers
	}
	if faults.LoseAppendResponses {
		return 0, errors.Wrap(streamlog.ErrAppendUnknown, "answer lost")
	}
	return offset, nil
}

// append stores a record and returns its offset.
func (s *Service) append(name string, data []byte) uint64 {
	offset, _ := s.store(name, [][]byte{data}, noCondition)
	return offset
}

// store stores records if the condition holds, which it reports, and returns the offset of
// the first one or else the end of the stream.
func (s *Service) store(name string, records [][]byte, condition int64) (offset uint64, holds bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	st := s.stream(name)
	end := st.firstOffset + uint64(len(st.records))
	if condition != noCondition && uint64(condition) != end {
		return end, false
	}
	for _, data := range records {
		s.storeOne(st, data)
	}
	s.wakeReaders()
	return end, true
}

// storeOne stores a record. The mutex must be held.
func (s *Service) storeOne(st *stream, data []byte) {
	st.records = append(st.records, append([]byte(nil), data...))
	st.updateNewest(data)
	s.appends++
	if excess := len(st.records) - s.config.Retain; s.config.Retain > 0 && excess > 0 {
		st.records = st.records[excess:]
		st.firstOffset += uint64(excess)
	}
}

// Read implements streamlog.Log.
func (s *Service) Read(ctx context.Context, name string, from uint64, limit int) (streamlog.Batch, error) {
	if _, err := s.applyFaults(ctx); err != nil {
		return streamlog.Batch{}, errors.Wrap(streamlog.ErrUnavailable, err.Error())
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	st := s.stream(name)
	next := st.firstOffset + uint64(len(st.records))
	batch := streamlog.Batch{Earliest: st.firstOffset, Next: next, Era: s.era}
	from = max(from, st.firstOffset)
	for offset := from; offset < next && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, streamlog.Record{Offset: offset, Data: st.records[offset-st.firstOffset]})
	}
	return batch, nil
}

// applyFaults applies the faults that occur before a request takes effect. It returns
// the current faults.
func (s *Service) applyFaults(ctx context.Context) (Faults, error) {
	s.mutex.Lock()
	faults := s.faults
	s.mutex.Unlock()
	if faults.Down {
		return faults, errors.Wrap(streamlog.ErrRefused, "outage")
	}
	if faults.Delay == 0 {
		return faults, nil
	}
	timer := time.NewTimer(faults.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return faults, nil
	case <-ctx.Done():
		return faults, errors.Wrap(streamlog.ErrRefused, "slow")
	}
}

// stream returns a stream and creates it if needed. The mutex must be held.
func (s *Service) stream(name string) *stream {
	found, ok := s.streams[name]
	if !ok {
		found = &stream{}
		if strings.HasPrefix(name, keyedPrefix) {
			found.newest = make(map[string]keyedRecord)
		}
		s.streams[name] = found
	}
	return found
}

// Newest returns the newest value of each key of a keyed topic.
func (s *Service) Newest(topic string) map[string][]byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	values := make(map[string][]byte)
	for key, record := range s.stream(topic).newest {
		values[key] = record.value
	}
	return values
}
