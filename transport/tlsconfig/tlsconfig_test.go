package tlsconfig

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// authority is a certificate authority for one test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(1000 * time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{certificate: certificate, key: key, pem: encode("CERTIFICATE", der)}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return key
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// issue writes a new certificate, its key and the authorities to a directory.
func (a *authority) issue(t *testing.T, dir, identity string, validFor time.Duration) *pb.TlsSettings {
	t.Helper()
	key := newKey(t)
	uri, err := url.Parse(identity)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		NotBefore:    time.Now().Add(-2 * time.Hour),
		NotAfter:     time.Now().Add(validFor),
		URIs:         []*url.URL{uri},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	settings := &pb.TlsSettings{
		CertificateFile: filepath.Join(dir, "crt"),
		KeyFile:         filepath.Join(dir, "key"),
		AuthoritiesFile: filepath.Join(dir, "ca"),
	}
	require.NoError(t, os.WriteFile(settings.CertificateFile, encode("CERTIFICATE", der), 0o600))
	require.NoError(t, os.WriteFile(settings.KeyFile, encode("EC PRIVATE KEY", keyDER), 0o600))
	require.NoError(t, os.WriteFile(settings.AuthoritiesFile, a.pem, 0o600))
	return settings
}

func (a *authority) source(t *testing.T, identity string, options ...Option) *Source {
	t.Helper()
	s, err := Load(a.issue(t, t.TempDir(), identity, time.Hour), options...)
	require.NoError(t, err)
	return s
}

