package operator

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/transport/tlsconfig"
)

// issueCertificate writes a certificate issued by the authority to files and returns
// flags that name the files.
func issueCertificate(t *testing.T, authority *x509.Certificate, key *ecdsa.PrivateKey, identity string) NodeFlags {
	t.Helper()
	uri, err := url.Parse(identity)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		URIs:         []*url.URL{uri},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, key.Public(), key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	dir := t.TempDir()
	write := func(name, kind string, content []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600))
		return path
	}
	return NodeFlags{
		Certificate: write("crt", "CERTIFICATE", der),
		Key:         write("key", "EC PRIVATE KEY", keyDER),
		Authorities: write("ca", "CERTIFICATE", authority.Raw),
	}
}

// Guards against an operators' listener that serves certificates of other roles, or
// accepts a change under the name of another operator, over real connections.
func TestMutualTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	authority, err := x509.ParseCertificate(der)
	require.NoError(t, err)

	f := newFixture(t)
	node := issueCertificate(t, authority, key, "primrosemount://node/orders")
	source, err := tlsconfig.Load(&pb.TlsSettings{CertificateFile: node.Certificate, KeyFile: node.Key, AuthoritiesFile: node.Authorities})
	require.NoError(t, err)
	handler, err := NewHandler(ServerConfig{Source: f.source})
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(handler)
	server.Listener = tls.NewListener(server.Listener, source.Server(tlsconfig.RoleOperator))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	defer server.Close()
	address := "https://" + server.Listener.Addr().String()

	entry := &pb.Entry{Service: "stock", Owner: "anna", Operations: []*pb.Operation{{Name: "check"}}}
	submitAs := func(identity, operator string) (*pb.ChangeResult, error) {
		flags := issueCertificate(t, authority, key, identity)
		flags.Node, flags.Timeout = address, 5*time.Second
		client, err := flags.client()
		require.NoError(t, err)
		defer client.Close()
		if _, err := client.Status(context.Background()); err != nil {
			return nil, err
		}
		change := &pb.Change{Id: make([]byte, 16), Operator: operator, Service: "stock", Entry: entry}
		return client.SubmitChange(context.Background(), change)
	}
	_, err = submitAs("primrosemount://service/anna", "anna")
	require.ErrorContains(t, err, "the node did not respond")
	_, err = submitAs("primrosemount://operator/ben", "anna")
	var clientErr *Error
	require.ErrorAs(t, err, &clientErr)
	require.Equal(t, http.StatusForbidden, clientErr.Status)
	result, err := submitAs("primrosemount://operator/anna", "")
	require.NoError(t, err)
	require.True(t, result.Accepted, result.Detail)
	require.Equal(t, "anna", result.Operator)
}
