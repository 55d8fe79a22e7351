package node

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/primrosemount/primrosemount/node/httpapi"
	"github.com/primrosemount/primrosemount/telemetry"
	"github.com/primrosemount/primrosemount/transport/tlsconfig"
)

// certificates holds the certificates of the node. If the settings name none,
// source is nil; the settings then permit loopback addresses only.
type certificates struct {
	source *tlsconfig.Source
}

// loadCertificates reads the certificate files that the settings name.
func (n *Node) loadCertificates() error {
	if n.settings.GetTls() == nil {
		telemetry.Named(n.logger, telemetry.PartTLS).Warn("no certificates in the settings, so only loopback addresses are served")
		return nil
	}
	source, err := tlsconfig.Load(n.settings.GetTls())
	n.certificates.source = source
	return err
}

// client returns the TLS configuration for connections to other nodes, or nil
// without certificates.
func (t *certificates) client() *tls.Config {
	if t.source == nil {
		return nil
	}
	return t.source.Client(tlsconfig.RoleNode)
}

// server returns the TLS configuration of a listener whose peers must have the
// role, or nil without certificates.
func (t *certificates) server(role tlsconfig.Role) *tls.Config {
	if t.source == nil {
		return nil
	}
	return t.source.Server(role)
}

// wrapListener returns a listener whose peers need a certificate of the role,
// if the node has certificates, and whose writes time out if the peer does not
// read.
func (t *certificates) wrapListener(listener net.Listener, role tlsconfig.Role) net.Listener {
	listener = writeTimeoutListener{Listener: listener, timeout: writeTimeout}
	if t.source == nil {
		return listener
	}
	return tls.NewListener(listener, t.server(role))
}

// callerOf identifies the caller of a request by its address and, with TLS, by
// the name in its certificate.
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
