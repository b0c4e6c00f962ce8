package standin2

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. Each VM gets a listener of its own, so that a case can tell VMs apart.
type store struct {
	mu       sync.Mutex
	parts    int
	topics   map[string][]*logPart
	changed  chan struct{}
	latency  time.Duration
	refuse   func(vm, method, path, topic string, part int) bool // answers 503; nothing is done
	onAppend func(topic string, part int, records [][]byte)      // called with mu held, after the records were appended
}

type logPart struct {
	records [][]byte
}

func newStore(parts int) *store {
	return &store{parts: parts, topics: map[string][]*logPart{}, changed: make(chan struct{}), latency: 4 * time.Millisecond}
}

// listen serves the store for one caller at an address of its own.
func (s *store) listen(vm string) string {
	l, err := net.Listen("tcp", loopbackIP()+":0")
	check(err)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(vm, w, r) }))
	return l.Addr().String()
}

func (s *store) part(topic string, n int) *logPart {
	if s.topics[topic] == nil {
		for range s.parts {
			s.topics[topic] = append(s.topics[topic], &logPart{})
		}
	}
	return s.topics[topic][n]
}

func (s *store) serve(vm string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("Topic")
	n, _ := strconv.Atoi(q.Get("part"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.latency)
	s.mu.Lock()
	refuse := s.refuse
	s.mu.Unlock()
	if refuse != nil && refuse(vm, r.Method, r.URL.Path, topic, n) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/log-append":
		if topic == "keyed.op" || topic == "keyed.servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.serveAppend(w, q.Get("At"), topic, n, body)
	case "/v1/log-read":
		s.serveRead(w, r, topic, n)
	case "/v1/log-newest":
		s.serveNewest(w, topic, q.Get("After"))
	case "/v1/log-trim":
		w.WriteHeader(http.StatusOK) // keeping more than asked for is allowed
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, at, topic string, n int, body []byte) {
	var records [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+size {
			break
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, n)
	end := int64(len(p.records))
	if at != "" && at != strconv.FormatInt(end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"EndOffset": end})
		return
	}
	s.append(topic, n, records)
	writeJSON(w, http.StatusOK, map[string]int64{"Offset": end, "EndOffset": end + int64(len(records))})
}

func (s *store) append(topic string, n int, records [][]byte) {
	p := s.part(topic, n)
	p.records = append(p.records, records...)
	if s.onAppend != nil {
		s.onAppend(topic, n, records)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the record of a key as the operator or a server does; an empty value deletes the key. It returns when the store has accepted it.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, 0, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string, n int) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	maxKB, err := strconv.Atoi(q.Get("MaxKb"))
	if err != nil {
		maxKB = 1024
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := wait == 0; ; {
		s.mu.Lock()
		p, changed := s.part(topic, n), s.changed
		var records [][]byte
		if from < int64(len(p.records)) {
			records = p.records[from:]
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		s.mu.Unlock()
		if len(records) > 0 || timedOut {
			for i, rec := range records {
				if i > 0 && len(out)+len(rec) > maxKB<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key, Value string
		Offset     int64
	}
	s.mu.Lock()
	p := s.part(topic, 0)
	newest := map[string]item{}
	for i, rec := range p.records {
		n := int(rec[0])
		key, value := string(rec[1:1+n]), rec[1+n:]
		delete(newest, key)
		if len(value) > 0 {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), int64(i)}
		}
	}
	end := len(p.records)
	s.mu.Unlock()
	var items []item
	for _, it := range newest {
		if it.Key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	writeJSON(w, http.StatusOK, map[string]any{"Items": items, "HasMore": more, "EndOffset": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// keyOf returns the key and the value of a record of a keyed topic.
func keyOf(rec []byte) (key string, value []byte) {
	n := int(rec[0])
	return string(rec[1 : 1+n]), rec[1+n:]
}

func hasPrefix(s string, prefixes ...string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(s, p) {
			return true
		}
	}
	return false
}
