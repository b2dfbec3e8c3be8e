package berylintake

import "time"

const (
	// defaultBudget and defaultFDs apply if the settings give no memory or no descriptors.
	defaultBudget = 64 << 20
	defaultFDs    = 1024
	// minBudget leaves room for the largest request even with a very small memory limit.
	minBudget = 4 << 20
	// memoryDivisor is the part of the memory that the budget is: bodies and headers may need as much again while they are
	// decoded, and the rest is for the node's own state.
	memoryDivisor = 4
	// fileFDs is how many descriptors are reserved for files.
	fileFDs = 200
	// connectionDivisor is the part of the other descriptors that incoming connections may use. A scheduling node needs
	// most of them for its connections to workers: about 2,600 of 3,900 on a busy day.
	connectionDivisor = 4
	// minConnections is the least limit of connections with which a node can serve its peers and some callers.
	minConnections = 16

	// MinFDs is the least limit of descriptors that a node accepts.
	MinFDs = fileFDs + connectionDivisor*minConnections

	// smallRequest is the size in bytes up to which a request may also use the reserve of the budget.
	smallRequest = 16 << 10
	// reserveDivisor is the part of the budget that is kept for small requests.
	reserveDivisor = 8
	// stallTime is how long a connection that holds budget may take for its next progressBytes while others wait for budget.
	stallTime = time.Second
)

// Limits bound what all requests of a process may use that are not yet answered.
type Limits struct {
	// Bytes bounds the charges for connections, headers and bodies.
	Bytes int64
	// Connections bounds the open incoming connections.
	Connections int
}

// LimitsFor derives the limits from the process's limits of memory and descriptors; 0 means that one is not known.
func LimitsFor(memoryMB, maxFDs int) Limits {
	l := Limits{Bytes: defaultBudget}
	if memoryMB > 0 {
		l.Bytes = max(int64(memoryMB)<<20/memoryDivisor, minBudget)
	}
	if maxFDs <= 0 {
		maxFDs = defaultFDs
	}
	l.Connections = max((maxFDs-fileFDs)/connectionDivisor, minConnections)
	return l
}

// granted reports whether n more bytes may be charged for a request of which size bytes have been received, while used
// bytes are charged in all.
func (l Limits) granted(used, n, size int64) bool {
	limit := l.Bytes
	if size > smallRequest {
		limit -= limit / reserveDivisor
	}
	return used+n <= limit
}

// usage is what is known of a connection when one has to be closed.
type usage struct {
	// peer is true for connections of other nodes.
	peer bool
	// answered is true after the first answer that left the connection open.
	answered bool
	// answering is true from the end of a request until its answer has been sent.
	answering bool
	// held is what is charged for the present request, without the connection itself.
	held int64
	// progress is when the connection last completed a request or another progressBytes of one, or was accepted.
	progress time.Time
}

// rank orders connections by when they are closed: those that have never been answered, then those of callers, then those
// of other nodes. ok is false while a request is being answered.
func (u usage) rank() (rank int, ok bool) {
	switch {
	case u.answering:
		return 0, false
	case !u.answered:
		return 0, true
	case !u.peer:
		return 1, true
	}
	return 2, true
}

// closesBefore reports whether u is closed before v to make room for a new connection. u may be closed.
func (u usage) closesBefore(v usage) bool {
	a, _ := u.rank()
	b, ok := v.rank()
	if !ok || a != b {
		return !ok || a < b
	}
	return u.progress.Before(v.progress)
}

// stalled reports whether the connection holds budget without making progress, so that its budget is given to others.
func (u usage) stalled(now time.Time) bool {
	return !u.answering && u.held > 0 && now.Sub(u.progress) >= stallTime
}
