package standin2

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// limit is the longest time of a run.
const limit = 115 * time.Second

var cases = map[string]func(trouble bool) (broken bool){
	"two-crashing-requests": twoCrashingRequests,
	"late-report":           lateReport,
	"moved-batch":           movedBatch,
	"rolled-back-route":     rolledBackRoute,
	"darkening-request":     darkeningRequest,
	"held-call":             heldCall,
}

// TestMain plays the case of the first argument. The stand-ins are a test binary, as tests may use the platform's names.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	if _, err := os.Stat("target/ibisentry"); err != nil {
		fmt.Fprintln(os.Stderr, "build target/ibisentry first:", err)
		os.Exit(exitNotRun)
	}
	var err error
	workDir, err = os.MkdirTemp("", "review")
	check(err)
	openRecord(os.Args[2])
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ended:
		case <-time.After(limit):
		}
		note("the run was ended")
		closeRecord()
		endProcesses()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, trouble %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](trouble)
	note("rule broken: %v", broken)
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		os.CopyFS(dir, os.DirFS(workDir))
	}
	closeRecord()
	endProcesses()
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
