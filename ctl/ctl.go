// Package ctl holds the commands of ibisctl, the operator's command line. It speaks to stewards
// and gates with the messages of package wire.
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

// Environment variables that stand for flags.
const (
	EnvServer    = "IBISCTL_SERVER"
	EnvTokenFile = "IBISCTL_TOKEN_FILE"
)

// DefaultTimeout bounds a command that speaks to stewards.
const DefaultTimeout = 15 * time.Second

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// app is one run of ibisctl.
type app struct {
	out, err  io.Writer
	servers   []string
	tokenFile string
	output    string
	timeout   time.Duration
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
	a := &app{out: stdout, err: stderr}
	root := &cobra.Command{
		Use:   "ibisctl",
		Short: "Check, apply and watch the tables of an ibistrail deployment",
		Long: `ibisctl checks, applies and watches the two tables of an ibistrail deployment, routes and
pools, and shows what its nodes do.

Exit codes: 0 ok, 1 failure, 2 usage or invalid file, 3 conflict with another change,
4 no steward or log available, 5 timeout.`,
		Example: `  ibisctl check tables.json
  ibisctl apply tables.json --wait --server 10.0.1.7:7100 --token-file operator.token
  ibisctl watch --timeout 30s`,
		Version:       process.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.output != outputText && a.output != outputJSON {
				return usageErrorf("use --output text or --output json", "output format %q is unknown", a.output)
			}
			return nil
		},
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	f := root.PersistentFlags()
	f.StringSliceVar(&a.servers, "server", envList(EnvServer), "steward addresses, IP:PORT, tried in order ($"+EnvServer+")")
	f.StringVar(&a.tokenFile, "token-file", os.Getenv(EnvTokenFile), "file with the operators' token ($"+EnvTokenFile+")")
	f.StringVarP(&a.output, "output", "o", outputText, "output format: text or json")
	f.DurationVar(&a.timeout, "timeout", DefaultTimeout, "bound of the whole command, such as 30s")
	root.AddCommand(a.checkCommand(), a.applyCommand(), a.getCommand(), a.diffCommand(), a.historyCommand(),
		a.watchCommand(), a.nodesCommand(), a.drainCommand(), a.dumpCommand(), a.explainCommand(), a.vmCommand(), a.versionCommand())
	return root
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the release",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if a.output == outputJSON {
				return a.printJSON(struct {
					Version string `json:"version"`
				}{process.Version})
			}
			fmt.Fprintln(a.out, "ibisctl", process.Version)
			return nil
		},
	}
}
