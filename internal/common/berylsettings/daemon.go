package berylsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"time"
)

// MinFDs is the least limit of descriptors that is accepted: 200 for files, and four times 16 connections.
const MinFDs = 264

// Daemon holds the settings of beryllatchd; every flag has an environment variable with the prefix BERYLLATCH_.
type Daemon struct {
	Node       string `required:"" env:"BERYLLATCH_NODE" help:"Name of this entry node."`
	DataCentre string `required:"" env:"BERYLLATCH_DATA_CENTRE" help:"Data centre of this entry node."`

	CallersAddress   string `default:"127.0.0.1:8080" env:"BERYLLATCH_CALLERS_ADDRESS" help:"IP address and port of the listener for callers."`
	OperatorsAddress string `default:"127.0.0.1:8081" env:"BERYLLATCH_OPERATORS_ADDRESS" help:"IP address and port of the listener for operators."`
	PeersAddress     string `default:"127.0.0.1:8082" env:"BERYLLATCH_PEERS_ADDRESS" help:"IP address and port of the listener for other entry nodes."`
	AdminAddress     string `default:"127.0.0.1:8083" env:"BERYLLATCH_ADMIN_ADDRESS" help:"IP address and port of the listener for metrics, liveness and readiness."`
	AdvertiseAddress string `env:"BERYLLATCH_ADVERTISE_ADDRESS" help:"IP address and port at which other entry nodes reach the peers' listener; default: --peers-address."`

	TableEndpoint   string        `required:"" env:"BERYLLATCH_TABLE_ENDPOINT" help:"URL of the platform's table service."`
	TableName       string        `default:"beryllatch" env:"BERYLLATCH_TABLE_NAME" help:"Name of the table."`
	ObjectEndpoint  string        `required:"" env:"BERYLLATCH_OBJECT_ENDPOINT" help:"URL of the platform's object store."`
	ObjectBucket    string        `default:"beryllatch" env:"BERYLLATCH_OBJECT_BUCKET" help:"Bucket in the object store."`
	InstanceList    string        `required:"" env:"BERYLLATCH_INSTANCE_LIST" help:"URL of the platform's instance list."`
	PlatformRegion  string        `default:"local" env:"BERYLLATCH_PLATFORM_REGION" help:"Region that platform calls are signed for."`
	PlatformKeyID   string        `default:"beryllatch" env:"BERYLLATCH_PLATFORM_KEY_ID" help:"Access key id for the platform."`
	PlatformSecret  string        `default:"beryllatch" env:"BERYLLATCH_PLATFORM_SECRET" help:"Secret access key for the platform."`
	OperatorTokens  []string      `env:"BERYLLATCH_OPERATOR_TOKENS" help:"Operators as name:hash, where hash is the SHA-256 of the token in hexadecimal digits."`
	AllowPlainText  bool          `env:"BERYLLATCH_ALLOW_PLAIN_TEXT" help:"Accept plain text on addresses other than loopback."`
	ShutdownTimeout time.Duration `default:"70s" env:"BERYLLATCH_SHUTDOWN_TIMEOUT" help:"Longest wait for running requests at a graceful shutdown."`

	MemoryMB int `name:"memory-mb" default:"0" env:"BERYLLATCH_MEMORY_MB" help:"Memory of the process in MB, a quarter of which requests that are not answered may use; 0 allows them 64 MB."`
	MaxFDs   int `name:"max-fds" default:"0" env:"BERYLLATCH_MAX_FDS" help:"Descriptors of the process, a quarter of which, after 200 for files, incoming connections may use; 0 means the system's limit."`

	CallersTLS   TLSFiles `embed:"" prefix:"callers-tls-" envprefix:"BERYLLATCH_CALLERS_TLS_"`
	OperatorsTLS TLSFiles `embed:"" prefix:"operators-tls-" envprefix:"BERYLLATCH_OPERATORS_TLS_"`
	PeersTLS     TLSFiles `embed:"" prefix:"peers-tls-" envprefix:"BERYLLATCH_PEERS_TLS_"`
}

