package beryldaemon

import (
	"context"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/beryltask"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// ApplyChanges posts an operator's changes to the configuration and waits for the reducer's reply.
func (d *Daemon) ApplyChanges(
	ctx context.Context, e berylreducer.ChangesRequested,
) (berylreducer.ReplyOperator, error) {
	return d.operatorCalls.wait(ctx, e.CallID, func() { d.Post(e) })
}

// Config returns the configuration in force at the node.
func (d *Daemon) Config(context.Context) (beryllatch.Config, error) {
	_, c := d.state.get()
	if c.Version == 0 {
		return c, eris.New("the node has no configuration yet")
	}
	return c, nil
}

// Status returns the state of the nodes, teams and instances as this node sees it.
func (d *Daemon) Status(ctx context.Context) (*berylwire.GetStatusResponse, error) {
	id := uuid.NewString()
	s, err := d.statusCalls.wait(ctx, id, func() { d.Post(berylreducer.StatusRequested{CallID: id}) })
	if err != nil {
		return nil, err
	}
	cfg, err := d.Config(ctx)
	if err != nil {
		return nil, err
	}
	return statusMessage(d.Self.Node, s, cfg), nil
}

func statusMessage(node string, s berylreducer.Status, cfg beryllatch.Config) *berylwire.GetStatusResponse {
	out := &berylwire.GetStatusResponse{Node: node, Mode: string(s.Mode), ConfigVersion: s.ConfigVersion}
	for _, n := range s.Nodes {
		out.Nodes = append(out.Nodes, &berylwire.NodeStatus{
			Id: n.Node, DataCentre: n.DataCentre, State: string(n.State), ConfigVersion: n.ConfigVersion,
		})
	}
	for _, t := range s.Teams {
		out.Teams = append(out.Teams, &berylwire.TeamStatus{
			Name: t.Team, Running: int32(t.Running), Waiting: int32(t.Waiting), Units: int32(t.Units),
			Ceiling: int32(cfg.Teams[t.Team].Ceiling),
		})
	}
	for _, i := range s.Instances {
		out.Instances = append(out.Instances, &berylwire.InstanceStatus{
			Id: i.ID, Pool: i.Pool, DataCentre: i.DataCentre, State: string(i.State), Health: health(i),
			Running: int32(i.Running),
		})
	}
	return out
}

func health(i berylreducer.InstanceView) string {
	switch {
	case i.Leaving:
		return "leaving"
	case i.Healthy:
		return "healthy"
	default:
		return "unhealthy"
	}
}

// Task returns a task from the table, or a *beryloperator.TaskNotFoundError.
func (d *Daemon) Task(ctx context.Context, id string) (beryllatch.Task, error) {
	return beryltask.Find(ctx, d.Table, id)
}

// WaitingTasks returns up to limit tasks in the given states that wait for an operator, sorted by id and with ids
// greater than after.
func (d *Daemon) WaitingTasks(
	ctx context.Context, states []beryllatch.TaskState, after string, limit int,
) ([]beryllatch.Task, error) {
	return beryltask.ListWaiting(ctx, d.Table, states, after, limit)
}

// ResolveTask posts an operator's decision about a task and waits for the reducer's reply.
func (d *Daemon) ResolveTask(
	ctx context.Context, e berylreducer.TaskResolveRequested,
) (berylreducer.ReplyTaskResolve, error) {
	return d.resolveCalls.wait(ctx, e.CallID, func() { d.Post(e) })
}
