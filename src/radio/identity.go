package radio

import (
	"bytes"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	protocol        = "sesamecleat/1"
	identityKeyInfo = "sesamecleat process identity"
	resetKeyInfo    = "sesamecleat stateless reset"
	certLifetime    = 100 * 365 * 24 * time.Hour
	certBackdate    = 24 * time.Hour
)

// identity authenticates a process by a certificate whose key is derived from one of the deployment's keys.
type identity struct {
	cert         tls.Certificate
	acceptedKeys []ed25519.PublicKey
	onRefused    func()
	// resetKey lets a restarted process end the connections of its previous incarnation. It is the same in all processes.
	resetKey *quic.StatelessResetKey
}

// newIdentity returns an identity that presents the first key and accepts peers that present any of the keys, so that
// keys can be rotated.
func newIdentity(keys []string, refused func()) (*identity, error) {
	if len(keys) == 0 {
		return nil, Error.New("no key is given")
	}
	id := &identity{onRefused: refused}
	reset, err := hkdf.Key(sha256.New, []byte(keys[0]), nil, resetKeyInfo, len(quic.StatelessResetKey{}))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	id.resetKey = (*quic.StatelessResetKey)(reset)
	for i, key := range keys {
		private, err := deriveKey(key)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		id.acceptedKeys = append(id.acceptedKeys, private.Public().(ed25519.PublicKey))
		if i > 0 {
			continue
		}
		if id.cert, err = selfSign(private); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return id, nil
}

func deriveKey(key string) (ed25519.PrivateKey, error) {
	seed, err := hkdf.Key(sha256.New, []byte(key), nil, identityKeyInfo, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func selfSign(private ed25519.PrivateKey) (tls.Certificate, error) {
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: protocol},
		NotBefore:    now.Add(-certBackdate),
		NotAfter:     now.Add(certLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// tlsConfig returns the TLS configuration for both clients and servers.
func (id *identity) tlsConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{id.cert},
		ClientAuth:   tls.RequireAnyClientCert,
		// Peers are authenticated by their public key, not by a host name or a certificate authority.
		InsecureSkipVerify:    true, //nolint:gosec // VerifyPeerCertificate pins the key
		VerifyPeerCertificate: id.verifyPeerKey,
		NextProtos:            []string{protocol},
		MinVersion:            tls.VersionTLS13,
	}
}

func (id *identity) verifyPeerKey(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 {
		return Error.New("the peer presents no key")
	}
	cert, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return Error.Wrap(err)
	}
	key, ok := cert.PublicKey.(ed25519.PublicKey)
	if !ok {
		return Error.New("the peer's key has the wrong form")
	}
	for _, known := range id.acceptedKeys {
		if bytes.Equal(known, key) {
			return nil
		}
	}
	id.onRefused()
	return Error.New("the peer's key is not known")
}
