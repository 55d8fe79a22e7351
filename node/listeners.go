package node

import (
	"net"

	"github.com/cockroachdb/errors"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// CallersAddress returns the address of the listener for callers.
func (n *Node) CallersAddress() string { return n.listeners.callers.Addr().String() }

// TargetAddress returns the address of the listener for the target beside the
// node.
func (n *Node) TargetAddress() string { return n.listeners.target.Addr().String() }

// NodesAddress returns the address of the listener for other nodes.
func (n *Node) NodesAddress() string { return n.listeners.nodes.Addr().String() }

// OperatorsAddress returns the address of the listener for operators.
func (n *Node) OperatorsAddress() string { return n.listeners.operators.Addr().String() }

// listeners holds the listening sockets of the node.
type listeners struct {
	callers   net.Listener
	target    net.Listener
	nodes     net.Listener
	operators net.Listener
}

func openListeners(settings *pb.ListenSettings) (*listeners, error) {
	opened := &listeners{}
	for _, wanted := range []struct {
		address string
		into    *net.Listener
	}{
		{settings.GetCallers(), &opened.callers},
		{settings.GetTarget(), &opened.target},
		{settings.GetNodes(), &opened.nodes},
		{settings.GetOperators(), &opened.operators},
	} {
		listener, err := net.Listen("tcp", wanted.address)
		if err != nil {
			opened.close()
			return nil, errors.Wrapf(err, "node: cannot listen on %s; correct listen in the settings", wanted.address)
		}
		*wanted.into = listener
	}
	return opened, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.target, l.nodes, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
