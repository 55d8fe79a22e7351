package control

import (
	"sync/atomic"
	"time"
)

// Kind is a kind of control message.
type Kind int

// Kinds of control messages.
const (
	KindLogRead Kind = iota
	KindLogAppend
	KindExchangeOut
	KindExchangeIn
	KindProbe
	KindSubmit
	KindTick
	numKinds
)

var kindNames = [numKinds]string{"log_read", "log_append", "exchange_out", "exchange_in", "probe", "submit", "tick"}

// String returns the name of the kind for metrics, for example "log_read".
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind {
	all := make([]Kind, numKinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Count is what one kind of message has cost since the start.
type Count struct {
	Messages uint64
	Errors   uint64
	// BytesIn and BytesOut are encoded payload, without headers of the transport.
	BytesIn  uint64
	BytesOut uint64
	// Processing is the time in the control task.
	Processing time.Duration
}

// Stats counts the control messages of a node. It is safe for concurrent use.
type Stats struct {
	counters [numKinds]counter
}

type counter struct {
	messages, errors, in, out, nanos atomic.Uint64
}

// Get returns the count of one kind.
func (s *Stats) Get(k Kind) Count {
	c := &s.counters[k]
	return Count{
		Messages:   c.messages.Load(),
		Errors:     c.errors.Load(),
		BytesIn:    c.in.Load(),
		BytesOut:   c.out.Load(),
		Processing: time.Duration(c.nanos.Load()),
	}
}

func (s *Stats) message(k Kind, in, out int, err error) {
	c := &s.counters[k]
	c.messages.Add(1)
	c.in.Add(uint64(in))
	c.out.Add(uint64(out))
	if err != nil {
		c.errors.Add(1)
	}
}

func (s *Stats) addProcessing(k Kind, d time.Duration) {
	s.counters[k].nanos.Add(uint64(max(d, 0)))
}
