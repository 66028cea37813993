package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

// alpnProtocol is the application protocol that both ends negotiate in the TLS
// handshake.
const alpnProtocol = "bergamotpin-peer/1"

// Identity is an instance's certificate and key, and the authority whose
// certificates it accepts. The certificate holds the instance's IP address.
type Identity struct {
	Certificate        tls.Certificate
	TrustedAuthorities *x509.CertPool
}

// LoadIdentity reads an identity from PEM files.
func LoadIdentity(certificateFile, keyFile, authorityFile string) (Identity, error) {
	var blocks [3][]byte
	for i, name := range []string{certificateFile, keyFile, authorityFile} {
		raw, err := os.ReadFile(name)
		if err != nil {
			return Identity{}, errors.Wrap(err, "identity")
		}
		blocks[i] = raw
	}
	return ParseIdentity(blocks[0], blocks[1], blocks[2])
}

// ParseIdentity reads an identity from PEM text.
func ParseIdentity(certificate, key, authority []byte) (Identity, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return Identity{}, errors.Wrap(err, "parse certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return Identity{}, errors.New("authority: no certificate in the PEM text")
	}
	return Identity{Certificate: pair, TrustedAuthorities: pool}, nil
}

func (id Identity) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.Certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    id.TrustedAuthorities,
		NextProtos:   []string{alpnProtocol},
	}
}

func (id Identity) clientTLS(serverIP string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.Certificate},
		RootCAs:      id.TrustedAuthorities,
		ServerName:   serverIP,
		NextProtos:   []string{alpnProtocol},
	}
}

// resetKey derives the key of QUIC stateless resets from the private key. An
// instance that restarts with the same private key can thus end the connections
// of its predecessor immediately.
func (id Identity) resetKey() (*quic.StatelessResetKey, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(id.Certificate.PrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "encode private key")
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("stateless reset "), raw...)))
	return &key, nil
}
