package berylsettings

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

//go:generate sh -c "go run generate.go > ../../../docs/CONFIGURATION.md"

// checks describes what Validate requires of each flag beyond its type.
var checks = map[string]string{
	"node":               "matches `" + namePattern.String() + "`",
	"data-centre":        "matches `" + namePattern.String() + "`",
	"callers-address":    listenerCheck,
	"operators-address":  listenerCheck,
	"peers-address":      listenerCheck,
	"admin-address":      addressCheck,
	"advertise-address":  addressCheck,
	"table-endpoint":     endpointCheck,
	"object-endpoint":    endpointCheck,
	"instance-list":      endpointCheck,
	"operator-tokens":    "each entry matches `" + tokenPattern.String() + "`",
	"shutdown-timeout":   "positive",
	"memory-mb":          "not below 0",
	"max-fds":            fmt.Sprintf("0, or at least %d", MinFDs),
	"callers-tls-cert":   certCheck,
	"operators-tls-cert": certCheck,
	"peers-tls-cert":     certCheck,
	"callers-tls-key":    certCheck,
	"operators-tls-key":  certCheck,
	"peers-tls-key":      certCheck,
	"peers-tls-ca":       "required with `--peers-tls-cert`, since nodes verify one another",
	"callers-tls-ca":     noCheck,
	"operators-tls-ca":   noCheck,
	"table-name":         noCheck,
	"object-bucket":      noCheck,
	"platform-region":    noCheck,
	"platform-key-id":    noCheck,
	"platform-secret":    noCheck,
	"allow-plain-text":   noCheck,
}

const (
	addressCheck  = "an IP address and a port; host names are refused"
	listenerCheck = addressCheck + "; without TLS only loopback, unless `--allow-plain-text` is given"
	endpointCheck = "an `http` or `https` URL with a host"
	certCheck     = "certificate and key are given together"
	noCheck       = "nothing beyond the type"
)

const pageHead = `# Settings of beryllatchd

Every setting is a flag or an environment variable; a flag takes precedence. Lists are separated by commas. If a
setting cannot be used, the daemon exits before it opens any listener, with an error that names the flag. The
configuration of the fleet (teams, pools, queues, keys) is not among the settings: see [CLIENT.md](CLIENT.md).

Generated from the settings by ` + "`go generate ./internal/common/berylsettings`" + `.
`

// WritePage writes the reference of the daemon's settings as Markdown.
func WritePage(w io.Writer) error {
	var d Daemon
	parser, err := kong.New(&d)
	if err != nil {
		return fmt.Errorf("build settings model: %w", err)
	}
	var page strings.Builder
	page.WriteString(pageHead)
	for _, f := range parser.Model.Flags {
		if f.Name != "help" {
			writeSetting(&page, f)
		}
	}
	_, err = io.WriteString(w, page.String())
	return err
}

func writeSetting(w io.Writer, f *kong.Flag) {
	value := "none"
	switch {
	case f.Required:
		value = "none; required"
	case f.IsBool():
		value = "`false`"
	case f.HasDefault:
		value = "`" + f.Default + "`"
	}
	_, _ = fmt.Fprintf(
		w, "\n## --%s\n\n%s\n\n- Environment: `%s`\n- Default: %s\n- Checked: %s\n",
		f.Name, f.Help, strings.Join(f.Envs, "`, `"), value, checks[f.Name],
	)
}
