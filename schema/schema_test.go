package schema

import (
	"strings"
	"testing"
)

const testSchema = `{"type":"object","additionalProperties":false,"required":["timeout_ms"],"properties":{
"timeout_ms":{"type":"integer","minimum":1,"description":"whole milliseconds"},
"a/b~c":{"type":"integer"},"url":{"type":"string","format":"http-url"},
"peers":{"type":"array","items":{"type":"string","format":"ip-port","description":"an address"}}}}`

func TestCheck(t *testing.T) {
	c := Must(New("test.json", []byte(testSchema), ""))
	for _, tc := range []struct{ doc, want string }{
		{`{"timeout_ms":5,"url":"https://h/base","peers":["[::1]:80"]}`, ""},
		{`{"timeout_ms":5,"timeout":5}`, `/timeout: unknown field "timeout"; remove it or write "timeout_ms": whole milliseconds`},
		{`{"timeout_ms":5,"zzz":5}`, `/zzz: unknown field "zzz"; remove it; known fields are a/b~c, peers, timeout_ms, url`},
		{`{}`, `(document): field "timeout_ms" is missing; add it: whole milliseconds`},
		{`{"timeout_ms":5,"a/b~c":"x"}`, `/a~1b~0c: value is a string, not integer; write a value as the schema describes it`},
		{`{"timeout_ms":5,"peers":["h:1"]}`, `/peers/0: value "h:1" is not valid: no IP address with a port; write an address`},
		{`{"timeout_ms":5,"url":"ftp://h"}`, `/url: value "ftp://h" is not valid: no base URL of http or https; write a value as the schema describes it`},
		{`{"timeout_ms":5,"peers":[{"a":1,"a":2}]}`, `/peers/0/a: duplicate field; remove one of the two`},
		{"{\n \"timeout_ms\": 5,\n}", `(document): not JSON at line 3, column 1: `},
		{`{"timeout_ms":`, `(document): not JSON at line 1, column 15: unexpected EOF; mend the syntax there`},
		{strings.Repeat(`{"a":`, MaxDepth+2), `nested deeper than 64`},
	} {
		var lines []string
		for _, p := range c.Check([]byte(tc.doc)) {
			lines = append(lines, p.String())
		}
		got := strings.Join(lines, "\n")
		if got != tc.want && (tc.want == "" || !strings.Contains(got, tc.want)) {
			t.Errorf("%s\ngot  %s\nwant %s", tc.doc, got, tc.want)
		}
	}
}
