package beryljobs

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

const (
	// forwardTimeout bounds a call to the scheduling node, so that a caller learns of a scheduling node that doesn't
	// answer before the caller's own deadline.
	forwardTimeout = 1500 * time.Millisecond
	// stateTimeout bounds a query for a job's state or a number of jobs, which the scheduling node answers from memory.
	stateTimeout = 400 * time.Millisecond
)

func (n *Node) client(sn schedulingNode) berylwire.Jobs {
	return berylwire.NewJobsProtobufClient("http://"+sn.Address, n.Peers)
}

// forwardError returns the refusal for a failed call to the scheduling node. A call that never left this node is
// refused as not run; the outcome of any other one is unknown.
func forwardError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return noScheduler("the scheduling node cannot be reached")
	}
	return &beryllatch.Refusal{
		Reason: beryllatch.ReasonPlatformUnavailable, RunState: beryllatch.RunStateUnknown, Detail: err.Error(),
	}
}

// remainingMs returns the time until the deadline of ctx in milliseconds; the other node gives up after it.
func remainingMs(ctx context.Context) int64 {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d).Milliseconds()
	}
	return forwardTimeout.Milliseconds()
}

func (n *Node) submitRemote(ctx context.Context, sn schedulingNode, j beryllatch.Job) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	body, err := json.Marshal(j)
	if err != nil {
		return err
	}
	r, err := n.client(sn).SubmitJob(ctx, &berylwire.SubmitJobRequest{
		Job: body, PatienceMs: remainingMs(ctx), ConfigVersion: n.configVersion(),
	})
	if err != nil {
		n.wakeLoop()
		return forwardError(err)
	}
	return refusalError(r.GetRefusal())
}

func (n *Node) stateRemote(ctx context.Context, sn schedulingNode, queue, id string) (state beryllatch.JobState, answered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	r, err := n.client(sn).GetJob(ctx, &berylwire.JobRequest{Queue: queue, Id: id})
	if err != nil || r.GetRefusal() != nil {
		n.wakeLoop()
		return "", false, nil
	}
	if r.GetUnknownJob() {
		return "", true, &beryllatch.UnknownJobError{ID: id}
	}
	return beryllatch.JobState(r.GetState()), true, nil
}

func (n *Node) cancelRemote(ctx context.Context, sn schedulingNode, queue, id string) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	r, err := n.client(sn).CancelJob(ctx, &berylwire.JobRequest{Queue: queue, Id: id, PatienceMs: remainingMs(ctx)})
	if err != nil {
		n.wakeLoop()
		return forwardError(err)
	}
	if r.GetUnknownJob() {
		return &beryllatch.UnknownJobError{ID: id}
	}
	return refusalError(r.GetRefusal())
}

func (n *Node) pendingRemote(ctx context.Context, sn schedulingNode, queue string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	r, err := n.client(sn).CountPending(ctx, &berylwire.CountPendingRequest{Queue: queue})
	if err != nil {
		return 0, noScheduler(err.Error())
	}
	return int(r.GetPending()), refusalError(r.GetRefusal())
}

// probeResult is the outcome of a probe of the scheduling node.
type probeResult int

const (
	// probeFailed means that the node did not answer, or does not schedule.
	probeFailed probeResult = iota
	// probeOK means that the node schedules and has had a recent answer of the store.
	probeOK
	// probeNoStore means that the node schedules without the store.
	probeNoStore
	// probeRefused means that nothing listens at the node's address, or that something on the way resets connections.
	probeRefused
	// probeOtherIncarnation means that another incarnation of the node's process has answered.
	probeOtherIncarnation
)

// probeSchedulingNode asks the scheduling node whether it schedules. It also takes over a newer configuration from the
// answer.
func (n *Node) probeSchedulingNode(ctx context.Context) probeResult {
	if n.localSession() != nil {
		return probeOK
	}
	sn, ok := n.remoteNode()
	if !ok {
		return probeFailed
	}
	n.speed.sample()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	n.mu.Lock()
	last := n.acknowledged
	n.mu.Unlock()
	sent := time.Now()
	r, err := n.client(sn).Probe(ctx, &berylwire.ProbeRequest{
		Node: n.Name, ConfigVersion: n.configVersion(), CpuShare: n.CPUShare, StoreAgeMs: n.storeAge().Milliseconds(),
		Address: n.Address, SeparateConfig: true, Slow: n.speed.slow(),
		EchoedStamp: last.stamp, EchoedEpoch: last.epoch,
	})
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeRefused
	case err != nil:
		return probeFailed
	case r.GetIncarnation() != "" && r.GetIncarnation() != sn.Incarnation:
		return probeOtherIncarnation
	case r.GetEpoch() < sn.Epoch:
		return probeFailed
	}
	if len(r.GetConfig()) > 0 {
		n.applyConfiguration(beryllatch.DataRow{Key: n.View.ConfigurationKey(), Value: r.GetConfig()}, sourceSchedulingNode)
	}
	n.compareConfiguration(sn, r.GetConfigVersion())
	age := time.Duration(r.GetStoreAgeMs()) * time.Millisecond
	n.mu.Lock()
	defer n.mu.Unlock()
	n.acknowledged = acknowledgement{incarnation: r.GetIncarnation(), epoch: r.GetEpoch(), stamp: r.GetStamp(), sent: sent}
	n.largerNodes = int(r.GetLargerNodes())
	// A scheduling node of an older build gives no age of its configuration.
	confirmed := sent.Add(-max(age, time.Duration(r.GetConfigAgeMs())*time.Millisecond))
	if r.GetConfigVersion() <= n.configVersion() && confirmed.After(n.lastConfirmed) {
		n.lastConfirmed = confirmed
	}
	if age > maxStoreAge {
		return probeNoStore
	}
	return probeOK
}

