package standin3

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	host   = "ficu95.example"
	model  = "m0"
	engine = "drafting-models"
	desk   = "errata-desk"
)

// configuration returns a configuration of the operator.
func configuration(version int, routes ...map[string]any) map[string]any {
	all := append([]map[string]any{
		{"Name": "r-desk", "Host": host, "PathPrefix": "/desk/", "Kind": "idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 150, "Priority": 2, "Service": desk, "MaxAttempts": 2},
		{"Name": "r-pull", "Host": host, "PathPrefix": "/pull/", "Kind": "idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 800, "Priority": 2, "Service": desk, "MaxAttempts": 4},
		{"Name": "r-note", "Host": host, "PathPrefix": "/note/", "Kind": "rollout", "TimeoutMs": 10000, "TargetLatencyMs": 500, "Priority": 1, "Service": engine, "MaxAttempts": 3, "RunDeadlineMs": 7500, "RetentionS": 40},
	}, routes...)
	return map[string]any{
		"Version": version, "Routes": all,
		"Services": []map[string]any{
			{"Name": engine, "HealthPath": "/healthz", "MaxConns": 140, "Protocol": "h1", "Tls": false, "Engine": map[string]any{"Slots": 8, "KvCapacity": 85422, "KvTokenBytes": 163840, "Stride": 72, "Models": []map[string]any{{"Name": model}}}},
			{"Name": desk, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

var clientTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// call sends a request on a new connection.
func call(ctx context.Context, v *vm, method, path, id string, body []byte, timeout time.Duration, headers ...string) answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.frontend+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	if id != "" {
		req.Header.Set("Request-Id", id)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := clientTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, data, err}
}

// submission encodes a batch submission of items with bodies of the given size.
func submission(prefix string, items, bodyBytes int) ([]byte, []string) {
	type item map[string]any
	var list []item
	var ids []string
	for n := range items {
		id := fmt.Sprintf("%s%04x", prefix, n)
		ids = append(ids, id)
		list = append(list, item{
			"Id": id, "Path": "/note/3/" + id, "Headers": map[string]string{"Model": model, "Token-Count": "540,400", "Prompt-Prefix": "9c2e41:300,5d07b8:240"},
			"Body": base64.StdEncoding.EncodeToString(itemBody(id, bodyBytes)), "Tokens": 940, "Group": fmt.Sprintf("%sg%d", prefix, n/8),
			"Scorer": map[string]string{"Id": "f" + id, "Host": host, "Path": "/pull/" + id, "Body": "3q2+7w=="},
		})
	}
	data, _ := json.Marshal(map[string]any{"Step": 0, "Model": model, "MinVersion": 1, "DesiredCount": 1, "Items": list}) // plain values always encode
	return data, ids
}

func itemBody(id string, size int) []byte {
	return bytes.Repeat([]byte(id+"."), size/(len(id)+1)+1)[:size]
}

// page is a page of results.
type page struct {
	Total, Next int
	Results     []struct {
		Id, State, Text, Score string
		Versions               []int64
	}
}
