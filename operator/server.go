package operator

import (
	"bytes"
	"context"
	"encoding/hex"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemount/primrosemount/core/catalogue"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/transport/tlsconfig"
)

const (
	// MaxChangeBytes is the maximum body size of a change. An entry in JSON is up to
	// a few times as large as its encoded form, which catalogue.MaxEntryBytes limits.
	MaxChangeBytes = 4 * catalogue.MaxEntryBytes
	// MaxExplainEntries is the maximum number of journal entries that one node returns.
	MaxExplainEntries = 1000
	// QueryTimeout is the time limit for processing a GET request.
	QueryTimeout = 5 * time.Second
	// SubmitTimeout is the maximum wait for the result of a change.
	SubmitTimeout = 10 * time.Second
)

// A ServerConfig configures the operators' interface of a node.
type ServerConfig struct {
	Source Source
	// Metrics serves PathMetrics. Nil means that metrics are not served.
	Metrics http.Handler
}

// server implements the handlers of the operators' interface.
type server struct {
	source Source
}

// NewHandler returns the handler of the operators' listener. With TLS the listener must
// require client certificates (see tlsconfig.Source.Server), and the operator of a change
// is the name in the certificate. Without TLS only requests to an IP address or to
// localhost are served. This prevents DNS rebinding: a page in a browser cannot reach the
// node through a host name that the page's site controls.
func NewHandler(config ServerConfig) (http.Handler, error) {
	s := &server{source: config.Source}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutBodyConsumptionOnUnmarshal, iris.WithFireMethodNotAllowed)
	app.UseRouter(checkHost)
	app.OnErrorCode(iris.StatusNotFound, s.notFound)
	app.OnErrorCode(iris.StatusMethodNotAllowed, s.methodNotAllowed)
	s.register(app)
	if config.Metrics != nil {
		app.Get(PathMetrics, iris.FromStd(config.Metrics))
	}
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "operator: the handlers cannot be built; report this to the developers")
	}
	return app, nil
}

func (s *server) register(app *iris.Application) {
	app.Get(PathStatus, queryHandler(func(ctx context.Context, _ iris.Context) (proto.Message, error) { return s.source.Status(ctx) }))
	app.Get(PathMembers, queryHandler(func(ctx context.Context, _ iris.Context) (proto.Message, error) { return s.source.Members(ctx) }))
	app.Get(PathBurn, queryHandler(func(ctx context.Context, _ iris.Context) (proto.Message, error) { return s.source.Burn(ctx) }))
	app.Get(PathCatalogue, queryHandler(s.catalogue))
	app.Get(PathHistory, queryHandler(s.history))
	app.Get(PathExplain, queryHandler(s.explain))
	app.Post(PathChanges, s.submit)
}

// checkHost rejects requests without TLS to host names other than localhost.
func checkHost(ctx iris.Context) {
	if ctx.Request().TLS == nil && !isIPOrLocalhost(ctx.Request().Host) {
		writeProblem(ctx, http.StatusMisdirectedRequest, outcome.NotRun, "without TLS the node answers only to an IP address or localhost; use one of these in the URL")
		ctx.StopExecution()
		return
	}
	ctx.Next()
}

func isIPOrLocalhost(host string) bool {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		name = host
	}
	return name == "localhost" || net.ParseIP(name) != nil
}

// queryHandler returns a handler for GET requests that responds with the message that
// query returns.
func queryHandler(query func(context.Context, iris.Context) (proto.Message, error)) iris.Handler {
	return func(ctx iris.Context) {
		timeoutCtx, cancel := context.WithTimeout(ctx.Request().Context(), QueryTimeout)
		defer cancel()
		message, err := query(timeoutCtx, ctx)
		if err != nil {
			writeError(ctx, err, 0)
			return
		}
		writeMessage(ctx, http.StatusOK, jsonType, message)
	}
}

func (s *server) catalogue(ctx context.Context, _ iris.Context) (proto.Message, error) {
	state, err := s.source.Catalogue(ctx)
	if err != nil {
		return nil, err
	}
	return &pb.CatalogueState{
		NextOffset: state.NextOffset,
		Entries:    state.Entries,
		Tombstones: state.Tombstones,
	}, nil
}

func (s *server) history(ctx context.Context, request iris.Context) (proto.Message, error) {
	change, err := hexParam(request, "change", catalogue.ChangeIDBytes)
	if err != nil {
		return nil, err
	}
	state, err := s.source.Catalogue(ctx)
	if err != nil {
		return nil, err
	}
	history := &pb.CatalogueHistory{NextOffset: state.NextOffset}
	service := request.URLParam("service")
	for _, result := range state.Recent {
		if (service == "" || result.Service == service) && (change == nil || bytes.Equal(result.ChangeId, change)) {
			history.Results = append(history.Results, result)
		}
	}
	return history, nil
}

// hexParam returns the value of an optional hexadecimal parameter, which must have
// exactly length bytes. It returns nil if the parameter is missing.
func hexParam(request iris.Context, name string, length int) ([]byte, error) {
	text := request.URLParam(name)
	if text == "" {
		return nil, nil
	}
	value, err := hex.DecodeString(text)
	if err != nil || len(value) != length {
		return nil, errors.Wrapf(ErrInvalid, "%s=%q is not an id; write %d hexadecimal digits", name, text, 2*length)
	}
	return value, nil
}

