package node_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/fleet"
	"github.com/primrosemount/primrosemount/internal/standin/target"
	"github.com/primrosemount/primrosemount/operator"
	"github.com/primrosemount/primrosemount/transport"
	"github.com/primrosemount/primrosemount/transport/tlsconfig"
	"github.com/primrosemount/primrosemount/wire"
)

// authority is a certificate authority for one test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      atomic.Int64
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return key
}

func newAuthority(t *testing.T) *authority {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(24 * time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{certificate: certificate, key: key}
}

// files holds the paths of the certificate files of one participant.
type files struct{ certificate, key, authorities string }

func (f files) yaml() string {
	return fmt.Sprintf("{certificate_file: %q, key_file: %q, authorities_file: %q}", f.certificate, f.key, f.authorities)
}

func filesIn(dir string) files {
	return files{filepath.Join(dir, "crt"), filepath.Join(dir, "key"), filepath.Join(dir, "ca")}
}

// issue writes a certificate for the identity, with its key, to the directory.
func (a *authority) issue(t *testing.T, dir, identity string, lifetime time.Duration) files {
	key := newKey(t)
	uri, err := url.Parse("primrosemount://" + identity)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1 + a.serial.Add(1)),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(lifetime),
		URIs:         []*url.URL{uri},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	written := filesIn(dir)
	writePEM(t, written.certificate, "CERTIFICATE", der)
	writePEM(t, written.key, "EC PRIVATE KEY", keyDER)
	writePEM(t, written.authorities, "CERTIFICATE", a.certificate.Raw)
	return written
}

func writePEM(t *testing.T, name, kind string, der []byte) {
	content := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(t, os.WriteFile(name, content, 0o600))
}

// client returns the TLS configuration of a client with a certificate of this
// authority. The client does not verify the server's certificate.
func (a *authority) client(t *testing.T, identity string, lifetime time.Duration) *tls.Config {
	f := a.issue(t, t.TempDir(), identity, lifetime)
	certificate, err := tls.LoadX509KeyPair(f.certificate, f.key)
	require.NoError(t, err)
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		// The certificate is sent even if the server does not name its issuer as
		// acceptable.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &certificate, nil },
	}
}

// tlsFleet is a fleet whose listeners require client certificates.
type tlsFleet struct {
	*fleet.Fleet
	authority *authority
	dirs      map[string]string
}

func startTLSFleet(t *testing.T, services []fleet.Service, bounds string) *tlsFleet {
	s := &tlsFleet{authority: newAuthority(t), dirs: make(map[string]string)}
	for _, service := range services {
		name := service.Entry.GetService()
		s.dirs[name] = t.TempDir()
		s.authority.issue(t, s.dirs[name], "node/"+name, time.Hour)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	defer cancel()
	running, err := fleet.Start(ctx, fleet.Config{
		Services: services,
		Bounds:   bounds,
		Seed:     1,
		Logger:   zap.NewNop(),
		TLS:      func(service string) string { return filesIn(s.dirs[service]).yaml() },
	})
	require.NoError(t, err)
	t.Cleanup(running.Close)
	s.Fleet = running
	return s
}

func httpsClient(t *testing.T, config *tls.Config) *http.Client {
	transport := &http.Transport{TLSClientConfig: config, MaxIdleConnsPerHost: 8}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: testTime}
}

// send makes one call and returns an error if there is no response.
func send(client *http.Client, address, path, id string) (callResult, error) {
	body, err := json.Marshal(target.Request{ID: id})
	if err != nil {
		return callResult{}, err
	}
	response, err := client.Post("https://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return callResult{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{}, err
	}
	got := callResult{status: response.StatusCode, header: response.Header, body: data}
	if response.Header.Get("Content-Type") == wire.ProblemType {
		err = json.Unmarshal(data, &got.problem)
	}
	return got, err
}

