package beryltaskapi

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// taskView is the JSON form of a task in answers to callers.
type taskView struct {
	TaskID          string               `json:"task_id"`
	Queue           string               `json:"queue"`
	State           beryllatch.TaskState `json:"state,omitempty"`
	Reason          beryllatch.Reason    `json:"reason,omitempty"`
	Attempt         int                  `json:"attempt,omitempty"`
	Accepted        time.Time            `json:"accepted,omitzero"`
	Deadline        time.Time            `json:"deadline,omitzero"`
	Finished        time.Time            `json:"finished,omitzero"`
	CancelRequested bool                 `json:"cancel_requested,omitempty"`
}

func newTaskView(t beryllatch.Task) taskView {
	return taskView{
		TaskID: t.ID, Queue: t.Queue, State: t.State, Reason: t.Reason, Attempt: t.Attempt,
		Accepted: t.Accepted, Deadline: t.Deadline, Finished: t.Finished, CancelRequested: t.CancelRequested,
	}
}
