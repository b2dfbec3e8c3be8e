package berylreducer

import "github.com/beryllatch/beryllatch"

// workerState is what the node knows about one worker.
type workerState struct {
	running   int
	leaving   bool
	listed    bool
	unhealthy bool
	bootID    string
}

func (r *Reducer) adoptWorkers() {
	for _, id := range beryllatch.SortedKeys(r.workers) {
		if _, ok := r.config.Instances[id]; !ok && r.workers[id].running == 0 {
			delete(r.workers, id)
		}
	}
	for id := range r.config.Instances {
		if r.workers[id] == nil {
			r.workers[id] = &workerState{}
		}
	}
}

func (r *Reducer) instancesListed(e InstancesListed) {
	for id, i := range r.config.Instances {
		w := r.workers[id]
		status, ok := e.Instances[i.Address]
		w.listed, w.leaving = ok, status.Leaving
	}
}

func (r *Reducer) workerReported(e WorkerReported) {
	if w := r.workers[e.Instance]; w != nil {
		w.unhealthy, w.bootID = !e.Healthy, e.BootID
	}
}

// eligible reports whether new work may go to the instance.
func (r *Reducer) eligible(i beryllatch.Instance) bool {
	w := r.workers[i.ID]
	return i.State == beryllatch.InstanceActive && i.MoveTo == "" &&
		!r.config.DataCentres[i.DataCentre].Out &&
		!w.leaving && !w.unhealthy && w.running < i.Slots
}

// chooseWorker picks the less loaded of two random eligible workers of the pool, outside the tried set.
func (r *Reducer) chooseWorker(pool string, tried []string) (beryllatch.Instance, bool) {
	var candidates []beryllatch.Instance
	for _, id := range beryllatch.SortedKeys(r.config.Instances) {
		i := r.config.Instances[id]
		if i.Pool == pool && r.eligible(i) && !contains(tried, id) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return beryllatch.Instance{}, false
	}
	a := candidates[r.rand.IntN(len(candidates))]
	b := candidates[r.rand.IntN(len(candidates))]
	if r.load(b) < r.load(a) {
		a = b
	}
	return a, true
}

func (r *Reducer) load(i beryllatch.Instance) float64 {
	return float64(r.workers[i.ID].running) / float64(i.Slots)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
