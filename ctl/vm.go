package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/ibistrail/ibistrail/entry"
)

// EnvVM is the environment variable that gives the default of --vm.
const EnvVM = "IBISCTL_VM"

// vmTimeout is the time limit for the answer of a VM.
const vmTimeout = 3 * time.Second

// vmState is the answer of one VM: its state, or the error.
type vmState struct {
	Address string       `json:"address"`
	State   *entry.State `json:"state,omitempty"`
	Error   string       `json:"error,omitempty"`
}

// vmCommand returns the commands for a deployment of ibisentry, which has no stewards: each VM serves
// its own state at its metrics address.
func (a *app) vmCommand() *cobra.Command {
	var vms []string
	cmd := &cobra.Command{
		Use:   "vm",
		Short: "Show the state of the entry VMs of a deployment on the platform",
		Long: `Read the state of entry VMs (ibisentry) from their metrics addresses. The tables come from
the platform's own configuration; these commands show what each VM has derived from it.`,
	}
	cmd.PersistentFlags().StringSliceVar(&vms, "vm", envList(EnvVM), "metrics addresses of VMs, IP:PORT ($"+EnvVM+")")
	cmd.AddCommand(
		&cobra.Command{
			Use: "list", Short: "Print each VM with its tables version and the partitions that it holds", Args: cobra.NoArgs,
			Example: `  ibisctl vm list --vm 10.0.1.7:9464,10.0.2.7:9464`,
			RunE:    func(cmd *cobra.Command, _ []string) error { return a.listVMs(cmd.Context(), vms) },
		},
		a.vmGetCommand(&vms), a.vmWatchCommand(&vms),
	)
	return cmd
}

// fetchStates queries the VMs concurrently. It fails if none answers.
func (a *app) fetchStates(ctx context.Context, vms []string) ([]vmState, error) {
	if len(vms) == 0 {
		return nil, usageErrorf("specify metrics addresses with --vm IP:PORT or $"+EnvVM, "no VM is given")
	}
	ctx, cancel := context.WithTimeout(ctx, min(a.timeout, vmTimeout))
	defer cancel()
	out := make([]vmState, len(vms))
	var wg sync.WaitGroup
	for i, address := range vms {
		wg.Go(func() {
			out[i].Address = address
			s := &entry.State{}
			if err := fetchState(ctx, address, s); err != nil {
				out[i].Error = err.Error()
				return
			}
			out[i].State = s
		})
	}
	wg.Wait()
	if !slices.ContainsFunc(out, func(s vmState) bool { return s.State != nil }) {
		return nil, &Error{Exit: ExitUnavailable, Message: "no VM answered: " + out[0].Error, Remedy: "check that --vm names metrics addresses of running processes"}
	}
	return out, nil
}

func fetchState(ctx context.Context, address string, state *entry.State) error {
	raw, err := fetch(ctx, "http://"+address+"/debug/state")
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, state); err != nil {
		return fmt.Errorf("%s: the state does not decode: %w", address, err)
	}
	return nil
}

// get returns the response of a debug server, whose body it has read. what names the expected document in errors.
func get(ctx context.Context, url, what string) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, nil, usageErrorf("write IP:PORT of a debug or metrics address", "%v", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, &Error{Exit: ExitUnavailable, Message: "no " + what, Err: err, Remedy: "check that the address is the debug or metrics address of a running process"}
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxDumpBytes))
	if err != nil {
		return nil, nil, &Error{Exit: ExitUnavailable, Message: what + " ended early", Err: err, Remedy: "try again"}
	}
	return res, raw, nil
}

// fetch returns the JSON document at a URL of a debug server.
func fetch(ctx context.Context, url string) ([]byte, error) {
	res, raw, err := get(ctx, url, "dump")
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK || !json.Valid(raw) {
		return nil, &Error{Exit: ExitFailure, Message: fmt.Sprintf("%s answered %s", url, res.Status), Remedy: "check that the address is the debug or metrics address of a process of ibistrail"}
	}
	return raw, nil
}

// warnUnreachable lists the VMs that did not answer on standard error.
func (a *app) warnUnreachable(states []vmState) {
	for _, s := range states {
		if s.State == nil {
			fmt.Fprintf(a.errOut, "VM at %s did not answer: %s\n", s.Address, s.Error)
		}
	}
}

