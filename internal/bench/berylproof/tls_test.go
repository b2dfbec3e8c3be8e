package berylproof

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"gotest.tools/v3/assert"
)

// authority is a certificate authority that signs the certificates of a test fleet and writes them to files.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(t *testing.T, dir string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	a := &authority{t: t, dir: dir, cert: cert, key: key, pool: x509.NewCertPool()}
	a.pool.AddCert(cert)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

func (a *authority) write(name, kind string, der []byte) {
	a.t.Helper()
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(a.t, os.WriteFile(a.path(name), b, 0o600))
}

// issue writes a key and a certificate with the serial number for the addresses of the daemons.
func (a *authority) issue(serial int64, daemons []*berylprocess.Daemon) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	for _, d := range daemons {
		for _, address := range []string{d.Callers, d.Peers()} {
			host, _, err := net.SplitHostPort(address)
			assert.NilError(a.t, err)
			tmpl.IPAddresses = append(tmpl.IPAddresses, net.ParseIP(host))
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	a.write("key.pem", "EC PRIVATE KEY", keyDER)
	a.write("cert.pem", "CERTIFICATE", der)
}

// serial returns the serial number of the certificate that is served at the address.
func (a *authority) serial(ctx context.Context, address string) int64 {
	a.t.Helper()
	dialer := tls.Dialer{Config: &tls.Config{RootCAs: a.pool, MinVersion: tls.VersionTLS12}}
	c, err := dialer.DialContext(ctx, "tcp", address)
	assert.NilError(a.t, err)
	defer func() { _ = c.Close() }()
	return c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// Guards against listeners with TLS that also accept plain text, peers whose calls to each other fail under TLS, and
// certificates that are not replaced without a restart.
func TestTLS(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFleet(t)
	ca := newAuthority(t, f.Dir)
	ca.issue(10, f.Daemons)
	f.DaemonArgs = []string{
		"--callers-tls-cert=" + ca.path("cert.pem"), "--callers-tls-key=" + ca.path("key.pem"),
		"--peers-tls-cert=" + ca.path("cert.pem"), "--peers-tls-key=" + ca.path("key.pem"),
		"--peers-tls-ca=" + ca.path("ca.pem"),
	}
	f.start(ctx, 1)
	daemon := f.Daemons[0]

	plainReply := f.caller(daemon.Callers).Request(ctx, "price", "plain", "plain")
	assert.Assert(t, !plainReply.Answered(), "%+v", plainReply)
	assert.Equal(t, f.tlsRequest(ctx, ca, daemon.Callers), http.StatusOK)
	f.client(ctx, "team", "change", "red", "--ceiling=7")
	assert.Equal(t, f.peerFailures(ctx, daemon), 0)

	assert.Equal(t, ca.serial(ctx, daemon.Callers), int64(10))
	ca.issue(11, f.Daemons)
	for ca.serial(ctx, daemon.Callers) != 11 {
		assert.NilError(t, ctx.Err(), "the new certificate is not served")
		time.Sleep(100 * time.Millisecond)
	}
	f.client(ctx, "team", "change", "red", "--ceiling=8")
	assert.Equal(t, f.peerFailures(ctx, daemon), 0)
}

// tlsRequest sends a request over TLS and returns the status of the answer.
func (f *fleet) tlsRequest(ctx context.Context, ca *authority, address string) int {
	f.t.Helper()
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: ca.pool, MinVersion: tls.VersionTLS12},
	}}
	defer client.CloseIdleConnections()
	url := "https://" + address + "/v1/queues/price/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("order"))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+f.secret)
	resp, err := client.Do(req)
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// peerFailures returns the number of the daemon's calls to peers that have failed.
func (f *fleet) peerFailures(ctx context.Context, d *berylprocess.Daemon) int {
	f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Admin+"/metrics", nil)
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var metrics map[string]struct {
		Count int `json:"count"`
	}
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&metrics))
	n := 0
	for name, m := range metrics {
		if strings.HasPrefix(name, "peer_failed.") {
			n += m.Count
		}
	}
	return n
}
