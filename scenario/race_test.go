package scenario

import (
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// exitConflict is ibisctl's exit code for an edit of a row that another change has updated.
const exitConflict = 3

// cmdRace applies files concurrently, each as a different operator through a different steward: race FILE…
// Exactly one must succeed; each other must exit with a conflict that names the winner.
func (c *cluster) cmdRace(args cmdArgs) error {
	files := args.positionals()
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
			return fmt.Errorf("operators %d and %d both applied their change, want one:\n%s", winner, i+1, strings.Join(outs, "\n"))
		}
		winner = i + 1
	}
	return errors.Join(c.checkLosers(winner, errs, outs)...)
}

// checkLosers returns an error for each failed operator whose output reports no conflict with the winner.
func (c *cluster) checkLosers(winner int, errs []error, outs []string) []error {
	if winner == 0 {
		return []error{fmt.Errorf("no operator applied its change, want one:\n%s", strings.Join(outs, "\n"))}
	}
	var failures []error
	for i, err := range errs {
		var exit *exec.ExitError
		if i+1 == winner {
			continue
		}
		if !errors.As(err, &exit) || exit.ExitCode() != exitConflict || !strings.Contains(outs[i], fmt.Sprintf("operator%d", winner)) {
			failures = append(failures, fmt.Errorf("operator%d got no conflict that names operator%d: %w:\n%s", i+1, winner, err, outs[i]))
		}
	}
	return failures
}