func (a *app) listVMs(ctx context.Context, vms []string) error {
	states, err := a.fetchStates(ctx, vms)
	if err != nil {
		return err
	}
	if a.format == formatJSON {
		return a.printJSON(states)
	}
	var rows [][]string
	for _, x := range states {
		s := x.State
		if s == nil {
			continue
		}
		var held []string
		for _, n := range slices.Sorted(maps.Keys(s.Tenures)) {
			if s.Tenures[n].Held {
				held = append(held, strconv.Itoa(n))
			}
		}
		jobs := s.Batches.Runner.Jobs
		rows = append(rows, []string{s.VM, s.AvailabilityZone, vmCondition(s), fmt.Sprint(s.TablesVersion), strconv.Itoa(len(s.Targets)),
			orDash(strings.Join(held, ",")), fmt.Sprintf("%d/%d", jobs["running"]+jobs["scoring"], jobs["waiting"])})
	}
	a.printTable([]string{"VM", "AZ", "CONDITION", "TABLES", "TARGETS", "HOLDS", "ITEMS_RUNNING/WAITING"}, rows)
	a.warnUnreachable(states)
	return nil
}

// targetPath returns the path by which a VM sends calls to a target.
func targetPath(s *entry.State, target string) string {
	switch {
	case !s.TargetPaths.Stranded && !slices.Contains(s.TargetPaths.Lost, target):
		return "direct"
	case len(s.TargetPaths.Through) == 0:
		return "through other VMs"
	}
	return "through " + strings.Join(s.TargetPaths.Through, ",")
}

func vmCondition(s *entry.State) string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready && s.TargetPaths.Stranded:
		return "ready, reaches no target itself"
	case s.Ready:
		return "ready"
	}
	return "not ready"
}

// vmTables maps the argument of `vm get` to the table that shows this part of a VM's state.
var vmTables = map[string]struct {
	header []string
	rows   func(*entry.State) [][]string
}{
	"quarantine":    {[]string{"CONTENT", "STATUS", "DEATHS", "UNTIL"}, quarantineRows},
	"organisations": {[]string{"ORGANISATION", "KEYS", "PRIORITY"}, organisationRows},
	"routes":        {[]string{"ROUTE", "HOST", "PREFIX", "POOL", "PRIORITY", "TIMEOUT_MS", "ATTEMPTS", "KIND"}, routeRows},
	"pools":         {[]string{"POOL", "KIND", "TARGETS", "DRAINING", "SLOTS", "MODELS"}, poolRows},
	"targets":       {[]string{"TARGET", "POOL", "ADDRESS", "AZ", "DRAINING", "LIMIT_PER_S", "RUNNING", "EJECTED", "PATH", "SOFTWARE", "VERSIONS"}, targetRows},
	"versions":      {[]string{"MODEL", "NAMED", "TARGETS_BY_VERSION"}, versionRows},
	"batches":       {[]string{"PARTITION", "HELD", "BATCH", "STEP", "ITEMS", "LISTED", "ENDED"}, batchRows},
	"tenures":       {[]string{"PARTITION", "HELD", "HOLDER", "TOKEN", "OFFSET"}, tenureRows},
	"scaling":       {[]string{"POOL", "AZ", "KIND", "OBSERVED", "WANTED", "ORDERED", "OUTCOME", "REASON"}, scalingRows},
	"usage":         {[]string{"WINDOW", "START", "STATUS", "REQUESTS", "REASON"}, usageRows},
}

func (a *app) vmGetCommand(vms *[]string) *cobra.Command {
	kinds := slices.Sorted(maps.Keys(vmTables))
	return &cobra.Command{
		Use:   "get {" + strings.Join(kinds, "|") + "}",
		Short: "Print a part of the state of the first VM that answers",
		Long: `Print a part of the state of the first listed VM that answers. With -o json the whole state is printed.
The part "scaling" is that of the first VM that orders targets.`,
		Example:   "  ibisctl vm get targets --vm 10.0.1.7:9464",
		Args:      cobra.ExactArgs(1),
		ValidArgs: kinds,
		RunE: func(cmd *cobra.Command, args []string) error {
			t, ok := vmTables[args[0]]
			if !ok {
				return usageErrorf("specify one of "+strings.Join(kinds, ", "), "unknown part %q of the state", args[0])
			}
			states, err := a.fetchStates(cmd.Context(), *vms)
			if err != nil {
				return err
			}
			s := states[slices.IndexFunc(states, func(s vmState) bool { return s.State != nil })].State
			if args[0] == "scaling" {
				if i := slices.IndexFunc(states, func(s vmState) bool { return s.State != nil && len(s.State.Scaling) > 0 }); i >= 0 {
					s = states[i].State
				}
			}
			if a.format == formatJSON {
				return a.printJSON(s)
			}
			fmt.Fprintf(a.out, "VM %s, tables version %d\n", s.VM, s.TablesVersion)
			a.printTable(t.header, t.rows(s))
			return nil
		},
	}
}

