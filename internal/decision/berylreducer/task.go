package berylreducer

// reduceTask applies the events of queued tasks.
func (r *Reducer) reduceTask(Event) {}

func (r *Reducer) tickTasks() {}