// TLSFiles names the files of one listener's certificate. A changed file is read again while the process runs.
type TLSFiles struct {
	Cert string `env:"CERT" help:"Certificate file in PEM form; empty means plain text."`
	Key  string `env:"KEY" help:"Private key file in PEM form."`
	CA   string `name:"ca" env:"CA" help:"File with the certificate authorities that sign client certificates."`
}

// Enabled reports whether the listener uses TLS.
func (t TLSFiles) Enabled() bool { return t.Cert != "" }

// SettingError reports a setting that cannot be used.
type SettingError struct {
	Flag   string
	Reason string
}

// Error names the flag and the reason.
func (e *SettingError) Error() string { return fmt.Sprintf("--%s: %s", e.Flag, e.Reason) }

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	tokenPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}:[0-9a-f]{64}$`)
)

// Validate returns a *SettingError for the first setting that cannot be used. It also sets AdvertiseAddress to its default,
// PeersAddress. The flag parser, kong, calls Validate after parsing.
func (d *Daemon) Validate() error {
	if d.AdvertiseAddress == "" {
		d.AdvertiseAddress = d.PeersAddress
	}
	for _, check := range []func() error{d.validateNames, d.validateListeners, d.validatePlatform, d.validateTokens, d.validateLimits} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) validateLimits() error {
	if d.MemoryMB < 0 {
		return &SettingError{Flag: "memory-mb", Reason: "must not be below 0"}
	}
	if d.MaxFDs != 0 && d.MaxFDs < MinFDs {
		return &SettingError{Flag: "max-fds", Reason: fmt.Sprintf("must be 0 or at least %d", MinFDs)}
	}
	return nil
}

func (d *Daemon) validateNames() error {
	if !namePattern.MatchString(d.Node) {
		return &SettingError{Flag: "node", Reason: "must match " + namePattern.String()}
	}
	if !namePattern.MatchString(d.DataCentre) {
		return &SettingError{Flag: "data-centre", Reason: "must match " + namePattern.String()}
	}
	if d.ShutdownTimeout <= 0 {
		return &SettingError{Flag: "shutdown-timeout", Reason: "must be positive"}
	}
	return nil
}

func (d *Daemon) validateListeners() error {
	listeners := []struct {
		flag, address string
		tls           TLSFiles
		needsTLS      bool
	}{
		{"callers-address", d.CallersAddress, d.CallersTLS, true},
		{"operators-address", d.OperatorsAddress, d.OperatorsTLS, true},
		{"peers-address", d.PeersAddress, d.PeersTLS, true},
		{"admin-address", d.AdminAddress, TLSFiles{}, false},
		{"advertise-address", d.AdvertiseAddress, TLSFiles{}, false},
	}
	for _, l := range listeners {
		a, err := netip.ParseAddrPort(l.address)
		if err != nil {
			return &SettingError{Flag: l.flag, Reason: "must be an IP address and a port, got " + l.address}
		}
		if l.tls.Enabled() != (l.tls.Key != "") {
			return &SettingError{Flag: l.flag, Reason: "TLS needs both a certificate file and a key file"}
		}
		if l.needsTLS && !l.tls.Enabled() && !d.AllowPlainText && !a.Addr().IsLoopback() {
			return &SettingError{Flag: l.flag, Reason: "plain text is only accepted on loopback or with --allow-plain-text"}
		}
	}
	if d.PeersTLS.Enabled() && d.PeersTLS.CA == "" {
		return &SettingError{Flag: "peers-tls-ca", Reason: "is required, since nodes verify one another"}
	}
	return nil
}

func (d *Daemon) validatePlatform() error {
	for _, e := range []struct{ flag, value string }{
		{"table-endpoint", d.TableEndpoint}, {"object-endpoint", d.ObjectEndpoint}, {"instance-list", d.InstanceList},
	} {
		u, err := url.Parse(e.value)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return &SettingError{Flag: e.flag, Reason: "must be an http or https URL"}
		}
	}
	return nil
}

func (d *Daemon) validateTokens() error {
	for n, t := range d.OperatorTokens {
		if !tokenPattern.MatchString(t) {
			return &SettingError{
				Flag:   "operator-tokens",
				Reason: fmt.Sprintf("entry %d must be name:hash with 64 lower-case hexadecimal digits", n+1),
			}
		}
	}
	return nil
}
