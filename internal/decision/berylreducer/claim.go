package berylreducer

// reduceClaim applies the events of idempotency claims.
func (r *Reducer) reduceClaim(Event) {}
