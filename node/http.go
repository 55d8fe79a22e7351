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
	// headerTimeout and readTimeout close the connections of slow callers and of
	// callers that have disappeared without closing them, so that they do not
	// hold resources. idleTimeout closes keep-alive connections on which no
	// further request arrives.
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// announcementInterval is the interval at which the target repeats its
	// announcement. The node sends it with each response to an announcement.
	announcementInterval = time.Second
	maxAnnouncementBytes = 16 << 10
)

// httpServers holds the servers of the HTTP listeners.
type httpServers struct {
	callers   *http.Server
	target    *http.Server
	operators *http.Server
	received  receivedRequests
	// callerConnections holds the connections of callers.
	callerConnections *activeConnections
	callersListener   *drainListener
	// callersDone is closed when connections of callers are no longer accepted.
	callersDone chan struct{}
}

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

// buildCallers creates the server for callers. Its connections are tracked so
// that a graceful shutdown resets none of them.
func (n *Node) buildCallers() error {
	callersListener, ok := n.listeners.callers.(*net.TCPListener)
	if !ok {
		return errors.New("node: the listener for callers is not TCP; correct listen.callers in the settings")
	}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post(wire.ServicesPath+"{service:string}/keys", n.serveKeys)
	app.Post(wire.ServicesPath+"{service:string}/{operation:string}", n.serveCall)
	app.OnAnyErrorCode(serveNotFound)
	if err := app.Build(); err != nil {
		return errors.Wrap(err, "node: the routes for callers could not be built")
	}
	n.servers.callersListener = &drainListener{TCPListener: callersListener}
	n.servers.callersDone = make(chan struct{})
	n.servers.callerConnections = newActiveConnections()
	n.servers.callers = n.newServer(telemetry.PartEntry, n.closeWhenDraining(app))
	n.servers.callers.ConnState = n.servers.callerConnections.track
	return nil
}

// serveHTTP starts the servers.
func (n *Node) serveHTTP() {
	n.spawn(func() {
		defer close(n.servers.callersDone)
		n.logTaskError("callers", ignoreClosed(n.servers.callers.Serve(n.callerListener())))
	})
	target := writeTimeoutListener{Listener: n.listeners.target, timeout: writeTimeout}
	n.spawn(func() { n.logTaskError("target", ignoreClosed(n.servers.target.Serve(target))) })
	operators := n.certificates.wrapListener(n.listeners.operators, tlsconfig.RoleOperator)
	n.spawn(func() { n.logTaskError("operators", ignoreClosed(n.servers.operators.Serve(operators))) })
}

// callerListener returns the listener for callers. It limits their connections
// and requires client certificates if the node has certificates.
func (n *Node) callerListener() net.Listener {
	bounded := netutil.LimitListener(n.servers.callersListener, int(n.settings.GetBounds().GetCallerConnections()))
	return n.certificates.wrapListener(bounded, tlsconfig.RoleService)
}

func (n *Node) newServer(part telemetry.Part, handler http.Handler) *http.Server {
	return &http.Server{
		ErrorLog:          log.New(httpErrorLog{telemetry.Named(n.logger, part)}, "", 0),
		Handler:           n.servers.received.track(handler),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
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

// closeWhenDraining makes a draining node close each connection of a caller
// after the response, so that the caller connects to another node.
func (n *Node) closeWhenDraining(next http.Handler) http.Handler {
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

func serveNotFound(ctx iris.Context) {
	detail := "no such path; calls go to POST " + wire.ServicesPath + "SERVICE/OPERATION"
	httpapi.WriteProblem(ctx.ResponseWriter(), outcome.New(outcome.NotRun, outcome.BadRequest, detail))
}

// targetHandler handles the announcements and calls of the target beside the
// node.
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
	response := n.handleAnnouncement(r.Context(), message)
	response.Interval = durationpb.New(announcementInterval)
	body, marshalErr := protojson.Marshal(response)
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

// shutdownHTTP waits for the responses in progress. The drain reports the
// requests that are aborted when the context ends. It does not wait for requests
// that are never completely received.
func (n *Node) shutdownHTTP(ctx context.Context) {
	n.stopAccepting()
	n.servers.callerConnections.awaitIdle(ctx)
	n.servers.received.shutdown(ctx, n.servers.all())
}

// stopAccepting stops accepting connections of callers without resetting those
// that the kernel has already established.
func (n *Node) stopAccepting() {
	if err := n.servers.callersListener.drain(); err != nil {
		n.logger.Warn("node: pending connections may be reset during the shutdown", telemetry.ErrorField(err))
	}
	<-n.servers.callersDone
}

func (n *Node) closeHTTP() {
	for _, server := range n.servers.all() {
		_ = server.Close()
	}
}
