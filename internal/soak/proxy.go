package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkFault is what a proxy does with the bytes of its connections.
type LinkFault uint8

// Faults of a link.
const (
	// LinkHealthy passes all bytes on.
	LinkHealthy LinkFault = iota
	// LinkDelay passes bytes on late.
	LinkDelay
	// LinkReset resets open connections once; new ones work.
	LinkReset
	// LinkCutForward loses bytes towards the listener while it lasts.
	LinkCutForward
	// LinkCutBack loses bytes from the listener while it lasts.
	LinkCutBack
	// LinkSilence silences open connections for good; new ones work.
	LinkSilence
	// LinkBlackhole silences open and new connections while it lasts.
	LinkBlackhole
	// LinkDuplicate sends each chunk towards the listener twice. No schedule draws
	// it: it is a deliberate breakage that the checks have to notice.
	LinkDuplicate
)

// String returns the name of the fault.
func (f LinkFault) String() string {
	return [...]string{"sound", "delay", "reset", "cut forward", "cut back", "silence", "dark", "twice"}[f]
}

const (
	// proxyChunk is the size of one read in bytes.
	proxyBufferSize = 16 << 10
	// linkDelay is the delay of one chunk.
	linkDelay = 80 * time.Millisecond
	// linkPoll is the time between two looks at a link that holds bytes back.
	linkPollInterval = 20 * time.Millisecond
	// proxyDialTimeout bounds the opening of the connection behind a proxy.
	proxyDialTimeout = time.Second
)

// proxy forwards the connections of one link and applies its fault.
type proxy struct {
	listener net.Listener
	// upstream returns the address behind the proxy.
	upstream string
	fault    atomic.Uint32
	mutex    sync.Mutex
	links    map[*link]struct{}
	closed   bool
	tasks    sync.WaitGroup
}

// link is one connection through a proxy.
type link struct {
	client, server net.Conn
	// silent links carry nothing any more.
	silent atomic.Bool
	// lost is set when bytes were lost; the link is reset when the fault ends.
	lost  atomic.Bool
	ended chan struct{}
	once  sync.Once
}

func newProxy(listen, upstream string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: upstream, links: make(map[*link]struct{})}
	p.tasks.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Go(func() { p.open(conn) })
	}
}

// open connects one client with the listener behind the proxy.
func (p *proxy) open(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.upstream, proxyDialTimeout)
	if err != nil {
		reset(client)
		return
	}
	l := &link{client: client, server: server, ended: make(chan struct{})}
	if !p.add(l) {
		l.end()
		return
	}
	p.tasks.Go(func() { p.copy(l, client, server, LinkCutForward) })
	p.copy(l, server, client, LinkCutBack)
	p.remove(l)
}

func (p *proxy) add(l *link) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return false
	}
	p.links[l] = struct{}{}
	return true
}

func (p *proxy) remove(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.links, l)
}

// copy moves the bytes of one direction until an end closes; cut is the fault
// that loses them.
func (p *proxy) copy(l *link, from, to net.Conn, cut LinkFault) {
	defer l.end()
	buffer := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(l, to, buffer[:n], cut) {
			return
		}
		if err != nil {
			p.forwardEnd(l, to, err)
			return
		}
	}
}

// pass writes one chunk as the fault allows; false ends the link.
func (p *proxy) forward(l *link, to net.Conn, chunk []byte, cut LinkFault) bool {
	for {
		fault := LinkFault(p.fault.Load())
		switch {
		case l.silent.Load() || fault == LinkBlackhole:
			if !l.wait() {
				return false
			}
			continue
		case fault == cut:
			l.lost.Store(true)
			return true
		case fault == LinkDelay && !l.sleep(linkDelay):
			return false
		case fault == LinkDuplicate && cut == LinkCutForward:
			chunk = append(append([]byte(nil), chunk...), chunk...)
		}
		_, err := to.Write(chunk)
		return err == nil
	}
}

// passEnd waits with the end of a connection as long as the link carries nothing.
func (p *proxy) forwardEnd(l *link, to net.Conn, err error) {
	for l.silent.Load() || LinkFault(p.fault.Load()) == LinkBlackhole {
		if !l.wait() {
			return
		}
	}
	if err == io.EOF {
		return
	}
	reset(to)
}

func (l *link) wait() bool { return l.sleep(linkPollInterval) }

// sleep returns false if the link ends meanwhile.
func (l *link) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-l.ended:
		return false
	}
}

func (l *link) end() {
	l.once.Do(func() {
		close(l.ended)
		_ = l.client.Close()
		_ = l.server.Close()
	})
}

// set changes the fault of the link. Connections that lost bytes are reset when
// the fault ends.
func (p *proxy) set(fault LinkFault) {
	p.fault.Store(uint32(fault))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for l := range p.links {
		switch {
		case fault == LinkSilence:
			l.silent.Store(true)
		case fault == LinkReset, fault == LinkHealthy && l.lost.Load():
			reset(l.client)
			reset(l.server)
			l.end()
		}
	}
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	for l := range p.links {
		l.end()
	}
	p.mutex.Unlock()
	p.tasks.Wait()
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// linkFaults are the faults that a schedule draws.
var linkFaults = []LinkFault{LinkDelay, LinkReset, LinkCutForward, LinkCutBack, LinkSilence, LinkBlackhole}

func drawLinkFault(r *rand.Rand) LinkFault { return linkFaults[r.IntN(len(linkFaults))] }