func quarantineRows(s *entry.State) [][]string {
	var rows [][]string
	for _, q := range s.Quarantine.Quarantined {
		rows = append(rows, []string{q.Fingerprint, "quarantined", strconv.Itoa(q.Deaths), q.Until.UTC().Format(time.RFC3339)})
	}
	for _, fp := range s.Quarantine.Suspects {
		rows = append(rows, []string{fp, "suspect", "-", "-"})
	}
	return rows
}

func routeRows(s *entry.State) [][]string {
	var rows [][]string
	if s.Tables == nil {
		return nil
	}
	for i := range s.Tables.Routes {
		r := &s.Tables.Routes[i]
		kind := "single"
		switch {
		case r.Batch:
			kind = "batch"
		case r.Streaming:
			kind = "stream"
		}
		if r.NonIdempotent {
			kind += ", once"
		}
		if r.Public {
			kind += ", public"
		}
		rows = append(rows, []string{r.Name, r.Host, r.PathPrefix, r.Pool, strconv.Itoa(int(r.Priority)), fmt.Sprint(r.TimeoutMs), strconv.Itoa(r.MaxAttempts), kind})
	}
	return rows
}

func organisationRows(s *entry.State) [][]string {
	var rows [][]string
	if s.Tables == nil {
		return nil
	}
	for _, o := range s.Tables.Organisations {
		priority := ""
		if o.Priority != nil {
			priority = strconv.Itoa(int(*o.Priority))
		}
		rows = append(rows, []string{o.Name, strconv.Itoa(len(o.Keys)), orDash(priority)})
	}
	return rows
}

func poolRows(s *entry.State) [][]string {
	var rows [][]string
	if s.Tables == nil {
		return nil
	}
	for i := range s.Tables.Pools {
		p := &s.Tables.Pools[i]
		targets, draining := 0, 0
		for _, t := range s.Targets {
			if t.Pool == p.Name {
				targets++
				if t.Draining {
					draining++
				}
			}
		}
		slots, models := "-", "-"
		if p.Engine != nil {
			slots, models = strconv.Itoa(p.Engine.Slots), strings.Join(p.Engine.Models, ",")
		}
		rows = append(rows, []string{p.Name, string(p.Kind), strconv.Itoa(targets), strconv.Itoa(draining), slots, models})
	}
	return rows
}

func targetRows(s *entry.State) [][]string {
	inFlight, ejected := map[string]int{}, map[string]bool{}
	for _, pool := range s.Requests {
		for _, t := range pool {
			inFlight[t.Name] += t.InFlight
			ejected[t.Name] = t.Ejected
		}
	}
	var rows [][]string
	for _, t := range s.Targets {
		n := inFlight[t.Name] + s.Batches.Runner.Engines[t.Name].Running
		draining := t.Draining || slices.Contains(s.DrainingTargets, t.Name)
		limit := ""
		if perSecond, ok := s.RateLimits[t.Name]; ok {
			limit = strconv.FormatFloat(perSecond, 'g', -1, 64)
		}
		rows = append(rows, []string{t.Name, t.Pool, t.Address, t.AvailabilityZone, strconv.FormatBool(draining), orDash(limit), strconv.Itoa(n),
			strconv.FormatBool(ejected[t.Name]), targetPath(s, t.Name), orDash(t.SoftwareVersion), orDash(modelVersions(t.Versions))})
	}
	return rows
}

func versionRows(s *entry.State) [][]string {
	var rows [][]string
	for _, model := range slices.Sorted(maps.Keys(s.NamedVersions)) {
		targetsByVersion := map[int64]int{}
		for _, t := range s.Targets {
			if v, ok := t.Versions[model]; ok {
				targetsByVersion[v]++
			}
		}
		var counts []string
		for _, v := range slices.Backward(slices.Sorted(maps.Keys(targetsByVersion))) {
			counts = append(counts, fmt.Sprintf("%d:%d", v, targetsByVersion[v]))
		}
		rows = append(rows, []string{model, fmt.Sprint(s.NamedVersions[model]), orDash(strings.Join(counts, " "))})
	}
	return rows
}

