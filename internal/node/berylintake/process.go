package berylintake

import (
	"math"

	"golang.org/x/sys/unix"
)

// ProcessFDs returns how many descriptors the system lets this process open, or 0 if that is not known.
func ProcessFDs() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return int(min(l.Cur, math.MaxInt32))
}
