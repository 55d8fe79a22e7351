// Package operator holds the operators' HTTP interface of a node, its client,
// and the operators' subcommands of the command line.
//
// Messages are JSON by protojson of the schema messages, with the field names
// of the schema:
//
//	GET  /v1/status             NodeStatus
//	GET  /v1/catalogue          CatalogueState without recent results
//	GET  /v1/catalogue/history  CatalogueHistory; ?service=NAME, ?change=HEX
//	POST /v1/catalogue/changes  Change, answered by ChangeResult
//	GET  /v1/members            MembersState
//	GET  /v1/explain            ExplainReport; ?request=HEX or ?target=VM, ?max=N
//	GET  /v1/burn               BurnReport
//	GET  /metrics               metrics in the format of Prometheus
//
// Refusals are OperatorProblem as application/problem+json (RFC 9457). The
// member outcome of a refused change says whether it may have been written.
package operator

import (
	"context"

	"github.com/cockroachdb/errors"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// Source is what a node provides to its operators. Implementations are safe for
// concurrent use. Errors that match none of the kinds below count as internal
// faults; for a change they mean that it may have been written.
type Source interface {
	// Status describes the node.
	Status(ctx context.Context) (*pb.NodeStatus, error)
	// Catalogue returns the whole state, with recent results. The state is not
	// modified by the caller. The error matches ErrStateUnknown before the node has
	// learned the state.
	Catalogue(ctx context.Context) (*pb.CatalogueState, error)
	// SubmitChange writes a change and returns what was decided about it. The
	// error matches ErrInvalid or ErrUnavailable if the change was not written,
	// and ErrUnsettled if it may have been.
	SubmitChange(ctx context.Context, change *pb.Change) (*pb.ChangeResult, error)
	// Members returns the member table. The error matches ErrStateUnknown before
	// the node has learned it.
	Members(ctx context.Context) (*pb.MembersState, error)
	// Explain asks the nodes that may know the request or target.
	Explain(ctx context.Context, request *pb.ExplainRequest) (*pb.ExplainReport, error)
	// Burn asks all nodes and merges their counters.
	Burn(ctx context.Context) (*pb.BurnReport, error)
}

// Kinds of errors of a Source; match them with errors.Is, give them with
// errors.Mark.
var (
	ErrInvalid      = errors.New("operator: the request is not valid; correct it as the detail says")
	ErrNotAllowed   = errors.New("operator: the request is not allowed; use a certificate of the operator that makes it")
	ErrStateUnknown = errors.New("operator: the node does not know the state yet; ask again in a few seconds, or ask another node")
	ErrUnavailable  = errors.New("operator: the log does not take changes now and nothing was written; submit the change again later")
	ErrUnsettled    = errors.New("operator: the change may have been written; ask for its result with `primrosemount catalogue status CHANGE`")
)

// Paths of the interface.
const (
	PathStatus    = "/v1/status"
	PathCatalogue = "/v1/catalogue"
	PathHistory   = "/v1/catalogue/history"
	PathChanges   = "/v1/catalogue/changes"
	PathMembers   = "/v1/members"
	PathExplain   = "/v1/explain"
	PathBurn      = "/v1/burn"
	PathMetrics   = "/metrics"
)

const (
	jsonType    = "application/json"
	problemType = "application/problem+json"
)
