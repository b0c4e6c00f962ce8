package settings

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/ibistrail/ibistrail/schema"
	"github.com/matryer/is"
)

const gateJSON = `{"id":"vm1","customer":"magnolia","availability_zone":"dixie-east-a","steward_address":"127.0.0.1:7100",
"gate_address":"127.0.0.1:7101","gate_http":"127.0.0.1:8080","debug_address":"127.0.0.1:7102","peer_token_file":"peer.token"}`

const stewardJSON = `{"id":"vm1","customer":"magnolia","availability_zone":"dixie-east-a","steward_address":"127.0.0.1:7100",
"gate_address":"127.0.0.1:7101","gate_http":"127.0.0.1:8080","debug_address":"127.0.0.1:7103","peer_token_file":"peer.token",
"log_url":"http://127.0.0.1:9000","store_url":"http://127.0.0.1:9001","vm_list_url":"http://127.0.0.1:9002",
"operator_token_sha256":"0000000000000000000000000000000000000000000000000000000000000001"}`

func TestOmittedSettingsGetDefaults(t *testing.T) {
	is := is.New(t)
	g, p := ParseGate([]byte(gateJSON))
	is.Equal(p, nil)
	is.Equal(g.ID, "vm1")
	is.Equal(g.DrainTimeoutMs, int64(DefaultDrainTimeoutMs))
	g, p = ParseGate([]byte(strings.Replace(gateJSON, `{`, `{"balancer_lag_ms":0,`, 1)))
	is.Equal(p, nil)
	is.Equal(g.BalancerLagMs, int64(0)) // an explicit 0 is kept
	s, p := ParseSteward([]byte(stewardJSON))
	is.Equal(p, nil)
	is.Equal(s.LeaseTTLMs, int64(DefaultLeaseTTLMs))
}

func TestEncodedSettingsAreValid(t *testing.T) {
	is := is.New(t)
	g, _ := ParseGate([]byte(gateJSON))
	raw, err := json.Marshal(g)
	is.NoErr(err)
	reparsed, p := ParseGate(raw)
	is.Equal(p, nil)
	is.Equal(reparsed, g)
	s, _ := ParseSteward([]byte(stewardJSON))
	raw, err = json.Marshal(s)
	is.NoErr(err)
	_, p = ParseSteward(raw)
	is.Equal(p, nil)
}

func TestInvalidSettingsAreReportedWithPathAndRemedy(t *testing.T) {
	for _, tc := range []struct{ name, old, new, path, message, remedy string }{
		{"unknown field", `{"id"`, `{"drain_timeout":5,"id"`, "/drain_timeout", "unknown field", `write "drain_timeout_ms"`},
		{"unit", `{"id"`, `{"drain_timeout_ms":"30s","id"`, "/drain_timeout_ms", "is a string, not integer", "whole milliseconds"},
		{"fraction", `{"id"`, `{"balancer_lag_ms":0.5,"id"`, "/balancer_lag_ms", "not integer", "whole milliseconds"},
		{"bound", `{"id"`, `{"max_body_bytes":1,"id"`, "/max_body_bytes", "below 1024", "in bytes"},
		{"stop within lag", `{"id"`, `{"balancer_lag_ms":9000,"drain_timeout_ms":9000,"id"`, "/drain_timeout_ms", "does not exceed", "larger"},
		{"host name", `127.0.0.1:7100`, `localhost:7100`, "/steward_address", "no IP address", "IP address and a port"},
		{"port 0", `127.0.0.1:7100`, `127.0.0.1:0`, "/steward_address", "port 0", "IP address and a port"},
		{"one address twice", `127.0.0.1:7101`, `127.0.0.1:7100`, "/gate_address", "already used by steward_address", "different port"},
		{"policy", `{"id"`, `{"policy":{"routing":"random"},"id"`, "/policy/routing", "not one of", "round-robin"},
		{"name", `"vm1"`, `"VM 1"`, "/id", "right form", "lower-case"},
		{"missing", `"id":"vm1",`, ``, "", `"id" is missing`, "add it"},
		{"twice", `{"id"`, `{"id":"vm2","id"`, "/id", "duplicate field", "remove"},
		{"syntax", `"vm1",`, `"vm1"`, "", "line 1, column", "mend"},
		{"more", `peer.token"}`, `peer.token"}{}`, "", "unexpected data after", "mend"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, p := ParseGate([]byte(strings.Replace(gateJSON, tc.old, tc.new, 1)))
			is.True(len(p) > 0)
			t.Log(p[0])
			is.Equal(p[0].Path, tc.path)
			is.True(strings.Contains(p[0].Message, tc.message))
			is.True(strings.Contains(p[0].Remedy, tc.remedy))
		})
	}
}

func TestLoadErrorsNameTheFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "steward.json")
	_, err := LoadSteward(path)
	is.True(errors.Is(err, os.ErrNotExist))
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(stewardJSON, "http://127.0.0.1:9000", "127.0.0.1:9000", 1)), 0o600))
	_, err = LoadSteward(path)
	var se *schema.Error
	is.True(errors.As(err, &se))
	is.Equal(se.Problems[0].Path, "/log_url")
	is.True(strings.HasPrefix(err.Error(), path))
}

func TestPeerTokenMustBeLongEnough(t *testing.T) {
	is := is.New(t)
	n := Node{PeerTokenFile: filepath.Join(t.TempDir(), "peer.token")}
	_, err := n.PeerToken()
	is.True(err != nil)
	is.NoErr(os.WriteFile(n.PeerTokenFile, []byte("short\n"), 0o600))
	_, err = n.PeerToken()
	is.True(err != nil)
	is.NoErr(os.WriteFile(n.PeerTokenFile, []byte("0123456789abcdef\n"), 0o600))
	got, err := n.PeerToken()
	is.NoErr(err)
	is.Equal(got, "0123456789abcdef")
}

func TestDetectKind(t *testing.T) {
	is := is.New(t)
	for doc, want := range map[string]Kind{`{"pools":[]}`: KindTables, `{"log_url":1}`: KindSteward, `{"max_body_bytes":1}`: KindGate, `{}`: KindUnknown, `[`: KindUnknown, `{"pools":[],"seeds":[]}`: KindUnknown} {
		is.Equal(DetectKind([]byte(doc)), want) // doc
	}
}
