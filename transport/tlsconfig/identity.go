package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// Scheme is the scheme of the URI that identifies the holder of a certificate.
const Scheme = "primrosemount"

// A Role determines what the holder of a certificate may do.
type Role string

// The roles. A certificate has exactly one.
const (
	// RoleNode may connect to the listener for nodes. Name is the service of the
	// target beside the node.
	RoleNode Role = "node"
	// RoleService may call services as the service Name.
	RoleService Role = "service"
	// RoleOperator may use the operator interface as the operator Name.
	RoleOperator Role = "operator"
)

// An Identity identifies the holder of a certificate.
type Identity struct {
	Role Role
	Name string
}

// String returns the URI of the identity.
func (i Identity) String() string {
	return fmt.Sprintf("%s://%s/%s", Scheme, i.Role, i.Name)
}

// Kinds of errors; match them with errors.Is.
var (
	// ErrNoIdentity marks a certificate that does not identify exactly one holder.
	ErrNoIdentity = errors.New("tls: the certificate does not identify its holder; issue one with exactly one URI primrosemount://ROLE/NAME (ROLE is node, service or operator), or without URI and with exactly one DNS name, the service")
	// ErrRole marks a certificate whose role is not accepted for the connection.
	ErrRole = errors.New("tls: the role of the certificate is not accepted for this connection; use a certificate that was issued for this purpose")
	// ErrUntrusted marks a certificate that is outside its validity period or is
	// not issued by one of the trusted authorities.
	ErrUntrusted = errors.New("tls: the certificate is expired, not yet valid or from an untrusted authority; renew it, or add its authority to authorities_file")
	// ErrFiles marks certificate files that cannot be used.
	ErrFiles = errors.New("tls: the certificate files cannot be used; check certificate_file, key_file and authorities_file")
)

// Identify returns the identity of the peer of a verified connection.
func Identify(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return Identity{}, errors.Wrap(ErrNoIdentity, "no certificate")
	}
	return IdentityOf(state.PeerCertificates[0])
}

// IdentityOf returns the identity in a certificate. If the certificate has a
// URI with the scheme primrosemount, the identity is read from it. Otherwise
// exactly one DNS name identifies a service, so that callers can use
// certificates of an existing authority.
func IdentityOf(certificate *x509.Certificate) (Identity, error) {
	uris := identityURIs(certificate)
	if len(uris) > 1 {
		return Identity{}, errors.Wrapf(ErrNoIdentity, "%d URIs of scheme %s", len(uris), Scheme)
	}
	if len(uris) == 1 {
		return parseIdentity(uris[0])
	}
	if len(certificate.DNSNames) != 1 {
		return Identity{}, errors.Wrapf(ErrNoIdentity, "%d DNS names", len(certificate.DNSNames))
	}
	return newIdentity(RoleService, certificate.DNSNames[0])
}

// identityURIs returns the URIs of the certificate that identify a holder.
func identityURIs(certificate *x509.Certificate) []*url.URL {
	var found []*url.URL
	for _, uri := range certificate.URIs {
		if uri.Scheme == Scheme {
			found = append(found, uri)
		}
	}
	return found
}

func parseIdentity(uri *url.URL) (Identity, error) {
	role := Role(uri.Host)
	if role != RoleNode && role != RoleService && role != RoleOperator {
		return Identity{}, errors.Wrapf(ErrNoIdentity, "unknown role in %q", uri)
	}
	if uri.RawQuery != "" || uri.Fragment != "" || uri.User != nil {
		return Identity{}, errors.Wrapf(ErrNoIdentity, "unexpected user, query or fragment in %q", uri)
	}
	return newIdentity(role, strings.TrimPrefix(uri.Path, "/"))
}

// newIdentity returns an Identity. It rejects names that could be read as a
// pattern or a path.
func newIdentity(role Role, name string) (Identity, error) {
	if name == "" || strings.ContainsAny(name, "/* \t\n") {
		return Identity{}, errors.Wrapf(ErrNoIdentity, "invalid name %q", name)
	}
	return Identity{Role: role, Name: name}, nil
}