// Guards against a fleet with certificates that cannot serve a call chain or
// operators, and against a caller that is served without being in
// allowed_callers.
func TestMutualTLSAcrossFleet(t *testing.T) {
	running := startTLSFleet(t, twoTiers(time.Millisecond), "")
	address := running.InstancesOf("orders")[0].Node.CallersAddress()
	shop := httpsClient(t, running.authority.client(t, "service/shop", time.Hour))
	got, err := send(shop, address, "/v1/services/orders/book", "o1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, got.status, string(got.body))
	require.Equal(t, 1, running.Ledger.Done(target.Execution{Service: "ledger", Operation: "debit", ID: "o1"}))

	rejected, err := send(shop, address, "/v1/services/ledger/debit", "o2")
	require.NoError(t, err)
	require.Equal(t, http.StatusForbidden, rejected.status, string(rejected.body))
	require.Equal(t, "not_allowed", rejected.problem.Reason)
	require.Zero(t, running.Ledger.Begun(target.Execution{Service: "ledger", Operation: "debit", ID: "o2"}))

	orders := httpsClient(t, running.authority.client(t, "service/orders", time.Hour))
	allowed, err := send(orders, address, "/v1/services/ledger/debit", "o3")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, allowed.status, string(allowed.body))

	anna := running.authority.client(t, "operator/anna", time.Hour)
	client, err := operator.NewClient("https://"+running.InstancesOf("orders")[0].Node.OperatorsAddress(), anna, testTime)
	require.NoError(t, err)
	defer client.Close()
	report, err := client.Burn(testContext(t))
	require.NoError(t, err)
	require.EqualValues(t, 4, report.GetNodesAnswered())
}

// Guards against a peer that is served although its certificate is missing,
// expired, of another authority or of another role.
func TestUntrustedPeersAreRejectedAtEveryListener(t *testing.T) {
	running := startTLSFleet(t, twoTiers(time.Millisecond), "")
	n := running.InstancesOf("orders")[0].Node
	otherAuthority := newAuthority(t)
	listeners := map[string]string{
		"service":  n.CallersAddress(),
		"node":     n.NodesAddress(),
		"operator": n.OperatorsAddress(),
	}
	for role, address := range listeners {
		rejected := map[string]*tls.Config{
			"other authority": otherAuthority.client(t, role+"/orders", time.Hour),
			"expired":         running.authority.client(t, role+"/orders", -time.Minute),
			"no certificate":  {InsecureSkipVerify: true, MinVersion: tls.VersionTLS13},
			"TLS 1.2":         limitToTLS12(running.authority.client(t, role+"/orders", time.Hour)),
		}
		for other := range listeners {
			if other != role {
				rejected["role "+other] = running.authority.client(t, other+"/orders", time.Hour)
			}
		}
		for name, config := range rejected {
			require.False(t, isServed(t, address, config, role == "node"), "%s at the listener for %s", name, role)
		}
		valid := running.authority.client(t, role+"/orders", time.Hour)
		require.True(t, isServed(t, address, valid, role == "node"), "valid certificate at the listener for %s", role)
		require.False(t, isServed(t, address, nil, role == "node"), "plain text at the listener for %s", role)
	}
}

func limitToTLS12(config *tls.Config) *tls.Config {
	config.MinVersion = tls.VersionTLS12
	config.MaxVersion = tls.VersionTLS12
	return config
}

// isServed reports whether a listener responds to a request, over net/rpc or
// HTTP. The error response of an HTTP server to plain text on a TLS port does
// not count.
func isServed(t *testing.T, address string, config *tls.Config, rpc bool) bool {
	if rpc {
		pool := transport.NewPool(transport.ClientConfig{TLS: config, MaxBodyBytes: 1 << 20, IdleTimeout: time.Minute})
		defer pool.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := pool.Probe(ctx, address, &pb.ProbeRequest{})
		return err == nil
	}
	scheme := "https://"
	if config == nil {
		scheme = "http://"
	}
	response, err := httpsClient(t, config).Get(scheme + address + operator.PathStatus)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return config != nil
}

