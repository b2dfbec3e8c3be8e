package beryljobs

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

const (
	// forwardTimeout bounds a call to the holder, so that a caller learns of a silent one before its own deadline.
	forwardTimeout = 1500 * time.Millisecond
	// stateTimeout bounds the question for a state, which needs no wait for the store.
	stateTimeout = 400 * time.Millisecond
)

func (n *Node) client(h holder) berylwire.Jobs {
	return berylwire.NewJobsProtobufClient("http://"+h.Address, n.Peers)
}

// forwardError tells an order that never left this node from one of unknown outcome.
func forwardError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return noHolder("the scheduling node cannot be reached")
	}
	return &beryllatch.Refusal{
		Reason: beryllatch.ReasonPlatformUnavailable, RunState: beryllatch.RunStateUnknown, Detail: err.Error(),
	}
}

func patienceLeft(ctx context.Context) int64 {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d).Milliseconds()
	}
	return forwardTimeout.Milliseconds()
}

func (n *Node) submitRemote(ctx context.Context, h holder, j beryllatch.Job) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	body, err := json.Marshal(j)
	if err != nil {
		return err
	}
	r, err := n.client(h).SubmitJob(ctx, &berylwire.SubmitJobRequest{
		Job: body, PatienceMs: patienceLeft(ctx), ConfigVersion: n.configVersion(),
	})
	if err != nil {
		n.poke()
		return forwardError(err)
	}
	return refusalError(r.GetRefusal())
}

func (n *Node) stateRemote(ctx context.Context, h holder, queue, id string) (state beryllatch.JobState, answered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	r, err := n.client(h).GetJob(ctx, &berylwire.JobRequest{Queue: queue, Id: id})
	if err != nil || r.GetRefusal() != nil {
		n.poke()
		return "", false, nil
	}
	if r.GetUnknownJob() {
		return "", true, &beryllatch.UnknownJobError{ID: id}
	}
	return beryllatch.JobState(r.GetState()), true, nil
}

func (n *Node) cancelRemote(ctx context.Context, h holder, queue, id string) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	r, err := n.client(h).CancelJob(ctx, &berylwire.JobRequest{Queue: queue, Id: id, PatienceMs: patienceLeft(ctx)})
	if err != nil {
		n.poke()
		return forwardError(err)
	}
	if r.GetUnknownJob() {
		return &beryllatch.UnknownJobError{ID: id}
	}
	return refusalError(r.GetRefusal())
}

func (n *Node) pendingRemote(ctx context.Context, h holder, queue string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	r, err := n.client(h).CountPending(ctx, &berylwire.CountPendingRequest{Queue: queue})
	if err != nil {
		return 0, noHolder(err.Error())
	}
	return int(r.GetPending()), refusalError(r.GetRefusal())
}

// holderState is what a probe has found.
type holderState int

const (
	// holderSilent did not answer, or does not schedule.
	holderSilent holderState = iota
	// holderWell schedules and reaches the store, or nobody is known to reach it.
	holderWell
	// holderCut schedules without the store.
	holderCut
	// holderGone has ended: nothing listens at its address, or another life of the process does.
	holderGone
)

// probeHolder asks the holder whether it schedules.
func (n *Node) probeHolder(ctx context.Context) holderState {
	if n.local() != nil {
		return holderWell
	}
	h, ok := n.remote()
	if !ok {
		return holderSilent
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := n.client(h).Probe(ctx, &berylwire.ProbeRequest{
		Node: n.Name, ConfigVersion: n.configVersion(), CpuShare: n.CPUShare, StoreAgeMs: n.storeAge().Milliseconds(),
		Address: n.Address,
	})
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return holderGone
	case err != nil:
		return holderSilent
	case r.GetIncarnation() != "" && r.GetIncarnation() != h.Incarnation:
		return holderGone
	case r.GetEpoch() < h.Epoch:
		return holderSilent
	}
	if len(r.GetConfig()) > 0 {
		n.takeConfiguration(beryllatch.DataRow{Key: n.View.ConfigurationKey(), Value: r.GetConfig()})
	}
	age := time.Duration(r.GetStoreAgeMs()) * time.Millisecond
	n.mu.Lock()
	defer n.mu.Unlock()
	n.larger = int(r.GetLargerNodes())
	if age < staleAfter {
		n.holderHeard = time.Now()
	}
	if age > holderStoreAge {
		return holderCut
	}
	return holderWell
}

