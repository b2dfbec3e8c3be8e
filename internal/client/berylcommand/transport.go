package berylcommand

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/netip"
	"net/url"
	"os"
)

// tlsSettings are the flags for TLS connections.
type tlsSettings struct {
	CA   string `name:"ca" env:"BERYLLATCH_TLS_CA" type:"path" placeholder:"FILE" help:"Certificate authorities that sign the nodes' certificates; empty means those of the system."`
	Cert string `env:"BERYLLATCH_TLS_CERT" type:"path" placeholder:"FILE" help:"Certificate that the client presents."`
	Key  string `env:"BERYLLATCH_TLS_KEY" type:"path" placeholder:"FILE" help:"Private key of the client's certificate."`
}

// transport returns an HTTP transport with the TLS settings. It reads the files at once, so that an unusable one is
// reported before anything is sent.
func (t tlsSettings) transport() (*http.Transport, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	if t.CA != "" {
		pem, err := os.ReadFile(t.CA)
		if err != nil {
			return nil, &usageError{err: err}
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(pem) {
			return nil, usagef("--tls-ca: %s holds no certificate", t.CA)
		}
	}
	if t.Cert != "" || t.Key != "" {
		pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
		if err != nil {
			return nil, usagef("--tls-cert and --tls-key: %w", err)
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	out := http.DefaultTransport.(*http.Transport).Clone()
	out.TLSClientConfig = cfg
	return out, nil
}

// checkAddress refuses an address that is not an HTTP URL, or to which the token would be sent in plain text over a
// network.
func checkAddress(address string, allowPlainText bool) error {
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return usagef("--address: %q must have the form http://host:port or https://host:port", address)
	}
	ip, err := netip.ParseAddr(u.Hostname())
	loopback := err == nil && ip.IsLoopback() || u.Hostname() == "localhost"
	if u.Scheme == "http" && !loopback && !allowPlainText {
		return usagef("--address: %q would send the token in plain text; use https or --allow-plain-text", address)
	}
	return nil
}
