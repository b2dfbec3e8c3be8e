package berylsettings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// validSettings returns settings that Validate accepts.
func validSettings() Daemon {
	return Daemon{
		Node: "n1", DataCentre: "dc1", CallersAddress: "127.0.0.1:1", OperatorsAddress: "127.0.0.1:2",
		PeersAddress: "127.0.0.1:3", AdminAddress: "127.0.0.1:4", TableEndpoint: "http://127.0.0.1:5",
		ObjectEndpoint: "http://127.0.0.1:5", InstanceList: "http://127.0.0.1:5/instances", ShutdownTimeout: time.Second,
	}
}

// Guards against an unusable setting that is noticed only after the node has started, or whose error doesn't name the flag.
func TestDaemonValidate(t *testing.T) {
	tests := map[string]struct {
		change func(*Daemon)
		flag   string
	}{
		"valid":              {func(*Daemon) {}, ""},
		"node name":          {func(d *Daemon) { d.Node = "N 1" }, "node"},
		"host name":          {func(d *Daemon) { d.PeersAddress = "localhost:1" }, "peers-address"},
		"plain text":         {func(d *Daemon) { d.CallersAddress = "192.0.2.1:1" }, "callers-address"},
		"plain text allowed": {func(d *Daemon) { d.CallersAddress, d.AllowPlainText = "192.0.2.1:1", true }, ""},
		"key missing":        {func(d *Daemon) { d.OperatorsTLS.Cert = "c" }, "operators-address"},
		"peers without ca":   {func(d *Daemon) { d.PeersTLS = TLSFiles{Cert: "c", Key: "k"} }, "peers-tls-ca"},
		"table":              {func(d *Daemon) { d.TableEndpoint = "127.0.0.1" }, "table-endpoint"},
		"token":              {func(d *Daemon) { d.OperatorTokens = []string{"ann:secret"} }, "operator-tokens"},
		"memory":             {func(d *Daemon) { d.MemoryMB = -1 }, "memory-mb"},
		"descriptors":        {func(d *Daemon) { d.MaxFDs = MinFDs - 1 }, "max-fds"},
		"least descriptors":  {func(d *Daemon) { d.MaxFDs = MinFDs }, ""},
		"token hash":         {func(d *Daemon) { d.OperatorTokens = []string{"ann:" + strings.Repeat("a", 64)} }, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := validSettings()
			tc.change(&d)
			err := d.Validate()
			if tc.flag == "" {
				assert.NilError(t, err)
				return
			}
			var settingErr *SettingError
			assert.Assert(t, errors.As(err, &settingErr), "got %v", err)
			assert.Equal(t, settingErr.Flag, tc.flag)
		})
	}
}
