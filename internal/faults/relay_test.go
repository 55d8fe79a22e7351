package faults

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// fault is a fault that a relay applies to the next bytes of a connection.
type fault int

const (
	noFault fault = iota
	// cutBefore closes the connection before forwarding the request.
	cutBefore
	// cutWithin forwards half of the bytes and closes the connection.
	cutWithin
	// cutAfter forwards the request and closes the connection before the response.
	cutAfter
	// loseResponse discards the response bytes, and closes the connection after a
	// random delay.
	loseResponse
	// delayResponse holds the response bytes back for a random delay.
	delayResponse
)

var (
	requestFaults  = []fault{cutBefore, cutWithin, cutAfter}
	responseFaults = []fault{loseResponse, delayResponse}
)

const (
	relayBufferBytes = 64 << 10
	// flushTime is the wait before a connection is closed, so that the bytes already
	// forwarded reach the other side.
	flushTime = 5 * time.Millisecond
	maxDelay  = 250 * time.Millisecond
)

// relay forwards TCP connections from other nodes to one node and injects faults.
// It is safe for concurrent use.
type relay struct {
	listener net.Listener

	mutex       sync.Mutex
	random      *rand.Rand
	target      string
	share       float64
	played      map[fault]int
	connections map[net.Conn]struct{}
	closed      bool
	wait        sync.WaitGroup
}

func newRelay(seed uint64) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{
		listener:    listener,
		random:      rand.New(rand.NewPCG(seed, 2)),
		played:      make(map[fault]int),
		connections: make(map[net.Conn]struct{}),
	}
	r.wait.Add(1)
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// setTarget sets the address of the node behind the relay.
func (r *relay) setTarget(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.target = address
}

// setShare sets the share of reads to which a fault is applied.
func (r *relay) setShare(share float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.share = share
}

// draw returns a random fault for a share of the calls, otherwise noFault.
func (r *relay) draw(from []fault) fault {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.random.Float64() >= r.share {
		return noFault
	}
	drawn := from[r.random.IntN(len(from))]
	r.played[drawn]++
	return drawn
}

func (r *relay) delay() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(r.random.Int64N(int64(maxDelay)))
}

func (r *relay) accept() {
	defer r.wait.Done()
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.serve(caller)
	}
}

// serve connects to the node and forwards both directions of a connection.
func (r *relay) serve(caller net.Conn) {
	r.mutex.Lock()
	target := r.target
	r.mutex.Unlock()
	node, err := net.Dial("tcp", target)
	if err != nil || !r.register(caller, node) {
		_ = caller.Close()
		return
	}
	go r.pump(caller, node, r.forwardRequest)
	go r.pump(node, caller, r.forwardResponse)
}

// register adds both connections of a pair, or closes the one to the node and returns
// false if the relay is closed.
func (r *relay) register(caller, node net.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		_ = node.Close()
		return false
	}
	r.connections[caller] = struct{}{}
	r.connections[node] = struct{}{}
	r.wait.Add(2)
	return true
}

// pump forwards bytes until one side closes or a fault closes the connection.
func (r *relay) pump(from, to net.Conn, step func(to net.Conn, data []byte) bool) {
	defer r.wait.Done()
	defer r.end(from, to)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !step(to, buffer[:n]) || err != nil {
			return
		}
	}
}

// end closes and removes connections.
func (r *relay) end(connections ...net.Conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, connection := range connections {
		_ = connection.Close()
		delete(r.connections, connection)
	}
}

// forwardRequest forwards bytes of a request subject to a random fault. It returns
// false if the connection must be closed.
func (r *relay) forwardRequest(to net.Conn, data []byte) bool {
	switch r.draw(requestFaults) {
	case cutBefore:
		return false
	case cutWithin:
		_, _ = to.Write(data[:len(data)/2])
		time.Sleep(flushTime)
		return false
	case cutAfter:
		_, _ = to.Write(data)
		time.Sleep(flushTime)
		return false
	default:
		_, err := to.Write(data)
		return err == nil
	}
}

// forwardResponse forwards bytes of a response subject to a random fault. It returns
// false if the connection must be closed.
func (r *relay) forwardResponse(to net.Conn, data []byte) bool {
	switch r.draw(responseFaults) {
	case loseResponse:
		time.Sleep(r.delay())
		return false
	case delayResponse:
		time.Sleep(r.delay())
	}
	_, err := to.Write(data)
	return err == nil
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	r.closed = true
	for connection := range r.connections {
		_ = connection.Close()
	}
	r.mutex.Unlock()
	r.wait.Wait()
}

// relays holds the relays of a fleet, one in front of each node. It is safe for
// concurrent use.
type relays struct {
	mutex sync.Mutex
	seed  uint64
	share float64
	all   []*relay
}

// advertise starts a relay for a new node; see fleet.Config.Advertise.
func (r *relays) advertise(string) (string, func(string), error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	added, err := newRelay(r.seed + uint64(len(r.all)))
	if err != nil {
		return "", nil, err
	}
	added.setShare(r.share)
	r.all = append(r.all, added)
	return added.address(), added.setTarget, nil
}

// setShare sets the share of reads with a fault for all relays, including those that
// are added later.
func (r *relays) setShare(share float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.share = share
	for _, each := range r.all {
		each.setShare(share)
	}
}

// played returns the number of faults of each kind that were injected so far.
func (r *relays) played() map[fault]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sum := make(map[fault]int)
	for _, each := range r.all {
		each.mutex.Lock()
		for which, n := range each.played {
			sum[which] += n
		}
		each.mutex.Unlock()
	}
	return sum
}

func (r *relays) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, each := range r.all {
		each.close()
	}
}
