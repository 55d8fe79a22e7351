package node

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"golang.org/x/net/netutil"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/node/httpapi"
	"github.com/primrosemount/primrosemount/operator"
	"github.com/primrosemount/primrosemount/telemetry"
	"github.com/primrosemount/primrosemount/transport/tlsconfig"
	"github.com/primrosemount/primrosemount/wire"
)

const (
	// headerTimeout and bodyTimeout end connections of slow and half-open
	// callers, so that they cannot hold resources.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// announcementInterval is the time between two announcements of a target.
	announcementInterval = time.Second
	maxAnnouncementBytes = 16 << 10
)

// httpServers are the servers of the HTTP listeners.
type httpServers struct {
	callers   *http.Server
	target    *http.Server
	operators *http.Server
	whole     wholeRequests
	// calling are the connections of callers.
	calling   *connections
	accepting *drainListener
	// callersEnded is closed when no more connection of callers is accepted.
	callersEnded chan struct{}
}

// all returns the servers.
func (s *httpServers) all() []*http.Server {
	return []*http.Server{s.callers, s.target, s.operators}
}

// buildHTTP creates the servers for callers, the target and operators.
func (n *Node) buildHTTP() error {
	if err := n.buildCallers(); err != nil {
		return err
	}
	n.servers.target = n.newServer(telemetry.PartEgress, n.targetHandler())
	operators, err := operator.NewHandler(operator.ServerConfig{
		Source:  &source{node: n, started: time.Now()},
		Metrics: n.metrics.Handler(),
	})
	if err != nil {
		return err
	}
	n.servers.operators = n.newServer(telemetry.PartOperators, operators)
	return nil
}

// buildCallers creates the server for callers, whose connections are followed
// so that a planned stop resets none.
func (n *Node) buildCallers() error {
	accepting, ok := n.listeners.callers.(*net.TCPListener)
	if !ok {
		return errors.New("node: the listener for callers is not TCP; correct listen.callers in the settings")
	}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post(wire.ServicesPath+"{service:string}/keys", n.serveKeys)
	app.Post(wire.ServicesPath+"{service:string}/{operation:string}", n.serveCall)
	app.OnAnyErrorCode(serveNoRoute)
	if err := app.Build(); err != nil {
		return errors.Wrap(err, "node: the routes for callers could not be built")
	}
	n.servers.accepting = &drainListener{TCPListener: accepting}
	n.servers.callersEnded = make(chan struct{})
	n.servers.calling = newConnections()
	n.servers.callers = n.newServer(telemetry.PartEntry, n.politeClose(app))
	n.servers.callers.ConnState = n.servers.calling.follow
	return nil
}

// serveHTTP starts the servers.
func (n *Node) serveHTTP() {
	n.spawn(func() {
		defer close(n.servers.callersEnded)
		n.logEnd("callers", ignoreClosed(n.servers.callers.Serve(n.callerListener())))
	})
	target := boundedListener{Listener: n.listeners.target, timeout: answerTimeout}
	n.spawn(func() { n.logEnd("target", ignoreClosed(n.servers.target.Serve(target))) })
	operators := n.trust.listen(n.listeners.operators, tlsconfig.RoleOperator)
	n.spawn(func() { n.logEnd("operators", ignoreClosed(n.servers.operators.Serve(operators))) })
}

// callerListener bounds the connections of callers and demands certificates
// where the node has keys.
func (n *Node) callerListener() net.Listener {
	bounded := netutil.LimitListener(n.servers.accepting, int(n.settings.GetBounds().GetCallerConnections()))
	return n.trust.listen(bounded, tlsconfig.RoleService)
}

