package peer

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"net/netip"

	"github.com/go-faster/errors"
)

// IdentityPEM is an identity as PEM text: the contents of the three files that
// the settings name.
type IdentityPEM struct {
	Authority   []byte
	Certificate []byte
	Key         []byte
}

// IssuePEM returns an identity for the instance at ip as PEM text.
func (a *Authority) IssuePEM(ip netip.Addr) (IdentityPEM, error) {
	id, err := a.Issue(ip)
	if err != nil {
		return IdentityPEM{}, err
	}
	key, err := x509.MarshalECPrivateKey(id.Certificate.PrivateKey.(*ecdsa.PrivateKey))
	if err != nil {
		return IdentityPEM{}, errors.Wrap(err, "encode key")
	}
	return IdentityPEM{
		Authority:   encodePEM("CERTIFICATE", a.certificate.Raw),
		Certificate: encodePEM("CERTIFICATE", id.Certificate.Certificate[0]),
		Key:         encodePEM("EC PRIVATE KEY", key),
	}, nil
}

func encodePEM(blockType string, content []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: content})
}