func (s *server) explain(ctx context.Context, request iris.Context) (proto.Message, error) {
	root, err := hexParam(request, "request", outcome.RootIDBytes)
	if err != nil {
		return nil, err
	}
	target := request.URLParam("target")
	if (root == nil) == (target == "") {
		return nil, errors.Wrap(ErrInvalid, "give exactly one of request=HEX and target=VM")
	}
	entries, err := maxEntriesParam(request)
	if err != nil {
		return nil, err
	}
	return s.source.Explain(ctx, &pb.ExplainRequest{RootId: root, Target: target, MaxEntries: entries})
}

// maxEntriesParam returns the value of the optional parameter max.
func maxEntriesParam(request iris.Context) (uint32, error) {
	text := request.URLParam("max")
	if text == "" {
		return MaxExplainEntries, nil
	}
	value, err := strconv.ParseUint(text, 10, 32)
	if err != nil || value == 0 || value > MaxExplainEntries {
		return 0, errors.Wrapf(ErrInvalid, "max=%q is out of range; write a number from 1 to %d", text, MaxExplainEntries)
	}
	return uint32(value), nil
}

// submit handles a change. An error before the call of the source proves that nothing
// was written.
func (s *server) submit(ctx iris.Context) {
	change, err := readChange(ctx)
	if err != nil {
		writeError(ctx, err, outcome.NotRun)
		return
	}
	timeoutCtx, cancel := context.WithTimeout(ctx.Request().Context(), SubmitTimeout)
	defer cancel()
	result, err := s.source.SubmitChange(timeoutCtx, change)
	if err != nil {
		writeError(ctx, err, outcomeOfSubmitError(err))
		return
	}
	status := http.StatusOK
	if !result.Accepted {
		status = http.StatusConflict
	}
	writeMessage(ctx, status, jsonType, result)
}

// outcomeOfSubmitError returns NotRun for errors that prove that a change was not
// written, and Unknown for all others.
func outcomeOfSubmitError(err error) outcome.Outcome {
	if errors.IsAny(err, ErrInvalid, ErrNotAllowed, ErrStateUnknown, ErrUnavailable) {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// readChange reads and validates the change in the body of a request.
func readChange(ctx iris.Context) (*pb.Change, error) {
	// A browser sends this media type to another origin only after a CORS preflight
	// request, which this server does not allow.
	if mediaType, _, err := mime.ParseMediaType(ctx.GetHeader("Content-Type")); err != nil || mediaType != jsonType {
		return nil, errors.Wrapf(ErrInvalid, "send the change as %s", jsonType)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, ctx.Request().Body, MaxChangeBytes))
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "the body cannot be read (%v); send at most %d bytes", err, MaxChangeBytes)
	}
	change := &pb.Change{}
	if err := protojson.Unmarshal(body, change); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "the body is not a Change: %v", err)
	}
	if err := authorize(ctx.Request(), change); err != nil {
		return nil, err
	}
	if err := catalogue.ValidateChange(change); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "%v", err)
	}
	return change, nil
}

// authorize checks that the operator of a change is the one in the client certificate.
// A change without an operator gets that of the certificate. Without TLS every operator
// is accepted.
func authorize(request *http.Request, change *pb.Change) error {
	if request.TLS == nil {
		return nil
	}
	identity, err := tlsconfig.Identify(request.TLS)
	if err != nil {
		return errors.Wrapf(ErrNotAllowed, "%v", err)
	}
	if identity.Role != tlsconfig.RoleOperator {
		return errors.Wrapf(ErrNotAllowed, "%s is not an operator", identity)
	}
	if change.Operator == "" {
		change.Operator = identity.Name
	}
	if change.Operator != identity.Name {
		return errors.Wrapf(ErrNotAllowed, "the certificate is of %q and the change of %q", identity.Name, change.Operator)
	}
	return nil
}

func (s *server) notFound(ctx iris.Context) {
	writeProblem(ctx, http.StatusNotFound, outcome.NotRun, "there is no such path; see docs/OPERATIONS.md for the paths")
}

func (s *server) methodNotAllowed(ctx iris.Context) {
	writeProblem(ctx, http.StatusMethodNotAllowed, outcome.NotRun, "the path has another method; use POST for "+PathChanges+" and GET otherwise")
}

// statusOf returns the HTTP status for an error of a Source.
func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrInvalid):
		return http.StatusBadRequest
	case errors.Is(err, ErrNotAllowed):
		return http.StatusForbidden
	case errors.IsAny(err, ErrStateUnknown, ErrUnavailable):
		return http.StatusServiceUnavailable
	case errors.IsAny(err, ErrUnsettled, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

func writeError(ctx iris.Context, err error, o outcome.Outcome) {
	writeProblem(ctx, statusOf(err), o, err.Error())
}

// writeProblem writes a problem document. The member outcome is left out if o is zero.
func writeProblem(ctx iris.Context, status int, o outcome.Outcome, detail string) {
	problem := &pb.OperatorProblem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: uint32(status),
		Detail: detail,
	}
	if o != 0 {
		problem.Outcome = o.String()
	}
	writeMessage(ctx, status, problemType, problem)
}

func writeMessage(ctx iris.Context, status int, contentType string, message proto.Message) {
	data, err := encodeJSON(message)
	if err != nil {
		status = http.StatusInternalServerError
	}
	ctx.Header("Content-Type", contentType)
	ctx.StatusCode(status)
	_, _ = ctx.Write(data)
}

// encodeJSON encodes a message as JSON with the field names of the schema.
func encodeJSON(message proto.Message) ([]byte, error) {
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
}
