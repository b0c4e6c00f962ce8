package ctl

import (
	"context"
	"encoding/json"

	"github.com/spf13/cobra"
)

// maxDumpBytes is the most that is read of a debug server's answer.
const maxDumpBytes = 64 << 20

func (a *app) dumpCommand() *cobra.Command {
	var vars bool
	cmd := &cobra.Command{
		Use:   "dump ADDRESS",
		Short: "Print the state of the process whose debug server is at ADDRESS",
		Example: `  ibisctl dump 10.0.1.7:7102
  ibisctl dump 10.0.1.7:7102 --vars`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := "/debug/state"
			if vars {
				path = "/debug/vars"
			}
			return a.dump(cmd.Context(), "http://"+args[0]+path)
		},
	}
	cmd.Flags().BoolVar(&vars, "vars", false, "print the metrics instead of the state")
	return cmd
}

func (a *app) dump(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	raw, err := fetch(ctx, url)
	if err != nil {
		return err
	}
	return a.printJSON(json.RawMessage(raw))
}
