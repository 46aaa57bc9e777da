package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/settings"
)

// Role is what a key allows its holder to do.
type Role string

// The roles of keys.
const (
	RoleControl  Role = "control"
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

const (
	caValidity  = 10 * 365 * 24 * time.Hour
	keyValidity = 2 * 365 * 24 * time.Hour
	// serverName is in every certificate. Processes are dialled by IP number, so the authority
	// and the role are checked instead of the host name.
	serverName = "waxwinghaven"
)

// Keys holds the paths of one process's PEM files.
type Keys struct {
	Authority   string
	Certificate string
	Key         string
}

// MakeAuthority writes ca.pem and ca.key into dir. It fails if dir already has a ca.key.
func MakeAuthority(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Error.Wrap(err)
	}
	if _, err := os.Stat(filepath.Join(dir, "ca.key")); err == nil {
		return Error.New("%s already holds an authority; choose another folder or remove it first", dir)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	tmpl := template("waxwinghaven authority", caValidity)
	tmpl.IsCA, tmpl.BasicConstraintsValid = true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return Error.Wrap(err)
	}
	return writePair(dir, "ca", der, key)
}

// MakeKey writes name.pem and name.key into dir, signed by the authority there. A process that
// has several roles needs one key with all of them.
func MakeKey(dir, name string, roles []Role) error {
	authority, err := tls.LoadX509KeyPair(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key"))
	if err != nil {
		return Error.New("no authority in %s (%v); make it first", dir, err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	tmpl := template(name, keyValidity)
	for _, r := range roles {
		tmpl.Subject.OrganizationalUnit = append(tmpl.Subject.OrganizationalUnit, string(r))
	}
	tmpl.DNSNames = []string{serverName}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, authority.Leaf, &key.PublicKey, authority.PrivateKey)
	if err != nil {
		return Error.Wrap(err)
	}
	return writePair(dir, name, der, key)
}

func template(name string, validity time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour), // tolerates clock differences between instances
		NotAfter:     time.Now().Add(validity),
	}
}

func writePair(dir, name string, der []byte, key *ecdsa.PrivateKey) error {
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(filepath.Join(dir, name+".pem"), cert, 0o644); err != nil {
		return Error.Wrap(err)
	}
	b, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Error.Wrap(err)
	}
	secret := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: b})
	return Error.Wrap(os.WriteFile(filepath.Join(dir, name+".key"), secret, 0o600))
}

// KeysOf returns the key files that the settings name, or nil if they name none.
func KeysOf(set *settings.Settings) *Keys {
	if set.TLS == nil {
		return nil
	}
	return &Keys{Authority: set.TLS.Authority, Certificate: set.TLS.Certificate, Key: set.TLS.Key}
}

// LoadTLS returns a configuration for both ends of a connection. Nil keys give a nil
// configuration: connections are then plain.
func LoadTLS(k *Keys) (*tls.Config, error) {
	if k == nil {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(k.Certificate, k.Key)
	if err != nil {
		return nil, Error.New("key pair %s and %s cannot be used (%v); make one with 'waxwinghaven keys make'", k.Certificate, k.Key, err)
	}
	b, err := os.ReadFile(k.Authority)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, Error.New("%s holds no certificate; name the authority's ca.pem", k.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   serverName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// HasRole reports whether the client certificate of a request has one of the roles.
func HasRole(ctx *fasthttp.RequestCtx, roles ...Role) bool {
	state := ctx.TLSConnectionState()
	if state == nil || len(state.PeerCertificates) == 0 {
		return false
	}
	for _, has := range state.PeerCertificates[0].Subject.OrganizationalUnit {
		for _, want := range roles {
			if Role(has) == want {
				return true
			}
		}
	}
	return false
}
