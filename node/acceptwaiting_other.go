//go:build !linux

package node

import "net"

// acceptWaiting does nothing on systems other than Linux; connections that wait
// when the listener closes are reset there.
func acceptWaiting(*net.TCPListener) ([]net.Conn, error) { return nil, nil }
