package node

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/primrosemount/primrosemount/node/httpapi"
	"github.com/primrosemount/primrosemount/telemetry"
	"github.com/primrosemount/primrosemount/transport/tlsconfig"
)

// trust holds the certificates of the node. Without keys in the settings its
// source is nil; the settings then allow only loopback.
type trust struct {
	source *tlsconfig.Source
}

// loadTrust reads the certificate files that the settings name.
func (n *Node) loadTrust() error {
	if n.settings.GetTls() == nil {
		telemetry.Named(n.logger, telemetry.PartTLS).Warn("no keys in the settings, so only loopback is served")
		return nil
	}
	source, err := tlsconfig.Load(n.settings.GetTls())
	n.trust.source = source
	return err
}

// client returns the configuration of connections to other nodes.
func (t *trust) client() *tls.Config {
	if t.source == nil {
		return nil
	}
	return t.source.Client(tlsconfig.RoleNode)
}

// server returns the configuration of a listener for the role.
func (t *trust) server(role tlsconfig.Role) *tls.Config {
	if t.source == nil {
		return nil
	}
	return t.source.Server(role)
}

// listen wraps a listener whose peers need a certificate of the role and have
// to read what is written to them.
func (t *trust) listen(listener net.Listener, role tlsconfig.Role) net.Listener {
	listener = boundedListener{Listener: listener, timeout: answerTimeout}
	if t.source == nil {
		return listener
	}
	return tls.NewListener(listener, t.server(role))
}

// callerOf names the caller by its certificate; without TLS, by its address.
func callerOf(r *http.Request) httpapi.Caller {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	caller := httpapi.Caller{Address: host}
	if r.TLS == nil {
		return caller
	}
	if identity, err := tlsconfig.Identify(r.TLS); err == nil {
		caller.Name = identity.Name
	}
	return caller
}
