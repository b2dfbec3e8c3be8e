package rig

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// cases holds the cases by their number. Each returns an error if it could not run.
var cases = map[string]func(w *World, trouble bool) error{
	"1": cutWorker, "2": longSchedule, "3": restartedWorker, "4": idleWorker, "5": takeover,
}

// TestMain runs the case that the variable CASE names, in the repository's root. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run. Without CASE it runs nothing.
func TestMain(_ *testing.M) {
	number, ok := os.LookupEnv("CASE")
	if !ok {
		return
	}
	run := cases[number]
	if run == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", number)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := NewWorld("review/"+number+"/record.txt", 3)
	if err == nil {
		w.Record.Add("trouble: %v", trouble)
	}
	status := 2
	if w != nil && err == nil {
		stop := endEarly(w)
		err = run(w, trouble)
		stop()
	}
	if w != nil {
		if err != nil {
			w.Record.Add("the case could not run: %v", err)
		}
		status = w.Close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	os.Exit(status)
}

// maxTime is below the 120 s that a script may run.
const maxTime = 115 * time.Second

// endEarly ends the case and all of its processes at a signal or after maxTime, until the returned function is called. The processes
// also end if this one is killed: the kernel kills them then.
func endEarly(w *World) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		reason := ""
		select {
		case <-done:
			return
		case s := <-signals:
			reason = "it got the signal " + s.String()
		case <-time.After(maxTime):
			reason = "it has taken too long"
		}
		w.Record.Add("the case could not run: %s", reason)
		w.Close()
		os.Exit(2)
	}()
	return func() { close(done) }
}
