package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Names of the files of a written plan.
const (
	FileTables    = "tables.json"
	FileEndpoints = "endpoints.json"
	FilePeerToken = "peer.token"
	// FileOperatorToken holds the operators' token for ibisctl.
	FileOperatorToken = "operator.token"
	FileProcesses     = "procs"
	FilePlatform      = "platform.json"
	FileEngines       = "engines.json"
	FileServices      = "services.json"
)

// Process is one process of a plan.
type Process struct {
	Name string
	// Binary is the name of the program; Args are its arguments.
	Binary string
	Args   []string
}

// Processes returns the processes of a plan that is written to dir, in start order.
func (d *Deployment) Processes(dir string) []Process {
	file := func(name string) []string { return []string{"--settings", filepath.Join(dir, name)} }
	processes := []Process{
		{"platform", "ibisfake", append([]string{"platform"}, file(FilePlatform)...)},
		{"engines", "ibisfake", append([]string{"engines"}, file(FileEngines)...)},
		{"services", "ibisfake", append([]string{"services"}, file(FileServices)...)},
	}
	for _, s := range d.Stewards {
		processes = append(processes, Process{"steward-" + s.ID, "ibissteward", file("steward-" + s.ID + ".json")})
	}
	for _, g := range d.Gates {
		processes = append(processes, Process{"gate-" + g.ID, "ibisgate", file("gate-" + g.ID + ".json")})
	}
	return processes
}

// Write writes the plan to dir: the settings of each process, the tables, the endpoints, the tokens
// of the nodes and the operators, and the list of processes. It creates dir if necessary.
func (d *Deployment) Write(dir string) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("plan: %w; choose a directory that can be written", err)
	}
	token := filepath.Join(dir, FilePeerToken)
	if err := os.WriteFile(token, []byte(d.PeerToken+"\n"), 0o600); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, FileOperatorToken), []byte(OperatorToken+"\n"), 0o600); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	docs := map[string]any{
		FileTables: d.Tables, FileEndpoints: d.Endpoints, FilePlatform: d.Platform, FileEngines: d.Engines, FileServices: d.Services,
	}
	for i := range d.Gates {
		d.Gates[i].PeerTokenFile, d.Stewards[i].PeerTokenFile = token, token
		docs["gate-"+d.Gates[i].ID+".json"] = d.Gates[i]
		docs["steward-"+d.Stewards[i].ID+".json"] = d.Stewards[i]
	}
	for name, v := range docs {
		if err := writeJSON(filepath.Join(dir, name), v); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, FileProcesses), encodeProcesses(d.Processes(dir)), 0o644)
}

// encodeProcesses returns one line per process: name, binary and arguments, separated by tabs.
func encodeProcesses(processes []Process) []byte {
	var b bytes.Buffer
	for _, p := range processes {
		fmt.Fprintf(&b, "%s\t%s\t%s\n", p.Name, p.Binary, strings.Join(p.Args, "\t"))
	}
	return b.Bytes()
}

func writeJSON(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("plan: encode %s: %w", path, err)
	}
	if err := os.WriteFile(path, append(raw, '\n'), 0o644); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	return nil
}

// Load reads a JSON file of a written plan, such as the settings of a stand-in process; unknown fields are errors.
func Load[T any](path string) (T, error) {
	var v T
	raw, err := os.ReadFile(path)
	if err != nil {
		return v, fmt.Errorf("settings: %w; name a file that the process can read", err)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, fmt.Errorf("settings %s: %w; write it with ibisfake plan", path, err)
	}
	return v, nil
}
