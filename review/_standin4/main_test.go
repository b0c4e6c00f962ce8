package standin4

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// longest is how long a case may take.
const longest = 115 * time.Second

// cases are the scripted cases by name. Each reports what broke its rule; an empty string means that the rule held.
var cases = map[string]func(w *world, trouble bool) (broken string, err error){
	"dropped-service": droppedService,
	"item-bodies":     itemBodies,
	"late-order":      lateOrder,
	"nested-route":    nestedRoute,
	"scorer-route":    scorerRoute,
}

// TestMain plays the case of the first argument. The stand-ins are a test binary, as tests may use the platform's names.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin4 CASE RECORD, in the repository's root")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the status to exit with.
func play(name, recordPath string) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longest):
		}
		w.note("not played to its end")
		w.close()
		os.Exit(2)
	}()
	broken, err := cases[name](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.note("not played: %v", err)
		fmt.Println("not played:", err)
		return 2
	case broken != "":
		w.note("broken: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	w.note("held")
	fmt.Println("held")
	return 0
}