func (n *Node) configVersion() int64 {
	if d := n.deployment.Load(); d != nil {
		return d.Version
	}
	return 0
}

// refusalOf returns the wire form of an error.
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

// Server answers the other nodes; it implements berylwire.Jobs.
type Server struct{ Node *Node }

// SubmitJob implements berylwire.Jobs.
func (v Server) SubmitJob(ctx context.Context, r *berylwire.SubmitJobRequest) (*berylwire.SubmitJobResponse, error) {
	s := v.Node.local()
	if s == nil {
		return &berylwire.SubmitJobResponse{Refusal: refusalOf(noHolder("the node does not schedule"))}, nil
	}
	var j beryllatch.Job
	if err := json.Unmarshal(r.GetJob(), &j); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetPatienceMs())*time.Millisecond)
	defer cancel()
	v.Node.catchUp(ctx, r.GetConfigVersion())
	if err := s.submit(ctx, j); err != nil {
		return &berylwire.SubmitJobResponse{Refusal: refusalOf(err)}, nil
	}
	return &berylwire.SubmitJobResponse{}, nil
}

// catchUp reads the configuration again when another node has a newer one.
func (n *Node) catchUp(ctx context.Context, version int64) {
	if version <= n.configVersion() {
		return
	}
	row, err := n.rows().Row(ctx, n.View.OperationsTable(), "", n.View.ConfigurationKey())
	if err != nil {
		n.Log.Event("configuration_unknown", n.Name, err.Error())
		return
	}
	n.takeConfiguration(row)
}

// GetJob implements berylwire.Jobs.
func (v Server) GetJob(ctx context.Context, r *berylwire.JobRequest) (*berylwire.GetJobResponse, error) {
	s := v.Node.local()
	if s == nil {
		return &berylwire.GetJobResponse{Refusal: refusalOf(noHolder("the node does not schedule"))}, nil
	}
	state, err := v.Node.heldState(ctx, s, r.GetId())
	var unknown *beryllatch.UnknownJobError
	if err != nil && !errors.As(err, &unknown) {
		return &berylwire.GetJobResponse{Refusal: refusalOf(err)}, nil
	}
	return &berylwire.GetJobResponse{State: string(state), UnknownJob: err != nil}, nil
}

// CancelJob implements berylwire.Jobs.
func (v Server) CancelJob(ctx context.Context, r *berylwire.JobRequest) (*berylwire.CancelJobResponse, error) {
	s := v.Node.local()
	if s == nil {
		return &berylwire.CancelJobResponse{Refusal: refusalOf(noHolder("the node does not schedule"))}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetPatienceMs())*time.Millisecond)
	defer cancel()
	err := v.Node.heldCancel(ctx, s, r.GetId())
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
	s := v.Node.local()
	if s == nil {
		return &berylwire.CountPendingResponse{Refusal: refusalOf(noHolder("the node does not schedule"))}, nil
	}
	return &berylwire.CountPendingResponse{Pending: int32(s.pending(r.GetQueue()))}, nil
}

// Probe implements berylwire.Jobs.
func (v Server) Probe(_ context.Context, r *berylwire.ProbeRequest) (*berylwire.ProbeResponse, error) {
	n := v.Node
	out := &berylwire.ProbeResponse{ConfigVersion: n.configVersion(), StoreAgeMs: n.storeAge().Milliseconds(), Incarnation: n.incarnation}
	if s := n.local(); s != nil {
		out.Epoch = s.holder.Epoch
		out.LargerNodes = int32(n.notePeer(r))
	}
	if row := n.configRow.Load(); row != nil && r.GetConfigVersion() < out.GetConfigVersion() {
		out.Config = row.Value
	}
	return out, nil
}
