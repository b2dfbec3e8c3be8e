package berylreducer

import (
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

const (
	// maxOperationTries bounds the writes of one call; each conflict means that another change went through.
	maxOperationTries = 8
	// operationTimeout bounds a call whose answer the platform delays; the caller then learns "unknown".
	operationTimeout = 10 * time.Second
	// rereadInterval repeats a read of the configuration whose answer is missing.
	rereadInterval = time.Second
	// bootstrapCall identifies the write of the first, empty configuration.
	bootstrapCall = "bootstrap"
)

// operateState holds the operators' calls and the steps of this node; at most one configuration write is under way.
type operateState struct {
	// queue holds the calls in order of arrival; the first one is at work.
	queue []*operation
	write *configWrite
	// reading is true while the first call waits for a fresh configuration.
	reading  bool
	readSent time.Duration
	writes   int
	// confirming holds the accepted calls that wait until every node has their version in force.
	confirming []*operation
	// doubts maps an operation id to the version expected by a write of it whose answer was lost.
	doubts   map[string]uint64
	reports  map[string]workerRunning
	planned  map[string]plannedInstance
	stepping steppingState
	loads    loadState
}

// configWrite is a write of the configuration document that has not ended.
type configWrite struct {
	callID string
	config beryllatch.Config
	expect uint64
	// op is the call that the write is for; nil for maintenance steps and load moves.
	op      *operation
	refused string
	steps   []berylplan.Step
	moves   []berylplan.LoadMove
}

// reduceOperate applies operators' changes and maintenance steps.
func (r *Reducer) reduceOperate(e Event) {
	switch e := e.(type) {
	case ChangesRequested:
		r.changesRequested(e)
	case ConfigWritten:
		r.configWritten(e)
	}
}

// operateAfter follows the events that other areas decide on first.
func (r *Reducer) operateAfter(e Event) {
	switch e := e.(type) {
	case ConfigRead:
		r.operateRead()
	case Renewed:
		r.bootstrap(e)
		r.confirmOperations()
	case HeartbeatReceived:
		r.confirmOperations()
	case WorkerReported:
		r.workerRunningReported(e)
	}
}

// operateIdle reports whether no call waits for an answer and no write is under way.
func (r *Reducer) operateIdle() bool {
	return len(r.operate.queue) == 0 && len(r.operate.confirming) == 0 && r.operate.write == nil
}

func (r *Reducer) tickOperate() {
	r.timeOutOperations()
	if r.operate.reading && r.now.Mono-r.operate.readSent >= rereadInterval {
		r.readForOperation()
	}
	r.nextOperation()
	r.tickSteps()
}

// writeConfig starts a write over the configuration in force.
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
	r.nextOperation()
}

// bootstrap writes an empty configuration when the table holds none, since a tenure needs a version to vouch for.
func (r *Reducer) bootstrap(e Renewed) {
	if e.HeadVersion == 0 && r.config.Version == 0 && r.operate.write == nil {
		r.writeConfig(bootstrapCall, beryllatch.Config{})
	}
}

func (r *Reducer) readForOperation() {
	r.operate.reading = true
	r.operate.readSent = r.now.Mono
	r.emit(ReadConfig{})
}
