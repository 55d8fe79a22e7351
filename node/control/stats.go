package control

import (
	"sync/atomic"
	"time"
)

// A Kind is a kind of control message: an event or request that the task handles,
// or a request to the log or to a peer.
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

// String returns the label value of the kind in metrics, for example "log_read".
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind {
	all := make([]Kind, numKinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// A Count holds the totals of one kind of message since the start.
type Count struct {
	Messages uint64
	Errors   uint64
	// BytesIn and BytesOut count the encoded payload, without transport headers.
	BytesIn  uint64
	BytesOut uint64
	// Processing is the time that the control task has spent on messages of this
	// kind.
	Processing time.Duration
}

// Stats holds the statistics of the control messages of a node. It is safe for
// concurrent use.
type Stats struct {
	counters [numKinds]counter
}

type counter struct {
	messages, errors, in, out, nanos atomic.Uint64
}

// Get returns the totals of one kind.
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

// message counts one message with its payload bytes and its error, if any.
func (s *Stats) message(k Kind, in, out int, err error) {
	c := &s.counters[k]
	c.messages.Add(1)
	c.in.Add(uint64(in))
	c.out.Add(uint64(out))
	if err != nil {
		c.errors.Add(1)
	}
}

// addProcessing adds time that the task has spent on a message.
func (s *Stats) addProcessing(k Kind, d time.Duration) {
	s.counters[k].nanos.Add(uint64(max(d, 0)))
}
