package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"
)

// maxDumpBytes bounds a dump.
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
	cmd.Flags().BoolVar(&vars, "vars", false, "print the metrics in place of the state")
	return cmd
}

func (a *app) dump(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return usageErrorf("write IP:PORT of a debug_address", "%v", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return &Error{Exit: ExitUnavailable, Message: "no dump", Err: err, Remedy: "check that ADDRESS is the debug_address of a running process"}
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxDumpBytes))
	if err != nil {
		return &Error{Exit: ExitUnavailable, Message: "dump ended early", Err: err, Remedy: "try again"}
	}
	if res.StatusCode != http.StatusOK || !json.Valid(raw) {
		return &Error{Exit: ExitFailure, Message: fmt.Sprintf("%s answered %s", url, res.Status), Remedy: "check that ADDRESS is the debug_address of a process of ibistrail"}
	}
	return a.printJSON(json.RawMessage(raw))
}
