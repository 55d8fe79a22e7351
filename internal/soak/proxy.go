package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkFault is the fault that a proxy applies to its connections.
type LinkFault uint8

// Faults of a link.
const (
	// LinkHealthy forwards all bytes.
	LinkHealthy LinkFault = iota
	// LinkDelay delays each chunk of bytes by linkDelay.
	LinkDelay
	// LinkReset resets open connections once; new connections work.
	LinkReset
	// LinkCutForward discards bytes sent toward the upstream while it lasts.
	LinkCutForward
	// LinkCutBack discards bytes sent by the upstream while it lasts.
	LinkCutBack
	// LinkSilence permanently stops forwarding on open connections without closing
	// them; new connections work.
	LinkSilence
	// LinkBlackhole holds back all bytes of open and new connections while it lasts.
	LinkBlackhole
	// LinkDuplicate sends each chunk toward the upstream twice. No schedule draws
	// it; it is a deliberate violation that the checks must find.
	LinkDuplicate
)

// String returns the name of the fault in schedules.
func (f LinkFault) String() string {
	return [...]string{"sound", "delay", "reset", "cut forward", "cut back", "silence", "dark", "twice"}[f]
}

const (
	// proxyBufferSize is the size of the read buffer of one direction, in bytes.
	proxyBufferSize = 16 << 10
	// linkDelay is the delay of one chunk.
	linkDelay = 80 * time.Millisecond
	// linkPollInterval is the time between two checks whether a link that holds bytes
	// back may forward them.
	linkPollInterval = 20 * time.Millisecond
	// proxyDialTimeout bounds the time in which a proxy connects to its upstream.
	proxyDialTimeout = time.Second
)

// proxy forwards the connections of one link and applies its fault.
type proxy struct {
	listener net.Listener
	// upstream is the address to which connections are forwarded.
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
	// silent is set by LinkSilence; a silent link forwards nothing.
	silent atomic.Bool
	// lost is set when bytes were discarded. The link is then reset when the fault
	// ends, since its byte stream has a gap.
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

// open connects to the upstream for one client and forwards bytes until the link
// ends.
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

// add registers a link. It returns false if the proxy is closed.
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

// copy forwards the bytes of one direction until either side closes; cut is the
// fault that discards them.
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

// forward writes one chunk subject to the current fault. It returns false if the link
// must end.
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

// forwardEnd forwards the end of a connection once the link may forward bytes again.
// An error other than EOF is forwarded as a reset.
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

// wait waits for one poll interval of a link that holds bytes back.
func (l *link) wait() bool { return l.sleep(linkPollInterval) }

// sleep waits for d. It returns false if the link ends earlier.
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

// set changes the fault of the proxy. Connections that lost bytes are reset when the
// fault ends.
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

// close closes the listener and all connections, and waits for their goroutines.
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

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// linkFaults lists the faults that a schedule can draw.
var linkFaults = []LinkFault{LinkDelay, LinkReset, LinkCutForward, LinkCutBack, LinkSilence, LinkBlackhole}

func drawLinkFault(r *rand.Rand) LinkFault { return linkFaults[r.IntN(len(linkFaults))] }
