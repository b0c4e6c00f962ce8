package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/ibistrail/ibistrail/schema"
)

// Defaults of optional settings.
const (
	DefaultBalancerLagMs  = 2_000
	DefaultDrainTimeoutMs = 120_000
	DefaultMaxBodyBytes   = 8 << 20
	DefaultLeaseTTLMs     = 10_000
)

// MinTokenBytes is the minimum length of the peer token, in bytes.
const MinTokenBytes = 16

// Schema is the JSON Schema of the settings: "#/$defs/gate" and "#/$defs/steward".
//
//go:embed settings.schema.json
var Schema []byte

const schemaName = "settings.schema.json"

var (
	gateChecker    = schema.Must(schema.New(schemaName, Schema, "#/$defs/gate"))
	stewardChecker = schema.Must(schema.New(schemaName, Schema, "#/$defs/steward"))
)

// LoadGate reads and checks the settings file of ibisgate. It returns a *schema.Error if the file
// violates a rule.
func LoadGate(path string) (*Gate, error) { return load(path, ParseGate) }

// LoadSteward reads and checks the settings file of ibissteward. It returns a *schema.Error if the
// file violates a rule.
func LoadSteward(path string) (*Steward, error) { return load(path, ParseSteward) }

func load[T any](path string, parse func([]byte) (*T, []schema.Problem)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w; name a file that the process can read", err)
	}
	v, problems := parse(data)
	if len(problems) > 0 {
		return nil, &schema.Error{File: path, Problems: problems}
	}
	return v, nil
}

// ParseGate decodes and checks the settings of ibisgate and sets defaults for omitted fields.
func ParseGate(data []byte) (*Gate, []schema.Problem) {
	g := Gate{BalancerLagMs: DefaultBalancerLagMs, DrainTimeoutMs: DefaultDrainTimeoutMs, MaxBodyBytes: DefaultMaxBodyBytes}
	if p := decodeChecked(gateChecker, data, &g); len(p) > 0 {
		return nil, p
	}
	problems := g.checkAddresses(g.DebugAddress)
	if g.DrainTimeoutMs <= g.BalancerLagMs {
		problems = append(problems, schema.Problem{
			Path:    "/drain_timeout_ms",
			Message: fmt.Sprintf("the time limit of %d ms for a planned shutdown does not exceed the balancer lag of %d ms", g.DrainTimeoutMs, g.BalancerLagMs),
			Remedy:  "make drain_timeout_ms larger than balancer_lag_ms by the longest request",
		})
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return &g, nil
}

// ParseSteward decodes and checks the settings of ibissteward and sets defaults for omitted fields.
func ParseSteward(data []byte) (*Steward, []schema.Problem) {
	s := Steward{LeaseTTLMs: DefaultLeaseTTLMs}
	if p := decodeChecked(stewardChecker, data, &s); len(p) > 0 {
		return nil, p
	}
	if p := s.checkAddresses(s.DebugAddress); len(p) > 0 {
		return nil, p
	}
	return &s, nil
}

// decodeChecked decodes data into v if it satisfies the schema.
func decodeChecked(c *schema.Checker, data []byte, v any) []schema.Problem {
	if p := c.Check(data); len(p) > 0 {
		return p
	}
	if err := json.Unmarshal(data, v); err != nil {
		return []schema.Problem{{Message: err.Error(), Remedy: "write the settings as the schema describes them"}}
	}
	return nil
}

// checkAddresses reports an address that is used twice on the node.
func (n *Node) checkAddresses(debugAddress string) []schema.Problem {
	var problems []schema.Problem
	used := map[string]string{}
	for _, a := range []struct{ field, address string }{
		{"steward_address", n.StewardAddress},
		{"gate_address", n.GateAddress},
		{"gate_http", n.GateHTTP},
		{"debug_address", debugAddress},
	} {
		if other, ok := used[a.address]; ok {
			problems = append(problems, schema.Problem{
				Path:    "/" + a.field,
				Message: fmt.Sprintf("address %s is already used by %s", a.address, other),
				Remedy:  "use a different port for each",
			})
		}
		used[a.address] = a.field
	}
	return problems
}

// PeerToken reads the secret with which the nodes of the deployment authenticate to each other. It
// trims white space and returns an error if the rest is shorter than MinTokenBytes.
func (n *Node) PeerToken() (string, error) {
	data, err := os.ReadFile(n.PeerTokenFile)
	if err != nil {
		return "", fmt.Errorf("settings: peer_token_file: %w; name the file that all nodes of the deployment share", err)
	}
	token := strings.TrimSpace(string(data))
	if len(token) < MinTokenBytes {
		return "", fmt.Errorf("settings: peer_token_file %s holds %d bytes; write a secret of at least %d bytes", n.PeerTokenFile, len(token), MinTokenBytes)
	}
	return token, nil
}

// Kind is the kind of a configuration document.
type Kind string

// The kinds of documents.
const (
	KindTables  Kind = "tables"
	KindGate    Kind = "gate"
	KindSteward Kind = "steward"
	KindUnknown Kind = "unknown"
)

// UnknownKind is the problem reported for a document of KindUnknown.
var UnknownKind = schema.Problem{
	Message: "cannot detect the kind of the document from its fields",
	Remedy:  "set --kind to tables, gate or steward",
}

// kindFields lists fields that only documents of one kind have.
var kindFields = map[Kind][]string{
	KindTables:  {"routes", "pools"},
	KindGate:    {"balancer_lag_ms", "drain_timeout_ms", "max_body_bytes"},
	KindSteward: {"log_url", "store_url", "vm_list_url", "seeds", "lease_ttl_ms"},
}

// DetectKind returns the kind of a document, which it detects by fields that only one kind has. It
// returns KindUnknown if data has fields of no kind or of several, or is not a JSON object.
func DetectKind(data []byte) Kind {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return KindUnknown
	}
	found := KindUnknown
	for _, k := range []Kind{KindTables, KindGate, KindSteward} {
		if !hasAnyField(fields, kindFields[k]) {
			continue
		}
		if found != KindUnknown {
			return KindUnknown
		}
		found = k
	}
	return found
}

func hasAnyField(fields map[string]json.RawMessage, names []string) bool {
	for _, n := range names {
		if _, ok := fields[n]; ok {
			return true
		}
	}
	return false
}

// MatchesToken reports whether hash is the hex SHA-256 of token, and is false for an empty hash. It
// compares in constant time.
func MatchesToken(hash, token string) bool {
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(hash)) == 1
}
