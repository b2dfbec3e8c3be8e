package beryloperator

import (
	"context"
	"fmt"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// Node is the part of the daemon that the service uses.
type Node interface {
	// ApplyChanges posts the call to the node's event loop and waits for its reply; it returns the context's error if
	// the context ends first.
	ApplyChanges(ctx context.Context, e berylreducer.ChangesRequested) (berylreducer.ReplyOperator, error)
	// Config returns the configuration in force at the node.
	Config(ctx context.Context) (beryllatch.Config, error)
	// Status returns the state of the nodes, teams and instances as this node sees it.
	Status(ctx context.Context) (*berylwire.GetStatusResponse, error)
	// Task returns a task from the table, or a *TaskNotFoundError.
	Task(ctx context.Context, id string) (beryllatch.Task, error)
	// WaitingTasks returns up to limit tasks in the given states that wait for an operator, sorted by id and with ids
	// greater than after.
	WaitingTasks(ctx context.Context, states []beryllatch.TaskState, after string, limit int) ([]beryllatch.Task, error)
	// ResolveTask posts the decision to the node's event loop and waits for its reply; it returns the context's error
	// if the context ends first.
	ResolveTask(ctx context.Context, e berylreducer.TaskResolveRequested) (berylreducer.ReplyTaskResolve, error)
}

// TaskNotFoundError reports that no task has the id.
type TaskNotFoundError struct{ ID string }

// Error names the task.
func (e *TaskNotFoundError) Error() string { return fmt.Sprintf("no task has the id %q", e.ID) }
