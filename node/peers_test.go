package node

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a caller that does not read its answer and holds a connection
// and a goroutine for good.
func TestWriteToAPeerThatDoesNotReadEnds(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := boundedListener{Listener: inner, timeout: 100 * time.Millisecond}
	defer listener.Close()
	peer, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer peer.Close()
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(make([]byte, 64<<20))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
