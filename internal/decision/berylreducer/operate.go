package berylreducer

import (
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

const (
	// maxOperationWrites bounds the writes for one call. A write is repeated after a conflict, that is, when another change
	// was written first.
	maxOperationWrites = 8
	// operationTimeout bounds how long a call waits for the platform. The reply is then "unknown" if a write may still take
	// effect.
	operationTimeout = 10 * time.Second
	// rereadInterval is the time after which an unanswered read of the configuration is repeated.
	rereadInterval = time.Second
	// bootstrapCall identifies the write of the first, empty configuration.
	bootstrapCall = "bootstrap"
)

// operateState holds the operators' calls at this node, and the maintenance steps and load moves that it takes.
type operateState struct {
	// queue holds the calls in order of arrival; the first one is being processed.
	queue []*operation
	// write is the configuration write in flight, at most one; nil if there is none.
	write *configWrite
	// reading is true while the first call waits for a read of the configuration, sent at readSent.
	reading  bool
	readSent time.Duration
	// writes counts the configuration writes; it makes their call ids unique.
	writes int
	// confirming holds the accepted calls that wait until their version is in force on all nodes.
	confirming []*operation
	// uncertainWrites maps the id of an operation to the version that its write expected, if the answer was lost.
	uncertainWrites map[string]uint64
	// workerLoads holds the last report of each worker, by instance.
	workerLoads map[string]workerLoad
	// drains holds the progress of the instances that are not active, by instance.
	drains map[string]drainProgress
	steps  stepState
	load   loadState
}

// configWrite is a write of the configuration document whose result has not arrived.
type configWrite struct {
	callID string
	config beryllatch.Config
	// expect is the version that the stored document must have.
	expect uint64
	// op is the call that the write is for; nil for maintenance steps, load moves and the first configuration.
	op *operation
	// refused is why the call is refused. The write then records only the refusal; empty if it applies the changes.
	refused string
	steps   []berylplan.Step
	moves   []berylplan.LoadMove
}

// reduceOperate applies the events of operators' calls and configuration writes.
func (r *Reducer) reduceOperate(e Event) {
	switch e := e.(type) {
	case ChangesRequested:
		r.changesRequested(e)
	case ConfigWritten:
		r.configWritten(e)
	}
}

// operateAfter reacts to events that other parts of the reducer have already applied.
func (r *Reducer) operateAfter(e Event) {
	switch e := e.(type) {
	case ConfigRead:
		r.configReadForOperation()
	case Renewed:
		r.bootstrap(e)
		r.confirmOperations()
	case HeartbeatReceived:
		r.confirmOperations()
	case WorkerReported:
		r.recordWorkerLoad(e)
	}
}

// operateIdle reports whether no call waits for a reply and no write is in flight.
func (r *Reducer) operateIdle() bool {
	return len(r.operate.queue) == 0 && len(r.operate.confirming) == 0 && r.operate.write == nil
}

func (r *Reducer) tickOperate() {
	r.timeOutOperations()
	if r.operate.reading && r.now.Mono-r.operate.readSent >= rereadInterval {
		r.readForOperation()
	}
	r.processOperations()
	r.tickSteps()
}

// writeConfig writes a configuration that replaces the current one.
func (r *Reducer) writeConfig(callID string, next beryllatch.Config) *configWrite {
	expect := r.config.Version
	next = next.WithVersion(expect + 1)
	r.operate.writes++
	w := &configWrite{callID: callID + "." + strconv.Itoa(r.operate.writes), config: next, expect: expect}
	r.operate.write = w
	r.emit(WriteConfig{CallID: w.callID, Config: next, Expect: expect})
	return w
}

func (r *Reducer) configWritten(e ConfigWritten) {
	w := r.operate.write
	if w == nil || w.callID != e.CallID {
		return
	}
	r.operate.write = nil
	if e.Result == WriteDone {
		r.configRead(ConfigRead{Config: w.config})
		r.watchConfig(w.config.Version)
	}
	if w.op != nil {
		r.operationWritten(w, e.Result)
	} else {
		r.stepsWritten(w, e.Result)
	}
	r.processOperations()
}

// bootstrap writes an empty configuration if the table contains none, since a tenure requires a configuration version.
func (r *Reducer) bootstrap(e Renewed) {
	if e.HeadVersion == 0 && r.config.Version == 0 && r.operate.write == nil {
		r.writeConfig(bootstrapCall, beryllatch.Config{})
	}
}

// readForOperation reads the configuration before the first call is processed again.
func (r *Reducer) readForOperation() {
	r.operate.reading = true
	r.operate.readSent = r.now.Mono
	r.emit(ReadConfig{})
}