// startEchoServer serves TLS connections until the test ends and returns its
// address.
func startEchoServer(t *testing.T, config *tls.Config) string {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// dial connects and exchanges one byte, because a TLS 1.3 client learns only on
// reading that the server has refused its certificate.
func dial(address string, config *tls.Config) (net.Conn, error) {
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", address, config)
	if err != nil {
		return nil, err
	}
	if err := exchange(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func exchange(conn net.Conn) error {
	if _, err := conn.Write([]byte{7}); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func requireDial(t *testing.T, address string, config *tls.Config) net.Conn {
	t.Helper()
	conn, err := dial(address, config)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against accepting peers that do not have a required role.
func TestPeerRoleIsChecked(t *testing.T) {
	a := newAuthority(t)
	node := a.source(t, "primrosemount://node/orders")
	address := startEchoServer(t, node.Server(RoleNode))
	requireDial(t, address, node.Client(RoleNode))

	caller := a.source(t, "primrosemount://service/orders")
	_, err := dial(address, caller.Client(RoleNode))
	require.Error(t, err, "a caller connected to the listener for nodes")

	_, err = dial(startEchoServer(t, caller.Server(RoleNode)), node.Client(RoleNode))
	require.ErrorIs(t, err, ErrRole)
}

// Guards against accepting expired certificates and those of untrusted
// authorities, on either side.
func TestUntrustedCertificatesAreRefused(t *testing.T) {
	a := newAuthority(t)
	node := a.source(t, "primrosemount://node/orders")
	foreign := newAuthority(t).source(t, "primrosemount://node/orders")
	past := WithClock(func() time.Time { return time.Now().Add(-90 * time.Minute) })
	expired, err := Load(a.issue(t, t.TempDir(), "primrosemount://node/orders", -time.Hour), past)
	require.NoError(t, err)

	for _, other := range []*Source{foreign, expired} {
		_, err := dial(startEchoServer(t, other.Server(RoleNode)), node.Client(RoleNode))
		require.ErrorIs(t, err, ErrUntrusted)
		_, err = dial(startEchoServer(t, node.Server(RoleNode)), other.Client(RoleNode))
		require.Error(t, err)
	}
	_, err = dial(startEchoServer(t, node.Server(RoleNode)), &tls.Config{InsecureSkipVerify: true})
	require.Error(t, err, "a peer without a certificate connected")
	withTLS12 := node.Client(RoleNode)
	withTLS12.MinVersion, withTLS12.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	_, err = dial(startEchoServer(t, node.Server(RoleNode)), withTLS12)
	require.Error(t, err, "a peer connected with TLS 1.2")
}

// Guards against a certificate rotation that closes open connections or that
// does not apply to new ones.
func TestRotationKeepsOpenConnections(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	server, err := Load(first.issue(t, dir, "primrosemount://node/orders", time.Hour))
	require.NoError(t, err)
	address := startEchoServer(t, server.Server(RoleNode))
	oldPeer := first.source(t, "primrosemount://node/stock")
	newPeer := second.source(t, "primrosemount://node/stock")
	open := requireDial(t, address, oldPeer.Client(RoleNode))

	changed, err := server.Reload()
	require.NoError(t, err)
	require.False(t, changed)
	second.issue(t, dir, "primrosemount://node/orders", 2*time.Hour)
	changed, err = server.Reload()
	require.NoError(t, err)
	require.True(t, changed)

	require.NoError(t, exchange(open), "the open connection was lost")
	requireDial(t, address, newPeer.Client(RoleNode))
	_, err = dial(address, oldPeer.Client(RoleNode))
	require.Error(t, err, "the removed authority is still trusted")
}

// Guards against replacing valid credentials with invalid files, and against
// not reporting invalid files.
func TestInvalidFilesDoNotReplaceCredentials(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	settings := a.issue(t, dir, "primrosemount://node/orders", time.Hour)
	s, err := Load(settings)
	require.NoError(t, err)
	expiry := s.Expiry()
	other := a.issue(t, t.TempDir(), "primrosemount://node/orders", time.Hour)
	for _, replacement := range [][]byte{nil, []byte("junk"), mustRead(t, other.KeyFile)} {
		require.NoError(t, os.WriteFile(settings.KeyFile, replacement, 0o600))
		_, err = s.Reload()
		require.ErrorIs(t, err, ErrFiles)
		require.Equal(t, expiry, s.Expiry())
	}
	a.issue(t, dir, "primrosemount://node/orders", -time.Hour)
	_, err = s.Reload()
	require.ErrorContains(t, err, "the certificate expired at")
	a.issue(t, dir, "https://example.org/", time.Hour)
	_, err = s.Reload()
	require.ErrorContains(t, err, "primrosemount://ROLE/NAME")
	_, err = Load(&pb.TlsSettings{CertificateFile: filepath.Join(dir, "none")})
	require.ErrorIs(t, err, ErrFiles)
}

func mustRead(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	return data
}

// Guards against logging an expiry too late, and against a log line at each
// check.
func TestWatchLogsExpiryAndReloadErrors(t *testing.T) {
	a := newAuthority(t)
	core, logs := observer.New(zap.InfoLevel)
	now := time.Now()
	s := a.source(t, "primrosemount://node/orders", WithClock(func() time.Time { return now }))
	w := watcher{source: s, logger: zap.New(core)}
	w.check()
	w.check()
	require.Equal(t, 1, logs.FilterMessageSnippet("expires soon").Len())
	now = now.Add(WarningInterval + time.Minute)
	w.check()
	require.Equal(t, 1, logs.FilterMessageSnippet("has expired").Len())
	require.NoError(t, os.Remove(s.files[1]))
	w.check()
	w.check()
	require.Equal(t, 1, logs.FilterMessageSnippet("were not reloaded").Len())

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Watch(ctx, time.Hour, zap.New(core))
}

// Guards against certificate names that allow their holder to be taken for
// another one.
func TestIdentityOf(t *testing.T) {
	parse := func(text string) *url.URL {
		uri, err := url.Parse(text)
		require.NoError(t, err)
		return uri
	}
	cases := []struct {
		uris []string
		dns  []string
		want Identity
	}{
		{[]string{"primrosemount://service/orders"}, nil, Identity{RoleService, "orders"}},
		{[]string{"primrosemount://operator/anna", "https://x.example"}, []string{"a", "b"}, Identity{RoleOperator, "anna"}},
		{nil, []string{"orders"}, Identity{RoleService, "orders"}},
		{nil, []string{"a", "b"}, Identity{}},
		{nil, []string{"*"}, Identity{}},
		{nil, nil, Identity{}},
		{[]string{"primrosemount://service/a", "primrosemount://service/b"}, nil, Identity{}},
		{[]string{"primrosemount://service/a/b"}, nil, Identity{}},
		{[]string{"primrosemount://service/"}, nil, Identity{}},
		{[]string{"primrosemount://root/a"}, []string{"orders"}, Identity{}},
		{[]string{"primrosemount://service/a?b=c"}, nil, Identity{}},
	}
	for _, c := range cases {
		certificate := &x509.Certificate{DNSNames: c.dns}
		for _, uri := range c.uris {
			certificate.URIs = append(certificate.URIs, parse(uri))
		}
		got, err := IdentityOf(certificate)
		require.Equal(t, c.want, got)
		require.Equal(t, c.want == Identity{}, errors.Is(err, ErrNoIdentity))
	}
	_, err := Identify(nil)
	require.ErrorIs(t, err, ErrNoIdentity)
}
