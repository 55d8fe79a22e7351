// Package tlsconfig creates mutual TLS 1.3 configurations from the settings of
// a node. It reloads the certificate, the key and the authorities when their
// files change. Open connections stay open; new handshakes use the files that
// were loaded last. If the files cannot be used, the error is logged and the
// previous ones stay in use.
//
// Peers are identified by the name in their certificate (see IdentityOf) and
// not by their host name, because VMs are addressed by IP and may be replaced
// at any time.
package tlsconfig

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

const (
	// ReloadInterval is the interval at which a node checks the files.
	ReloadInterval = 5 * time.Second
	// ExpiryWarningPeriod is the time before the expiry of the certificate from
	// which Watch logs a warning.
	ExpiryWarningPeriod = 7 * 24 * time.Hour
	// WarningInterval is the time between repeated log lines about the same expiry
	// or reload error.
	WarningInterval = time.Hour
)

// credentials holds the files as loaded at one time. It is immutable.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	content     [3][]byte
}

// A Source provides the credentials of a node. It is safe for concurrent use.
type Source struct {
	files   [3]string
	clock   func() time.Time
	current atomic.Pointer[credentials]
}

// An Option configures a Source.
type Option func(*Source)

// WithClock replaces the clock that is used to check validity periods.
func WithClock(clock func() time.Time) Option {
	return func(s *Source) { s.clock = clock }
}

// Load reads the files that the settings name. Errors match ErrFiles.
func Load(settings *pb.TlsSettings, options ...Option) (*Source, error) {
	s := &Source{
		files: [3]string{settings.GetCertificateFile(), settings.GetKeyFile(), settings.GetAuthoritiesFile()},
		clock: time.Now,
	}
	for _, option := range options {
		option(s)
	}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again and reports whether they have changed. If they
// cannot be used, the previous credentials stay in use and the error matches
// ErrFiles.
func (s *Source) Reload() (bool, error) {
	content, err := s.read()
	if err != nil {
		return false, err
	}
	if old := s.current.Load(); old != nil && old.equal(content) {
		return false, nil
	}
	loaded, err := parse(content)
	if err != nil {
		return false, err
	}
	if s.clock().After(loaded.certificate.Leaf.NotAfter) {
		return false, errors.Wrapf(ErrFiles, "the certificate expired at %s", loaded.certificate.Leaf.NotAfter.Format(time.RFC3339))
	}
	s.current.Store(loaded)
	return true, nil
}

// read returns the content of the certificate, key and authorities files.
func (s *Source) read() ([3][]byte, error) {
	var content [3][]byte
	for i, name := range s.files {
		data, err := os.ReadFile(name)
		if err != nil {
			return content, errors.Wrapf(ErrFiles, "%v", err)
		}
		content[i] = data
	}
	return content, nil
}

func (m *credentials) equal(content [3][]byte) bool {
	return slices.EqualFunc(m.content[:], content[:], bytes.Equal)
}

// parse returns the credentials in the content of the three files and checks that
// they are usable.
func parse(content [3][]byte) (*credentials, error) {
	certificate, err := tls.X509KeyPair(content[0], content[1])
	if err != nil {
		return nil, errors.Wrapf(ErrFiles, "%v", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(content[2]) {
		return nil, errors.Wrap(ErrFiles, "authorities_file contains no PEM certificate")
	}
	if _, err := IdentityOf(certificate.Leaf); err != nil {
		return nil, errors.Wrapf(ErrFiles, "%v", err)
	}
	return &credentials{certificate: &certificate, authorities: authorities, content: content}, nil
}

// Identity returns the identity in the certificate in use.
func (s *Source) Identity() Identity {
	identity, _ := IdentityOf(s.current.Load().certificate.Leaf)
	return identity
}

// Expiry returns the time when the certificate in use expires.
func (s *Source) Expiry() time.Time {
	return s.current.Load().certificate.Leaf.NotAfter
}

// Server returns the configuration of a listener that accepts peers with one of
// the given roles. Session tickets are disabled, so that every new connection
// is checked against the current authorities.
func (s *Source) Server(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.currentServerConfig(roles), nil
		},
	}
}

// currentServerConfig returns the configuration of one accepted connection, with the
// credentials that are in use at this time.
func (s *Source) currentServerConfig(roles []Role) *tls.Config {
	m := s.current.Load()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*m.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(&state, m.authorities, x509.ExtKeyUsageClientAuth, roles)
		},
	}
}

// Client returns the configuration of connections to peers with one of the
// given roles.
func (s *Source) Client(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The host name is not checked. VerifyConnection checks the certificate chain
		// and the identity instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(&state, s.current.Load().authorities, x509.ExtKeyUsageServerAuth, roles)
		},
	}
}

// verify checks the certificate chain and the role of a peer.
func (s *Source) verify(state *tls.ConnectionState, authorities *x509.CertPool, usage x509.ExtKeyUsage, roles []Role) error {
	if err := s.verifyChain(state, authorities, usage); err != nil {
		return err
	}
	identity, err := Identify(state)
	if err != nil {
		return err
	}
	if !slices.Contains(roles, identity.Role) {
		return errors.Wrapf(ErrRole, "%s", identity)
	}
	return nil
}

// verifyChain checks that the certificate of a peer is valid and issued by one of the
// authorities for the given usage.
func (s *Source) verifyChain(state *tls.ConnectionState, authorities *x509.CertPool, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrUntrusted, "no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		CurrentTime:   s.clock(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return errors.Wrapf(ErrUntrusted, "%v", err)
	}
	return nil
}

// Watch reloads the files at every interval until the context is done. It logs
// reloads, files that cannot be used, and a certificate that expires soon.
func (s *Source) Watch(ctx context.Context, interval time.Duration, logger *zap.Logger) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	w := watcher{source: s, logger: logger}
	for {
		w.check()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// watcher records what was logged last, so that a persistent problem is logged
// once per WarningInterval.
type watcher struct {
	source      *Source
	logger      *zap.Logger
	lastError   string
	lastErrorAt time.Time
	lastWarning time.Time
}

// check reloads the files once and logs what has changed.
func (w *watcher) check() {
	now := w.source.clock()
	changed, err := w.source.Reload()
	if err != nil {
		w.reportReloadError(now, err)
	} else {
		w.lastError = ""
	}
	if changed {
		w.logger.Info("the certificate files were reloaded", zap.Time("expires", w.source.Expiry()))
		w.lastWarning = time.Time{}
	}
	w.reportExpiry(now)
}

func (w *watcher) reportReloadError(now time.Time, err error) {
	text := err.Error()
	if text == w.lastError && now.Sub(w.lastErrorAt) < WarningInterval {
		return
	}
	w.lastError, w.lastErrorAt = text, now
	w.logger.Error("the certificate files were not reloaded; the earlier ones stay in use", zap.Error(err))
}

func (w *watcher) reportExpiry(now time.Time) {
	remaining := w.source.Expiry().Sub(now)
	if remaining > ExpiryWarningPeriod || now.Sub(w.lastWarning) < WarningInterval {
		return
	}
	w.lastWarning = now
	if remaining <= 0 {
		w.logger.Error("the certificate has expired; peers refuse it until it is replaced", zap.Time("expired", w.source.Expiry()))
		return
	}
	w.logger.Warn("the certificate expires soon; replace its files", zap.Time("expires", w.source.Expiry()))
}
