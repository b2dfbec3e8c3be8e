package berylscheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

// benchmarkOverdue runs a benchmark beside a job with each of several numbers of overdue occurrences, which should make no difference.
func benchmarkOverdue(b *testing.B, run func(b *testing.B, s *Scheduler, now time.Time)) {
	b.Helper()
	for _, n := range []int{10, 1_000, 100_000, 10_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, now := fullPools(b)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			job := overdueJob("ffffffffffffffff", now, n)
			job.Queue, job.Team = "p0", "team"
			for _, f := range s.Apply(now, JobSubmitted{Call: 1, Job: job}) {
				if c, ok := f.(CommitRows); ok {
					s.Apply(now, Committed{Batch: c.Batch, Version: 1 << 40})
				}
			}
			j := s.jobs[job.ID]
			if j == nil || !j.rows.jobStored || j.openTasks() == 0 {
				b.Fatalf("the job is not accepted: %+v", j)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			run(b, s, now)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024, "KB/job")
		})
	}
}

// BenchmarkPassBesideOverdueOccurrences measures one pass over the waiting tasks.
func BenchmarkPassBesideOverdueOccurrences(b *testing.B) {
	benchmarkOverdue(b, func(b *testing.B, s *Scheduler, now time.Time) {
		for b.Loop() {
			s.now = now
			s.place()
			s.effects = s.effects[:0]
		}
	})
}

// BenchmarkTickBesideOverdueOccurrences measures a tick, of which there are ten a second.
func BenchmarkTickBesideOverdueOccurrences(b *testing.B) {
	benchmarkOverdue(b, func(b *testing.B, s *Scheduler, now time.Time) {
		for b.Loop() {
			s.lastPlacement, s.wakePending = now.Add(time.Hour), true
			s.Apply(now, Ticked{})
		}
	})
}

// BenchmarkProgressOfOverdueOccurrences measures the encoding of a job's progress of which all but a few occurrences are done.
func BenchmarkProgressOfOverdueOccurrences(b *testing.B) {
	for _, n := range []int{10, 1_000, 100_000, 10_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			j := newJob(overdueJob("0000000000000001", time.Unix(1_800_000_000, 0), n))
			j.state = beryllatch.JobRunning
			j.recoverDone(0, [][2]int{{0, n - 8}})
			for k := n - 7; k < n; k++ {
				j.recoverStep(progressStep{Occurrence: k, Done: []int{0, 3, 5}}, j.First)
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				size = len(encodeProgress(j))
			}
			b.ReportMetric(float64(size), "B/row")
		})
	}
}