func batchRows(s *entry.State) [][]string {
	var rows [][]string
	for _, n := range slices.Sorted(maps.Keys(s.Batches.Partitions)) {
		p := s.Batches.Partitions[n]
		for _, b := range p.Batches {
			rows = append(rows, []string{strconv.Itoa(n), strconv.FormatBool(p.Owned), b.ID, fmt.Sprint(b.Step), strconv.Itoa(b.Total), strconv.Itoa(b.Listed), strconv.FormatBool(b.Ended)})
		}
	}
	return rows
}

func scalingRows(s *entry.State) [][]string {
	var rows [][]string
	for _, pool := range slices.Sorted(maps.Keys(s.Scaling)) {
		p := s.Scaling[pool]
		for _, c := range p.Subjects {
			kind, ordered, reason := "ordinary", "-", c.Reason
			if c.Spot {
				kind = "spot"
			}
			if c.Ordered != nil {
				ordered = strconv.Itoa(*c.Ordered)
			}
			if p.Held || reason == "" {
				reason = p.Reason
			}
			rows = append(rows, []string{pool, c.Zone, kind, strconv.Itoa(c.Observed), strconv.Itoa(c.Wanted), ordered, orDash(string(c.LastOutcome)), reason})
		}
	}
	return rows
}

func tenureRows(s *entry.State) [][]string {
	var rows [][]string
	for _, n := range slices.Sorted(maps.Keys(s.Tenures)) {
		t := s.Tenures[n]
		rows = append(rows, []string{strconv.Itoa(n), strconv.FormatBool(t.Held), orDash(t.Holder), fmt.Sprint(t.Token), fmt.Sprint(t.Offset)})
	}
	return rows
}

// usageRows returns the windows that the VM knows of, after a row that names the holder of the duty.
func usageRows(s *entry.State) [][]string {
	u := s.Usage
	if u == nil {
		return nil
	}
	status := "holder is " + orDash(u.Holder)
	if u.Held {
		status = "held, token " + strconv.FormatInt(u.Token, 10)
	}
	rows := [][]string{{"-", "-", status, fmt.Sprintf("%d pending", u.Pending), "-"}}
	for _, w := range u.Windows {
		var counts []string
		for _, organisation := range slices.Sorted(maps.Keys(w.Counts)) {
			counts = append(counts, fmt.Sprintf("%s:%d", organisation, w.Counts[organisation]))
		}
		rows = append(rows, []string{strconv.FormatInt(w.Window, 10), w.Start.UTC().Format(time.RFC3339), string(w.Status), orDash(strings.Join(counts, " ")), orDash(w.Reason)})
	}
	return rows
}

func (a *app) vmWatchCommand(vms *[]string) *cobra.Command {
	var version int64
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "Wait until each VM has a version of the tables in force",
		Long: `Wait until each VM has the given version of the tables, or a newer one, in force. The default is the
newest version that any VM has. After --timeout the VMs that lack it are listed (exit code 5).`,
		Example: `  ibisctl vm watch --version 17 --timeout 30s`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), a.timeout)
			defer cancel()
			return a.waitForVMs(ctx, *vms, version)
		},
	}
	cmd.Flags().Int64Var(&version, "version", 0, "version to wait for (default: the newest that a VM has)")
	return cmd
}

func (a *app) waitForVMs(ctx context.Context, vms []string, version int64) error {
	for {
		states, err := a.fetchStates(ctx, vms)
		if err != nil && ctx.Err() == nil {
			return err
		}
		if version == 0 {
			for _, s := range states {
				if s.State != nil {
					version = max(version, s.State.TablesVersion)
				}
			}
		}
		var pending []string
		for _, s := range states {
			if s.State == nil || s.State.TablesVersion < version {
				pending = append(pending, s.Address)
			}
		}
		if err == nil && len(pending) == 0 && version > 0 {
			fmt.Fprintf(a.out, "tables version %d is in force on %d VMs\n", version, len(states))
			return nil
		}
		if !pause(ctx, pollInterval) {
			return &Error{Exit: ExitTimeout, Message: fmt.Sprintf("tables version %d is not in force on %s", version, strings.Join(pending, ", ")),
				Remedy: "look for the events tables_in_force and store_lost in the logs of these VMs"}
		}
	}
}
