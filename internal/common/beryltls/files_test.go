package beryltls

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
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/common/berylsettings"
	"gotest.tools/v3/assert"
)

// writeCert writes a certificate with the common name and its key to dir, with the given modification time.
func writeCert(t *testing.T, dir, name string, modTime time.Time) berylsettings.TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: modTime.Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := berylsettings.TLSFiles{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	for path, b := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: der}, files.Key: {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(b), 0o600))
		assert.NilError(t, os.Chtimes(path, modTime, modTime))
	}
	return files
}

func commonName(t *testing.T, c *tls.Certificate) string {
	t.Helper()
	leaf, err := x509.ParseCertificate(c.Certificate[0])
	assert.NilError(t, err)
	return leaf.Subject.CommonName
}

// Guards against a listener that needs a restart to use a new certificate, or that fails after a certificate was damaged.
func TestFilesReload(t *testing.T) {
	dir := t.TempDir()
	start := time.Now()
	f, err := Load(writeCert(t, dir, "first", start))
	assert.NilError(t, err)
	cert, _ := f.current()
	assert.Equal(t, commonName(t, cert), "first")

	writeCert(t, dir, "second", start.Add(time.Minute))
	f.lastCheck = start.Add(-time.Minute)
	cert, _ = f.current()
	assert.Equal(t, commonName(t, cert), "second")

	assert.NilError(t, os.WriteFile(f.names.Cert, []byte("damaged"), 0o600))
	f.lastCheck = start.Add(-time.Minute)
	cert, _ = f.current()
	assert.Equal(t, commonName(t, cert), "second")
}

// Guards against a process that starts with a missing certificate.
func TestLoadMissingFile(t *testing.T) {
	_, err := Load(berylsettings.TLSFiles{Cert: "missing.pem", Key: "missing.pem"})
	assert.ErrorContains(t, err, "load certificate")
}
