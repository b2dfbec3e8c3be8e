package berylreducer

// reduceOperate applies operators' changes and maintenance steps.
func (r *Reducer) reduceOperate(Event) {}

func (r *Reducer) tickOperate() {}
