package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// issuedLifetime is how long the certificates of an Authority are valid.
const issuedLifetime = 30 * 24 * time.Hour

// Authority issues certificates with a key that exists in memory only. It is
// meant for tests and the demo.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

// NewAuthority generates a key and a self-signed certificate for it.
func NewAuthority() (*Authority, error) {
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "bergamotpin throwaway authority"},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	key, err := newKey(template)
	if err != nil {
		return nil, err
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &Authority{certificate: certificate, key: key, pool: pool}, nil
}

// Issue returns an identity for the instance at ip.
func (a *Authority) Issue(ip netip.Addr) (Identity, error) {
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return Identity{}, errors.Wrap(err, "generate serial number")
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: ip.String()},
		IPAddresses:  []net.IP{ip.AsSlice()},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key, err := newKey(template)
	if err != nil {
		return Identity{}, err
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return Identity{}, errors.Wrap(err, "create certificate")
	}
	pair := tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}
	return Identity{Certificate: pair, TrustedAuthorities: a.pool}, nil
}

// newKey generates a private key and sets the validity of template.
func newKey(template *x509.Certificate) (*ecdsa.PrivateKey, error) {
	now := time.Now()
	template.NotBefore = now.Add(-time.Hour)
	template.NotAfter = now.Add(issuedLifetime)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	return key, nil
}
