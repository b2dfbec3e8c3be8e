package beryltls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch/internal/common/berylsettings"
	"github.com/rotisserie/eris"
)

// checkInterval is the shortest time between two checks of the files' modification times.
const checkInterval = time.Second

// Files provides the certificate and the certificate authorities of a listener, and reads their files again after a
// change.
type Files struct {
	names berylsettings.TLSFiles

	mu        sync.Mutex
	lastCheck time.Time
	// modTimes are the modification times of the certificate, the key and the authorities at the last successful read.
	modTimes [3]time.Time
	cert     *tls.Certificate
	ca       *x509.CertPool
}

// Load reads the files, so that an unusable file is reported when the process starts.
func Load(names berylsettings.TLSFiles) (*Files, error) {
	f := &Files{names: names}
	if err := f.read(); err != nil {
		return nil, err
	}
	return f, nil
}

// ServerConfig returns the TLS configuration of a listener. If certificate authorities are configured, clients must
// present a certificate that one of them has signed.
func (f *Files) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, ca := f.current()
			cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
			if ca != nil {
				cfg.ClientAuth, cfg.ClientCAs = tls.RequireAndVerifyClientCert, ca
			}
			return cfg, nil
		},
	}
}

// ClientConfig returns the TLS configuration for connections to peers, whose certificates must be signed by the current
// authorities. Later changes of the client certificate take effect, but not those of the authorities.
func (f *Files) ClientConfig() *tls.Config {
	_, ca := f.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    ca,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := f.current()
			return cert, nil
		},
	}
}

// current returns the current certificate and authorities. If a changed file cannot be read, the previous ones stay in use.
func (f *Files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.lastCheck) >= checkInterval && f.readModTimes() != f.modTimes {
		_ = f.readLocked()
	}
	return f.cert, f.ca
}

func (f *Files) read() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readLocked()
}

func (f *Files) readLocked() error {
	f.lastCheck = time.Now()
	modTimes := f.readModTimes()
	cert, err := tls.LoadX509KeyPair(f.names.Cert, f.names.Key)
	if err != nil {
		return eris.Wrap(err, "load certificate")
	}
	ca, err := f.loadAuthorities()
	if err != nil {
		return err
	}
	f.cert, f.ca, f.modTimes = &cert, ca, modTimes
	return nil
}

func (f *Files) loadAuthorities() (*x509.CertPool, error) {
	if f.names.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(f.names.CA)
	if err != nil {
		return nil, eris.Wrap(err, "read certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("no certificate in %s", f.names.CA)
	}
	return pool, nil
}

// readModTimes returns the modification times of the files; it is zero for a file that does not exist.
func (f *Files) readModTimes() [3]time.Time {
	var out [3]time.Time
	for n, name := range []string{f.names.Cert, f.names.Key, f.names.CA} {
		if st, err := os.Stat(name); err == nil {
			out[n] = st.ModTime()
		}
	}
	return out
}
