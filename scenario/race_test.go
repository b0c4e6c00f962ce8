package scenario

import (
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// exitConflict is ibisctl's exit code where another change has moved a row.
const exitConflict = 3

// cmdRace applies files at the same moment, each by an operator of its own through another
// steward: one must hold, each other must be told of the conflict and of the winner.
func (c *cluster) cmdRace(w words) error {
	files := w.bares()
	errs := make([]error, len(files))
	outs := make([]string, len(files))
	var wg sync.WaitGroup
	for i, f := range files {
		cmd := exec.Command(filepath.Join(binDir, "ibisctl"), "apply", f, "--author", fmt.Sprintf("operator%d", i+1), "--timeout", "30s")
		cmd.Dir = c.env.WorkDir
		cmd.Env = append(cmd.Environ(), "IBISCTL_SERVER="+c.plan.Stewards[i%len(c.plan.Stewards)].StewardAddress, "IBISCTL_TOKEN_FILE="+c.ts.Getenv("IBISCTL_TOKEN_FILE"))
		wg.Go(func() {
			out, err := cmd.CombinedOutput()
			outs[i], errs[i] = string(out), err
		})
	}
	wg.Wait()
	winner := 0
	for i, err := range errs {
		if err != nil {
			continue
		}
		if winner != 0 {
			return fmt.Errorf("operators %d and %d both won:\n%s", winner, i+1, strings.Join(outs, "\n"))
		}
		winner = i + 1
	}
	return errors.Join(c.losers(winner, errs, outs)...)
}

// losers checks what the others were told.
func (c *cluster) losers(winner int, errs []error, outs []string) []error {
	if winner == 0 {
		return []error{fmt.Errorf("nobody won:\n%s", strings.Join(outs, "\n"))}
	}
	var bad []error
	for i, err := range errs {
		var exit *exec.ExitError
		if i+1 == winner {
			continue
		}
		if !errors.As(err, &exit) || exit.ExitCode() != exitConflict || !strings.Contains(outs[i], fmt.Sprintf("operator%d", winner)) {
			bad = append(bad, fmt.Errorf("operator%d was not told of operator%d: %w:\n%s", i+1, winner, err, outs[i]))
		}
	}
	return bad
}