func (n *Node) newServer(part telemetry.Part, handler http.Handler) *http.Server {
	return &http.Server{
		ErrorLog:          log.New(errorLog{telemetry.Named(n.logger, part)}, "", 0),
		Handler:           n.servers.whole.track(handler),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(n.settings.GetBounds().GetHeaderBytes()),
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// politeClose asks callers of a leaving node to open their next connection
// elsewhere.
func (n *Node) politeClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (n *Node) serveCall(ctx iris.Context) {
	w, r := ctx.ResponseWriter(), ctx.Request()
	n.api.Call(w, r, callerOf(r), ctx.Params().Get("service"), ctx.Params().Get("operation"))
}

func (n *Node) serveKeys(ctx iris.Context) {
	w, r := ctx.ResponseWriter(), ctx.Request()
	n.api.Keys(w, r, callerOf(r), ctx.Params().Get("service"))
}

func serveNoRoute(ctx iris.Context) {
	detail := "no such path; calls go to POST " + wire.ServicesPath + "SERVICE/OPERATION"
	httpapi.WriteProblem(ctx.ResponseWriter(), outcome.New(outcome.NotRun, outcome.BadRequest, detail))
}

// targetHandler serves the target beside the node: announcements and calls.
func (n *Node) targetHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+wire.TargetPath, n.serveAnnouncement)
	mux.HandleFunc("POST "+wire.ServicesPath+"{service}/{operation}", func(w http.ResponseWriter, r *http.Request) {
		n.api.CallFromTarget(w, r, r.PathValue("service"), r.PathValue("operation"))
	})
	mux.HandleFunc("POST "+wire.ServicesPath+"{service}/keys", func(w http.ResponseWriter, r *http.Request) {
		n.api.Keys(w, r, httpapi.Caller{Name: n.settings.GetService()}, r.PathValue("service"))
	})
	return mux
}

func (n *Node) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	message, err := n.readAnnouncement(r)
	if err != nil {
		httpapi.WriteProblem(w, err)
		return
	}
	answer := n.announce(r.Context(), message)
	answer.Interval = durationpb.New(announcementInterval)
	body, marshalErr := protojson.Marshal(answer)
	if marshalErr != nil {
		httpapi.WriteProblem(w, outcome.New(outcome.Unknown, outcome.Internal, marshalErr.Error()))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (n *Node) readAnnouncement(r *http.Request) (*pb.Announcement, *outcome.Error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnnouncementBytes))
	if err != nil {
		return nil, outcome.New(outcome.NotRun, outcome.BadRequest, "the announcement could not be read; send it again")
	}
	message := &pb.Announcement{}
	if err := protojson.Unmarshal(body, message); err != nil {
		return nil, outcome.New(outcome.NotRun, outcome.BadRequest, "the announcement is not valid: "+err.Error())
	}
	return message, n.checkAnnouncement(message)
}

func (n *Node) checkAnnouncement(message *pb.Announcement) *outcome.Error {
	if message.GetService() != n.settings.GetService() {
		detail := "the target announces service " + message.GetService() + " but the settings of its node say " + n.settings.GetService()
		return outcome.New(outcome.NotRun, outcome.BadRequest, detail)
	}
	if _, _, err := net.SplitHostPort(message.GetAddress()); err != nil {
		return outcome.New(outcome.NotRun, outcome.BadRequest, "address must be IP:port: "+err.Error())
	}
	if message.GetSlots() == 0 {
		return outcome.New(outcome.NotRun, outcome.BadRequest, "slots is 0; announce the number of requests that the target processes at a time")
	}
	return nil
}

// shutdownHTTP waits for the answers in progress. What the context cuts is
// reported by the drain. Requests that never arrive in whole are not waited for.
func (n *Node) shutdownHTTP(ctx context.Context) {
	n.stopAccepting()
	n.servers.calling.await(ctx)
	n.servers.whole.stop(ctx, n.servers.all())
}

// stopAccepting ends the acceptance of connections of callers without a reset
// of those that the kernel has already opened.
func (n *Node) stopAccepting() {
	if err := n.servers.accepting.drain(); err != nil {
		n.logger.Warn("node: new connections may be reset by the stop", telemetry.ErrorField(err))
	}
	<-n.servers.callersEnded
}

func (n *Node) closeHTTP() {
	for _, server := range n.servers.all() {
		_ = server.Close()
	}
}