func (n *Node) configVersion() int64 {
	if d := n.deployment.Load(); d != nil {
		return d.Version
	}
	return 0
}

// refusalOf returns the wire form of an error. An error that is not a refusal becomes one with an unknown outcome.
func refusalOf(err error) *berylwire.JobRefusal {
	var f *beryllatch.Refusal
	if errors.As(err, &f) {
		return &berylwire.JobRefusal{
			Reason: string(f.Reason), RunState: string(f.RunState), RetryAfterMs: f.RetryAfter.Milliseconds(), Detail: f.Detail,
		}
	}
	return &berylwire.JobRefusal{
		Reason: string(beryllatch.ReasonPlatformUnavailable), RunState: string(beryllatch.RunStateUnknown), Detail: err.Error(),
	}
}

func refusalError(f *berylwire.JobRefusal) error {
	if f == nil {
		return nil
	}
	return &beryllatch.Refusal{
		Reason: beryllatch.Reason(f.GetReason()), RunState: beryllatch.RunState(f.GetRunState()),
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond, Detail: f.GetDetail(),
	}
}

// Server serves the calls of the other nodes; it implements berylwire.Jobs.
type Server struct{ Node *Node }

// SubmitJob implements berylwire.Jobs.
func (v Server) SubmitJob(ctx context.Context, r *berylwire.SubmitJobRequest) (*berylwire.SubmitJobResponse, error) {
	s := v.Node.localSession()
	if s == nil {
		return &berylwire.SubmitJobResponse{Refusal: refusalOf(noScheduler("the node does not schedule"))}, nil
	}
	if err := berylintake.Reserve(ctx, beryllatch.DecodedJobBytes(r.GetJob(), len(r.GetJob()))); err != nil {
		// The job may have been accepted in an earlier attempt, which is not looked up: the other node must not take this for a refusal.
		return &berylwire.SubmitJobResponse{Refusal: refusalOf(noScheduler(err.Error()))}, nil
	}
	var j beryllatch.Job
	if err := json.Unmarshal(r.GetJob(), &j); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetPatienceMs())*time.Millisecond)
	defer cancel()
	err := v.Node.catchUp(ctx, r.GetConfigVersion())
	if err == nil {
		err = s.submit(ctx, j)
	}
	if err != nil {
		return &berylwire.SubmitJobResponse{Refusal: refusalOf(err)}, nil
	}
	return &berylwire.SubmitJobResponse{}, nil
}

// GetJob implements berylwire.Jobs.
func (v Server) GetJob(ctx context.Context, r *berylwire.JobRequest) (*berylwire.GetJobResponse, error) {
	s := v.Node.localSession()
	if s == nil {
		return &berylwire.GetJobResponse{Refusal: refusalOf(noScheduler("the node does not schedule"))}, nil
	}
	state, err := v.Node.localState(ctx, s, r.GetId())
	var unknown *beryllatch.UnknownJobError
	if err != nil && !errors.As(err, &unknown) {
		return &berylwire.GetJobResponse{Refusal: refusalOf(err)}, nil
	}
	return &berylwire.GetJobResponse{State: string(state), UnknownJob: err != nil}, nil
}

// CancelJob implements berylwire.Jobs.
func (v Server) CancelJob(ctx context.Context, r *berylwire.JobRequest) (*berylwire.CancelJobResponse, error) {
	s := v.Node.localSession()
	if s == nil {
		return &berylwire.CancelJobResponse{Refusal: refusalOf(noScheduler("the node does not schedule"))}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetPatienceMs())*time.Millisecond)
	defer cancel()
	err := v.Node.localCancel(ctx, s, r.GetId())
	var unknown *beryllatch.UnknownJobError
	if errors.As(err, &unknown) {
		return &berylwire.CancelJobResponse{UnknownJob: true}, nil
	}
	if err != nil {
		return &berylwire.CancelJobResponse{Refusal: refusalOf(err)}, nil
	}
	return &berylwire.CancelJobResponse{}, nil
}

// CountPending implements berylwire.Jobs.
func (v Server) CountPending(_ context.Context, r *berylwire.CountPendingRequest) (*berylwire.CountPendingResponse, error) {
	s := v.Node.localSession()
	if s == nil {
		return &berylwire.CountPendingResponse{Refusal: refusalOf(noScheduler("the node does not schedule"))}, nil
	}
	return &berylwire.CountPendingResponse{Pending: int32(s.pending(r.GetQueue()))}, nil
}

// Probe implements berylwire.Jobs.
func (v Server) Probe(_ context.Context, r *berylwire.ProbeRequest) (*berylwire.ProbeResponse, error) {
	n := v.Node
	// The age first: the version that is read after it is at least as new.
	age := n.ConfigurationAge()
	out := &berylwire.ProbeResponse{
		ConfigAgeMs: age.Milliseconds(), ConfigVersion: n.configVersion(), StoreAgeMs: n.storeAge().Milliseconds(),
		Incarnation: n.incarnation,
	}
	if s := n.localSession(); s != nil {
		out.Epoch = s.self.Epoch
		out.LargerNodes = int32(n.recordPeer(r))
		out.Stamp = s.recordProbe(r)
	}
	if row := n.configRow.Load(); row != nil && r.GetConfigVersion() < out.GetConfigVersion() && !r.GetSeparateConfig() {
		out.Config = row.Value
	}
	return out, nil
}
