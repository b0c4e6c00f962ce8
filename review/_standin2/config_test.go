package standin2

import "encoding/json"

type m = map[string]any

// plainRoute is a route of the sheet's kind idempotent.
func plainRoute(name, host, prefix, service string, timeoutMs, latencyMs, attempts int) m {
	return m{"Name": name, "Host": host, "PathPrefix": prefix, "Kind": "idempotent", "TimeoutMs": timeoutMs, "TargetLatencyMs": latencyMs, "Priority": 2,
		"Service": service, "MaxAttempts": attempts}
}

// rolloutRoute is a route of batch submissions.
func rolloutRoute(name, host, prefix, service string) m {
	return m{"Name": name, "Host": host, "PathPrefix": prefix, "Kind": "rollout", "TimeoutMs": 10000, "TargetLatencyMs": 500, "Priority": 1, "Service": service,
		"MaxAttempts": 3, "RunDeadlineMs": 7500, "RetentionS": 40, "SingleVersion": false}
}

func plainService(name string) m {
	return m{"Name": name, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false}
}

func engineService(name string, slots int, models ...string) m {
	list := []m{}
	for _, n := range models {
		list = append(list, m{"Name": n})
	}
	s := plainService(name)
	s["Engine"] = m{"Slots": slots, "KvCapacity": 85422, "KvTokenBytes": 163840, "LinkMbps": 8800000.0, "Moves": true, "Backups": true, "Stride": 72, "most": 12,
		"PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": list}
	return s
}

// putConfig writes a configuration as the operator does.
func putConfig(s *store, version int, services []m, routes []m) {
	data, err := json.Marshal(m{"Version": version, "Routes": routes, "Services": services,
		"Limits": m{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
	check(err)
	s.put("keyed.op", "config", data)
	note("the store has accepted configuration %d", version)
}
