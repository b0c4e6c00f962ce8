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

// Defaults of settings that may be left out.
const (
	DefaultBalancerLagMs  = 2_000
	DefaultDrainTimeoutMs = 120_000
	DefaultMaxBodyBytes   = 8 << 20
	DefaultLeaseTTLMs     = 10_000
)

// MinTokenBytes is the shortest peer token.
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

// LoadGate reads and checks the settings of ibisgate. A file that breaks a rule is a *schema.Error.
func LoadGate(path string) (*Gate, error) { return load(path, ParseGate) }

// LoadSteward reads and checks the settings of ibissteward. A file that breaks a rule is a *schema.Error.
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

// ParseGate decodes and checks the settings of ibisgate, with defaults for what is left out.
func ParseGate(data []byte) (*Gate, []schema.Problem) {
	g := Gate{BalancerLagMs: DefaultBalancerLagMs, DrainTimeoutMs: DefaultDrainTimeoutMs, MaxBodyBytes: DefaultMaxBodyBytes}
	if p := decode(gateChecker, data, &g); len(p) > 0 {
		return nil, p
	}
	problems := g.check(g.DebugAddress)
	if g.DrainTimeoutMs <= g.BalancerLagMs {
		problems = append(problems, schema.Problem{
			Path:    "/drain_timeout_ms",
			Message: fmt.Sprintf("a planned stop of %d ms is over before the balancer's lag of %d ms", g.DrainTimeoutMs, g.BalancerLagMs),
			Remedy:  "make drain_timeout_ms larger than balancer_lag_ms by the longest request",
		})
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return &g, nil
}

// ParseSteward decodes and checks the settings of ibissteward, with defaults for what is left out.
func ParseSteward(data []byte) (*Steward, []schema.Problem) {
	s := Steward{LeaseTTLMs: DefaultLeaseTTLMs}
	if p := decode(stewardChecker, data, &s); len(p) > 0 {
		return nil, p
	}
	if p := s.check(s.DebugAddress); len(p) > 0 {
		return nil, p
	}
	return &s, nil
}

func decode(c *schema.Checker, data []byte, v any) []schema.Problem {
	if p := c.Check(data); len(p) > 0 {
		return p
	}
	if err := json.Unmarshal(data, v); err != nil {
		return []schema.Problem{{Message: err.Error(), Remedy: "write the settings as the schema describes them"}}
	}
	return nil
}

// check refuses one address for two purposes.
func (n *Node) check(debugAddress string) []schema.Problem {
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
				Message: fmt.Sprintf("address %s is that of %s already", a.address, other),
				Remedy:  "give each of them its own port",
			})
		}
		used[a.address] = a.field
	}
	return problems
}

// PeerToken reads the secret that the deployment's nodes show each other.
func (n *Node) PeerToken() (string, error) {
	data, err := os.ReadFile(n.PeerTokenFile)
	if err != nil {
		return "", fmt.Errorf("settings: peer_token_file: %w; name the file that all nodes of the deployment share", err)
	}
	token := strings.TrimSpace(string(data))
	if len(token) < MinTokenBytes {
		return "", fmt.Errorf("settings: peer_token_file %s holds %d bytes; write a secret of at least %d", n.PeerTokenFile, len(token), MinTokenBytes)
	}
	return token, nil
}

// Kind tells what a JSON document configures.
type Kind string

// The kinds of documents.
const (
	KindTables  Kind = "tables"
	KindGate    Kind = "gate"
	KindSteward Kind = "steward"
	KindUnknown Kind = "unknown"
)

// UnknownKind is the problem of a document whose fields do not tell its kind.
var UnknownKind = schema.Problem{
	Message: "the fields do not tell what the document configures",
	Remedy:  "say it with --kind tables, gate or steward",
}

// kindFields are the fields that only one kind has.
var kindFields = map[Kind][]string{
	KindTables:  {"routes", "pools"},
	KindGate:    {"balancer_lag_ms", "drain_timeout_ms", "max_body_bytes"},
	KindSteward: {"log_url", "store_url", "vm_list_url", "seeds", "lease_ttl_ms"},
}

// DetectKind tells the kind of a document from its fields, KindUnknown if they do not tell it.
func DetectKind(data []byte) Kind {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return KindUnknown
	}
	found := KindUnknown
	for _, k := range []Kind{KindTables, KindGate, KindSteward} {
		if !hasAny(fields, kindFields[k]) {
			continue
		}
		if found != KindUnknown {
			return KindUnknown
		}
		found = k
	}
	return found
}

func hasAny(fields map[string]json.RawMessage, names []string) bool {
	for _, n := range names {
		if _, ok := fields[n]; ok {
			return true
		}
	}
	return false
}

// MatchesToken tells whether token is the one whose hex SHA-256 is hash; an empty hash matches none.
func MatchesToken(hash, token string) bool {
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(hash)) == 1
}
