// Package ctl implements ibisctl, the operators' command line. Its commands call stewards and gates
// with the messages of package wire, and read the debug servers of other processes over HTTP.
package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/ibistrail/ibistrail/process"
	"github.com/spf13/cobra"
)

// Environment variables that give the defaults of the flags --server and --token-file.
const (
	EnvServer    = "IBISCTL_SERVER"
	EnvTokenFile = "IBISCTL_TOKEN_FILE"
)

// DefaultTimeout is the default of --timeout, the time limit for a whole command.
const DefaultTimeout = 15 * time.Second

// Values of --output.
const (
	formatText = "text"
	formatJSON = "json"
)

// app holds the output streams and the global flags of one run of ibisctl.
type app struct {
	out, errOut io.Writer
	servers     []string
	tokenFile   string
	format      string
	timeout     time.Duration
}

// Main runs ibisctl with args and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	cmd := NewCommand(stdout, stderr)
	cmd.SetArgs(args)
	err := cmd.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(stderr, "ibisctl:", err)
	}
	return exitCode(err)
}

// NewCommand returns the command tree of ibisctl.
func NewCommand(stdout, stderr io.Writer) *cobra.Command {
	a := &app{out: stdout, errOut: stderr}
	root := &cobra.Command{
		Use:   "ibisctl",
		Short: "Check, apply and watch the tables of an ibistrail deployment",
		Long: `ibisctl checks, applies and watches the two tables of an ibistrail deployment, routes and
pools, and shows the state of its nodes.

Exit codes: 0 ok, 1 failure, 2 usage or invalid file, 3 conflict with another change,
4 no steward or log available, 5 timeout.`,
		Example: `  ibisctl check tables.json
  ibisctl apply tables.json --wait --server 10.0.1.7:7100 --token-file operator.token
  ibisctl watch --timeout 30s`,
		Version:       process.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.format != formatText && a.format != formatJSON {
				return usageErrorf("use --output text or --output json", "output format %q is unknown", a.format)
			}
			return nil
		},
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	f := root.PersistentFlags()
	f.StringSliceVar(&a.servers, "server", envList(EnvServer), "steward addresses, IP:PORT, tried in order ($"+EnvServer+")")
	f.StringVar(&a.tokenFile, "token-file", os.Getenv(EnvTokenFile), "file with the operator token ($"+EnvTokenFile+")")
	f.StringVarP(&a.format, "output", "o", formatText, "output format: text or json")
	f.DurationVar(&a.timeout, "timeout", DefaultTimeout, "time limit for the whole command, such as 30s")
	root.AddCommand(a.checkCommand(), a.applyCommand(), a.getCommand(), a.diffCommand(), a.historyCommand(),
		a.watchCommand(), a.nodesCommand(), a.drainCommand(), a.dumpCommand(), a.explainCommand(), a.vmCommand(), a.whereCommand(), a.versionCommand())
	return root
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if a.format == formatJSON {
				return a.printJSON(struct {
					Version string `json:"version"`
				}{process.Version})
			}
			fmt.Fprintln(a.out, "ibisctl", process.Version)
			return nil
		},
	}
}
