package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
)

// A proxy passes connections on to one address. A cut resets the connections that one
// process has opened, or all, and refuses new ones of it.
type proxy struct {
	listener net.Listener
	upstream string
	dialer   net.Dialer
	mu       sync.Mutex
	open     map[net.Conn]int
	// cutAll and cutPID say whose connections are cut off.
	cutAll bool
	cutPID int
}

func startProxy(address, upstream string) (*proxy, error) {
	return startProxyWith(address, upstream, nil)
}

// startNarrowProxy starts a proxy whose connections have small windows, as the links of the
// platform have: a peer that does not read soon blocks the writer.
func startNarrowProxy(address, upstream string) (*proxy, error) {
	return startProxyWith(address, upstream, func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, windowBytes)
		})
	})
}

// The segments and windows of a narrow proxy.
const (
	segmentBytes = 1460
	windowBytes  = 32 << 10
)

func startProxyWith(address, upstream string, control func(network, address string, raw syscall.RawConn) error) (*proxy, error) {
	config := net.ListenConfig{Control: control}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: upstream, dialer: net.Dialer{Control: control}, open: map[net.Conn]int{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(conn net.Conn) {
	pid := ownerOf(conn)
	p.mu.Lock()
	if p.isCut(pid) {
		p.mu.Unlock()
		reset(conn)
		return
	}
	p.open[conn] = pid
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, conn)
		p.mu.Unlock()
	}()
	up, err := p.dialer.Dial("tcp", p.upstream)
	if err != nil {
		reset(conn)
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	pass := func(to, from net.Conn) {
		defer both.Done()
		if _, err := io.Copy(to, from); err != nil {
			reset(to)
			return
		}
		_ = to.(*net.TCPConn).CloseWrite()
	}
	go pass(up, conn)
	go pass(conn, up)
	both.Wait()
	_ = up.Close()
	_ = conn.Close()
}

// isCut reports whether a process is cut off. A connection whose process could not be found
// is reset too; its process opens another one. The caller holds the mutex.
func (p *proxy) isCut(pid int) bool {
	return p.cutAll || p.cutPID != 0 && (pid == p.cutPID || pid == 0)
}

// cut resets the connections of a process, or of all for 0, and refuses new ones. It returns
// the number of connections that it has reset.
func (p *proxy) cut(pid int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAll, p.cutPID = pid == 0, pid
	count := 0
	for conn, owner := range p.open {
		if p.isCut(owner) {
			reset(conn)
			count++
		}
	}
	return count
}

// heal ends a cut.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAll, p.cutPID = false, 0
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// pids holds the processes among which ownerOf searches.
var pids sync.Map

// ownerOf returns the process of the test that has opened a connection which was accepted, or
// 0.
func ownerOf(conn net.Conn) int {
	inode := inodeOf(hexAddress(conn.RemoteAddr()), hexAddress(conn.LocalAddr()))
	if inode == "" {
		return 0
	}
	found := 0
	pids.Range(func(key, _ any) bool {
		folder := fmt.Sprintf("/proc/%d/fd", key)
		entries, _ := os.ReadDir(folder)
		for _, e := range entries {
			if link, err := os.Readlink(folder + "/" + e.Name()); err == nil && link == "socket:["+inode+"]" {
				found = key.(int)
				return false
			}
		}
		return true
	})
	return found
}

// hexAddress returns an address as the system lists it.
func hexAddress(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// inodeOf returns the inode of the socket with a local and a remote address.
func inodeOf(local, remote string) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 9 && fields[1] == local && fields[2] == remote {
			return fields[9]
		}
	}
	return ""
}
