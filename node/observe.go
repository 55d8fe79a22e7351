package node

import (
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/node/httpapi"
)

// observe takes in one whole request as the entry saw it.
func (n *Node) observe(httpapi.Observation) {}

// journalServed notes what this node answered to another one.
func (n *Node) journalServed(*pb.CallRequest, *pb.CallResponse) {}

// Explain implements transport.Handler.
func (n *Node) Explain(_ *pb.ExplainRequest, response *pb.ExplainResponse) {
	response.Node = n.settings.GetVm()
}

// Burn implements transport.Handler.
func (n *Node) Burn(_ *pb.BurnRequest, response *pb.BurnResponse) {
	response.Node = n.settings.GetVm()
}
