package berylreducer

import (
	"maps"
	"slices"
	"time"
)

const (
	forecastInterval = time.Second
	forecastOnTime   = "on_time"
	forecastLate     = "late"
)

// checkForecast estimates from the free capacity of each queue's pool whether its waiting tasks will meet their deadlines.
func (r *Reducer) checkForecast() {
	if r.now.Mono < r.tasks.nextForecast {
		return
	}
	r.tasks.nextForecast = r.now.Mono + forecastInterval
	waiting := map[string][]*queuedTask{}
	for k, list := range r.tasks.ready {
		waiting[k.queue] = append(waiting[k.queue], list...)
	}
	for queue := range r.tasks.lateQueues {
		if waiting[queue] == nil {
			waiting[queue] = []*queuedTask{}
		}
	}
	for _, queue := range slices.Sorted(maps.Keys(waiting)) {
		r.forecastQueue(queue, waiting[queue])
	}
}

func (r *Reducer) forecastQueue(queue string, tasks []*queuedTask) {
	run := r.expectedRunTime(queue)
	capacity := r.taskCapacity(r.config.Queues[queue].Pool)
	wait := time.Duration(float64(len(tasks)) * float64(run) / max(capacity, 1))
	r.emit(SetGauge{Name: "task_forecast_seconds." + queue, Value: wait.Seconds()})
	late := r.missesDeadline(tasks, run, capacity)
	if _, forecast := r.tasks.lateQueues[queue]; late != r.tasks.lateQueues[queue] {
		r.emit(LogState{
			Subject: "forecast/" + queue, From: forecastState(!late), To: forecastState(late), Detail: wait.String(),
		})
	} else if forecast && len(tasks) == 0 {
		delete(r.tasks.lateQueues, queue)
		return
	}
	r.tasks.lateQueues[queue] = late
}

func forecastState(late bool) string {
	if late {
		return forecastLate
	}
	return forecastOnTime
}

// missesDeadline reports whether any of the tasks would complete after its deadline if they ran in the order of their
// deadlines.
func (r *Reducer) missesDeadline(tasks []*queuedTask, run time.Duration, capacity float64) bool {
	slices.SortFunc(tasks, byDeadline)
	for n, t := range tasks {
		wait := time.Duration(float64(n) / max(capacity, 1) * float64(run))
		if r.now.Wall.Add(wait + run).After(t.Deadline) {
			return true
		}
	}
	return false
}

// taskCapacity is this node's part of the pool's free slots, in proportion to the shards that it owns.
func (r *Reducer) taskCapacity(pool string) float64 {
	owned := 0
	for n := range r.tasks.shards {
		if r.tasks.shards[n].state == shardOwned {
			owned++
		}
	}
	free, _ := r.freeSlots(pool)
	return float64(free) * float64(owned) / shardCount
}
