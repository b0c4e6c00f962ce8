package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"time"

	"github.com/ibistrail/ibistrail/fake/deployment"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/spf13/cobra"
)

// requestTimeout bounds a request to an admin server.
const requestTimeout = 10 * time.Second

// adminURL returns the base URL of the admin endpoints of a stand-in of the plan in dir.
func adminURL(dir, name string) (string, error) {
	e, err := deployment.Load[deployment.Endpoints](filepath.Join(dir, deployment.FileEndpoints))
	if err != nil {
		return "", err
	}
	switch name {
	case "log", "store", "vms":
		return e.PlatformAdmin + "/" + name, nil
	}
	for base, targets := range map[string][]deployment.Target{e.EnginesAdmin: e.Engines, e.ServicesAdmin: e.Services} {
		for _, t := range targets {
			if t.Name == name {
				return base + "/" + name, nil
			}
		}
	}
	return "", fmt.Errorf("no stand-in %q in %s; use log, store, vms or a target's name", name, dir)
}

// request sends one request and returns the body of the answer; a status of 400 or above is an error.
func request(ctx context.Context, method, url, body string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w; start the stand-ins first", err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(raw))
	}
	return raw, err
}

func faultCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use: "fault NAME JSON", Short: "Set the fault switches of a stand-in; {} clears all faults", Args: cobra.ExactArgs(2),
		Long: "fault replaces all fault switches of a stand-in and prints them. NAME is log, store, vms or a target's name.",
		Example: `  ibisfake fault log '{"outage":true}' --dir run
  ibisfake fault drafting-models-1 '{"swap_fails":1}' --dir run
  ibisfake fault log '{}' --dir run`,
		RunE: func(cmd *cobra.Command, args []string) error {
			return sendAdminRequest(cmd, dir, args[0], http.MethodPost, "/faults", args[1])
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "run", "directory of the plan")
	return cmd
}

func journalCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use: "journal NAME", Short: "Print the journal of a stand-in", Args: cobra.ExactArgs(1),
		Example: "  ibisfake journal errata-desk-1 --dir run",
		RunE: func(cmd *cobra.Command, args []string) error {
			return sendAdminRequest(cmd, dir, args[0], http.MethodGet, "/journal", "")
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "run", "directory of the plan")
	return cmd
}

func sendAdminRequest(cmd *cobra.Command, dir, name, method, path, body string) error {
	base, err := adminURL(dir, name)
	if err != nil {
		return err
	}
	raw, err := request(cmd.Context(), method, base+path, body)
	if err != nil {
		return err
	}
	_, err = cmd.OutOrStdout().Write(raw)
	return err
}

func publishCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use: "publish MODEL VERSION", Short: "Publish a weight version to the weight store, as a trainer does", Args: cobra.ExactArgs(2),
		Example: "  ibisfake publish drafting 2 --dir run",
		RunE: func(cmd *cobra.Command, args []string) error {
			version, err := strconv.ParseInt(args[1], 10, 64)
			if err != nil {
				return fmt.Errorf("version %q is not a whole number; use one above the latest", args[1])
			}
			e, err := deployment.Load[deployment.Endpoints](filepath.Join(dir, deployment.FileEndpoints))
			if err != nil {
				return err
			}
			return trial.NewStoreClient(e.Store, nil).Publish(cmd.Context(), args[0], version)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "run", "directory of the plan")
	return cmd
}
