package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/ibistrail/ibistrail/entry"
)

// whereFlags are the flags of ibisctl where.
type whereFlags struct {
	vms                []string
	on, model, prompt  string
	minVersion, tokens int64
	json               bool
}

func (a *app) whereCommand() *cobra.Command {
	var f whereFlags
	cmd := &cobra.Command{
		Use:   "where HOST PATH",
		Short: "Explain where a request or an item of a batch would go now, and why",
		Long: `Ask one VM where it would send a request with this host and path, or an item of a batch if the route takes
batches, without sending it. The command prints the candidates with the inputs of the choice, the decision, and the
refusal with its Retry-After if there is one. The VM that holds the pool runs its items; others know little of their load.

The choice uses random numbers where the request path does. Whether the request is in quarantine and whether a target
with a rate limit has a permit left is not asked.`,
		Example: `  ibisctl where desk.example /desk/a --vm 10.0.1.7:9464
  ibisctl where desk.example /notes/a --model drafts --prompt 0af1:600,77:41 --vm 10.0.1.7:9464,10.0.2.7:9464 --on vm-2`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error { return a.where(cmd.Context(), &f, args[0], args[1]) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.vms, "vm", envList(EnvVM), "metrics addresses of VMs, IP:PORT ($"+EnvVM+")")
	flags.StringVar(&f.on, "on", "", "name of the VM to ask (default: the first that answers)")
	flags.StringVar(&f.model, "model", "", "model of the item")
	flags.Int64Var(&f.minVersion, "min-version", 0, "oldest weight version that the item accepts")
	flags.StringVar(&f.prompt, "prompt", "", "parts of the item's prompt in order, ID:TOKENS,...")
	flags.Int64Var(&f.tokens, "tokens", 0, "expected output of the item in tokens")
	flags.BoolVar(&f.json, "json", false, "print JSON, as with --output json")
	return cmd
}

func (a *app) where(ctx context.Context, f *whereFlags, host, path string) error {
	states, err := a.fetchStates(ctx, f.vms)
	if err != nil {
		return err
	}
	var names []string
	address := ""
	for _, s := range states {
		if s.State != nil {
			names = append(names, s.State.VM)
			if address == "" && (f.on == "" || f.on == s.State.VM) {
				address = s.Address
			}
		}
	}
	if address == "" {
		return usageErrorf("specify one of "+strings.Join(names, ", ")+" with --on, or further addresses with --vm", "no VM that answers has the name %q", f.on)
	}
	q := url.Values{entry.WhereHost: {host}, entry.WhereURLPath: {path}, entry.WhereModel: {f.model}, entry.WherePrompt: {f.prompt},
		entry.WhereMinVersion: {strconv.FormatInt(f.minVersion, 10)}, entry.WhereTokens: {strconv.FormatInt(f.tokens, 10)}}
	w, err := a.fetchWhere(ctx, "http://"+address+entry.WherePath+"?"+q.Encode())
	if err != nil {
		return err
	}
	if f.json || a.format == formatJSON {
		return a.printJSON(w)
	}
	a.printWhere(w)
	return nil
}

// fetchWhere queries a VM. It returns the VM's own error with what exists if the query names something unknown.
func (a *app) fetchWhere(ctx context.Context, address string) (*entry.Where, error) {
	ctx, cancel := context.WithTimeout(ctx, min(a.timeout, vmTimeout))
	defer cancel()
	res, raw, err := get(ctx, address, "answer")
	if err != nil {
		return nil, err
	}
	var problem entry.WhereError
	if res.StatusCode != http.StatusOK {
		if json.Unmarshal(raw, &problem) != nil || problem.Error == "" {
			return nil, &Error{Exit: ExitFailure, Message: "the VM answered " + res.Status, Remedy: "check that its build has " + entry.WherePath}
		}
		remedy := ""
		if len(problem.Known) > 0 {
			remedy = "these exist: " + strings.Join(problem.Known, ", ")
		}
		return nil, &Error{Exit: ExitUsage, Message: problem.Error, Remedy: remedy}
	}
	w := &entry.Where{}
	if err := json.Unmarshal(raw, w); err != nil {
		return nil, &Error{Exit: ExitFailure, Message: "the answer does not decode", Err: err, Remedy: "use the ibisctl of the VM's build"}
	}
	return w, nil
}

func (a *app) printWhere(w *entry.Where) {
	fmt.Fprintf(a.out, "VM %s, zone %s, tables version %d, route %s, pool %s\n", w.VM, w.AvailabilityZone, w.TablesVersion, orDash(w.Route), orDash(w.Pool))
	switch {
	case w.Item != nil:
		a.printItemPlacement(w)
	case w.Request != nil:
		a.printRequestPlacement(w)
	}
	if r := w.Refusal; r != nil {
		fmt.Fprintf(a.out, "refused with %d: %s; Retry-After %s\n", r.Status, r.Reason, time.Duration(r.RetryAfterMs)*time.Millisecond)
	}
}

func (a *app) printItemPlacement(w *entry.Where) {
	p := w.Item
	if !p.Held {
		fmt.Fprintf(a.out, "this VM does not run the items of the pool (partition %d), %s does; what follows is what this VM knows\n", p.Partition, orDash(w.Holder))
	}
	fmt.Fprintf(a.out, "prompt of %d tokens, read at %.0f tokens/ms; costs in units of the item's run time\n", p.PromptTokens, p.ReadingRate)
	var rows [][]string
	for i := range p.Engines {
		e := &p.Engines[i]
		rows = append(rows, []string{e.Target, e.AvailabilityZone, fmt.Sprintf("%.4f", e.Cost), fmt.Sprintf("%d+%d", e.Running, e.OtherRunning), age(e.ReportAgeMs),
			fmt.Sprintf("%d/%d", e.FreeSlots, e.Slots), fmt.Sprintf("%dms", e.IntervalMs), percentText(e.WorkPercent), age(e.WorkAgeMs), strconv.Itoa(e.HeldTokens),
			fmt.Sprintf("%d/%d", e.FreeMemory, e.MemoryTokens), strconv.FormatBool(e.RateLimited), orDash(modelVersions(e.Versions)), orDash(e.Excluded)})
	}
	a.printTable([]string{"ENGINE", "AZ", "COST", "RUNNING+OTHERS", "AGE", "FREE_SLOTS", "INTERVAL", "WORK", "AGE", "HELD", "FREE_MEMORY", "LIMITED", "VERSIONS", "NOT_BECAUSE"}, rows)
	if p.Target == "" {
		fmt.Fprintln(a.out, "the item waits: no engine takes it now; items are not refused")
		return
	}
	fmt.Fprintf(a.out, "goes to %s, which has the lowest cost\n", p.Target)
}

func (a *app) printRequestPlacement(w *entry.Where) {
	p := w.Request
	var rows [][]string
	for i := range p.Targets {
		t := &p.Targets[i]
		rows = append(rows, []string{t.Name, t.Address, t.AvailabilityZone, strconv.Itoa(t.InFlight), strconv.Itoa(t.Load), strconv.Itoa(t.Limit),
			fmt.Sprintf("%.0fms", t.Latency*1000), strconv.FormatBool(t.Ejected), strconv.FormatBool(t.Leaving), strconv.FormatBool(t.RateLimited), orDash(modelVersions(t.Versions)), orDash(t.Blocked)})
	}
	a.printTable([]string{"TARGET", "ADDRESS", "AZ", "SENT", "LOAD", "LIMIT", "LATENCY", "EJECTED", "LEAVING", "LIMITED", "VERSIONS", "BLOCKED"}, rows)
	switch {
	case p.Waiting != nil:
		fmt.Fprintf(a.out, "waits for room, or is refused: no target has room, %d callers and %d scoring calls wait\n", p.Waiting.Callers, p.Waiting.Background)
	case p.Target != "" && p.AllAtLimits:
		fmt.Fprintf(a.out, "goes to %s, to wait in its queue: all targets are at their limits\n", p.Target)
	case p.Target != "":
		fmt.Fprintf(a.out, "goes to %s, the less loaded of two random targets that can start it\n", p.Target)
	}
}

// age returns an age in milliseconds as text, "-" if there was no report.
func age(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// percentText returns a load figure as text, "-" if there is none.
func percentText(n int) string {
	if n == 0 {
		return "-"
	}
	return strconv.Itoa(n) + "%"
}

// modelVersions returns weight versions by model as text.
func modelVersions(versions map[string]int64) string {
	var out []string
	for _, model := range slices.Sorted(maps.Keys(versions)) {
		out = append(out, fmt.Sprintf("%s=%d", model, versions[model]))
	}
	return strings.Join(out, ",")
}
