package berylsoak

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a restart that waits for a process which another fault has started meanwhile, and so makes cuts last far longer than
// their series says.
func TestRestartAwaitsTheProcessThatWasSignalled(t *testing.T) {
	program := filepath.Join(t.TempDir(), "daemon")
	assert.NilError(t, os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700))
	d := &daemon{program: program, dir: t.TempDir(), name: "n0"}
	defer d.shutDown()
	assert.NilError(t, d.start())
	ended := d.signal(syscall.SIGKILL)
	<-ended
	assert.NilError(t, d.start())
	began := time.Now()
	(&soakRun{ctx: t.Context()}).restart(d, ended, 0)
	assert.Assert(t, time.Since(began) < maxEndTime/2, "waited for %s", time.Since(began))
}