// Guards against a replacement of certificates and keys that interrupts a
// request, and against new files that are not loaded.
func TestKeyRotationInterruptsNoRequest(t *testing.T) {
	running := startTLSFleet(t, twoTiers(5*time.Millisecond), "")
	entryNode := running.InstancesOf("ledger")[0].Node
	config := running.authority.client(t, "service/shop", time.Hour)
	before := servedSerial(t, entryNode.CallersAddress(), config)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var calls, failed atomic.Int64
	for caller := range 4 {
		client := httpsClient(t, config)
		// Half of the callers open a connection for each call.
		client.Transport.(*http.Transport).DisableKeepAlives = caller%2 == 0
		wait.Add(1)
		go func() {
			defer wait.Done()
			callUntil(t, stop, client, entryNode.CallersAddress(), fmt.Sprint("c", caller), &calls, &failed)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	for service, dir := range running.dirs {
		running.authority.issue(t, dir, "node/"+service, time.Hour)
	}
	require.Eventually(t, func() bool {
		return servedSerial(t, entryNode.CallersAddress(), config) != before
	}, 2*tlsconfig.ReloadInterval, 100*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wait.Wait()
	t.Logf("%d calls", calls.Load())
	require.Zero(t, failed.Load())
	require.Greater(t, calls.Load(), int64(100))
}

func callUntil(t *testing.T, stop <-chan struct{}, client *http.Client, address, caller string, calls, failed *atomic.Int64) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		got, err := send(client, address, "/v1/services/orders/book", fmt.Sprintf("%s-%d", caller, n))
		calls.Add(1)
		if err != nil || got.status != http.StatusOK {
			failed.Add(1)
			t.Logf("call %s-%d: status %d, %s, error %v", caller, n, got.status, got.body, err)
		}
	}
}

// servedSerial returns the serial number of the certificate that a listener
// presents.
func servedSerial(t *testing.T, address string, config *tls.Config) string {
	conn, err := tls.Dial("tcp", address, config)
	require.NoError(t, err)
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// Guards against peers that send slowly or stop in the middle of a request and
// thereby keep other peers from being served, or delay the shutdown of a node.
func TestSlowPeersDoNotBlockServiceOrShutdown(t *testing.T) {
	running := startTLSFleet(t, twoTiers(time.Millisecond), "")
	instance := running.InstancesOf("orders")[0]
	n := instance.Node
	shop := running.authority.client(t, "service/shop", time.Hour)
	const partial = "POST /v1/services/orders/book HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"
	for range 8 {
		for _, address := range []string{n.CallersAddress(), n.NodesAddress(), n.OperatorsAddress(), n.TargetAddress()} {
			holdOpen(t, dialPlain(t, address), "")
			holdOpen(t, dialPlain(t, address), "\x16\x03\x01\x02")
		}
		holdOpen(t, dialTLS(t, n.CallersAddress(), shop), partial)
		holdOpen(t, dialTLS(t, n.CallersAddress(), shop), partial+"\r\nhalf a body")
		holdOpen(t, dialTLS(t, n.OperatorsAddress(), running.authority.client(t, "operator/anna", time.Hour)), "GET /v1/st")
		holdOpen(t, dialTLS(t, n.NodesAddress(), running.authority.client(t, "node/orders", time.Hour)), "\x10half")
		holdOpen(t, dialPlain(t, n.TargetAddress()), partial+"\r\nhalf a body")
	}
	client := httpsClient(t, shop)
	for i := range 20 {
		got, err := send(client, n.CallersAddress(), "/v1/services/orders/book", fmt.Sprint("o", i))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, got.status, string(got.body))
	}
	client.CloseIdleConnections()
	start := time.Now()
	require.NoError(t, running.Retire(testContext(t), instance))
	elapsed := time.Since(start)
	t.Logf("retired in %s", elapsed)
	require.Less(t, elapsed, 5*time.Second)
}

// Guards against silent peers that occupy the connections of a listener
// permanently.
func TestSilentPeersReleaseConnections(t *testing.T) {
	running := startTLSFleet(t, twoTiers(time.Millisecond), "{caller_connections: 4, node_connections: 4}")
	n := running.InstancesOf("orders")[0].Node
	shop := running.authority.client(t, "service/shop", time.Hour)
	for range 2 {
		holdOpen(t, dialPlain(t, n.CallersAddress()), "")
		holdOpen(t, dialTLS(t, n.CallersAddress(), shop), "POST /v1/serv")
	}
	peer := running.authority.client(t, "node/orders", time.Hour)
	for range 4 {
		if conn, err := tls.Dial("tcp", n.NodesAddress(), peer); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
	}
	start := time.Now()
	got, err := send(httpsClient(t, shop), n.CallersAddress(), "/v1/services/orders/list", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, got.status, string(got.body))
	t.Logf("callers are served after %s", time.Since(start))
	require.Eventually(t, func() bool { return isServed(t, n.NodesAddress(), peer, true) }, 10*time.Second, 100*time.Millisecond)
	t.Logf("nodes are served after %s", time.Since(start))
}

func dialPlain(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	return conn
}

func dialTLS(t *testing.T, address string, config *tls.Config) net.Conn {
	conn, err := tls.Dial("tcp", address, config)
	require.NoError(t, err)
	return conn
}

// holdOpen writes a part of a request and keeps the connection open.
func holdOpen(t *testing.T, conn net.Conn, part string) {
	t.Cleanup(func() { _ = conn.Close() })
	_, err := conn.Write([]byte(part))
	require.NoError(t, err)
}
