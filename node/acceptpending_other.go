//go:build !linux

package node

import "net"

// acceptPending does nothing on systems other than Linux. Connections that are
// pending when the listener is closed are reset there.
func acceptPending(*net.TCPListener) ([]net.Conn, error) { return nil, nil }
