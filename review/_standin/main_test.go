package standin

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// caseLimit ends a case that hangs.
const caseLimit = 115 * time.Second

// TestMain plays the case of the first argument. The stand-ins are a test binary, as tests may use the platform's names.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the root of the repository")
		os.Exit(exitNoRun)
	}
	time.AfterFunc(caseLimit, func() { check(fmt.Errorf("the case took over %s", caseLimit)) })
	c := newCluster(os.Args[2])
	cases[os.Args[1]](c)
	c.finish()
}

// cases are the plays by name.
var cases = map[string]func(*cluster){}
