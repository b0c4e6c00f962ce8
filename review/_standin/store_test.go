package standin

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

// Limits of the store, as in the settings that the VMs get.
const (
	storeParts       = 12
	storeRecordBytes = 262144
	storeCallBytes   = 2097152
	storePartBytes   = 200 << 20
	storeBytes       = 400 << 20
	storeAnswerTime  = 4 * time.Millisecond
)

// store is a stand-in of the platform's metadata store: the log calls that PROTOCOL.md describes, without faults.
type store struct {
	addr string

	mu      sync.Mutex
	topics  map[string][]*logPart
	changed chan struct{}
}

// logPart is one partition. Its oldest records expire when it holds more than storePartBytes; none is RetentionS old within the two minutes
// of a case.
type logPart struct {
	records [][]byte
	first   int64 // offset of the first record that is retained
	bytes   int
	// expiredAt is when the first record expired.
	expiredAt time.Time
}

func (p *logPart) end() int64 { return p.first + int64(len(p.records)) }

// expire drops the oldest records until the partition holds no more than n bytes.
func (p *logPart) expire(n int) {
	if p.bytes > n && p.expiredAt.IsZero() {
		p.expiredAt = time.Now()
	}
	for p.bytes > n {
		p.bytes -= len(p.records[0])
		p.records[0] = nil
		p.records = p.records[1:]
		p.first++
	}
}

func startStore(ip string) *store {
	s := &store{topics: map[string][]*logPart{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.newest)
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// part returns a partition, which the first use creates. The caller holds the lock.
func (s *store) part(topic string, n int) *logPart {
	if s.topics[topic] == nil {
		for range storeParts {
			s.topics[topic] = append(s.topics[topic], &logPart{})
		}
	}
	if n < 0 || n >= storeParts {
		n = 0
	}
	return s.topics[topic][n]
}

// bytes returns how much is stored. The caller holds the lock.
func (s *store) bytes() int {
	n := 0
	for _, parts := range s.topics {
		for _, p := range parts {
			n += p.bytes
		}
	}
	return n
}

// add appends records and ends the waits of reads. The caller holds the lock.
func (s *store) add(p *logPart, records [][]byte) {
	p.records = append(p.records, records...)
	for _, r := range records {
		p.bytes += len(r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a keyed record, as the operator or a sampler does; without a value the key is dropped.
func (s *store) put(topic, key string, value any) {
	rec := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		check(err)
		rec = append(rec, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.part(topic, 0), [][]byte{rec})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeAnswerTime)
	var records [][]byte
	total := 0
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 || n > storeRecordBytes {
			reply(w, http.StatusBadRequest, map[string]string{"why": "record"})
			return
		}
		records = append(records, body[4:4+n])
		total += n
		body = body[4+n:]
	}
	if total > storeCallBytes {
		reply(w, http.StatusRequestEntityTooLarge, map[string]string{"why": "CallBytes"})
		return
	}
	q := r.URL.Query()
	n, _ := strconv.Atoi(q.Get("part"))
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("Topic"), n)
	end := p.end()
	if at := q.Get("At"); at != "" && at != strconv.FormatInt(end, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"EndOffset": end})
		return
	}
	if s.bytes()+total > storeBytes {
		reply(w, http.StatusInsufficientStorage, map[string]string{"why": "full"})
		return
	}
	s.add(p, records)
	if !strings.HasPrefix(q.Get("Topic"), "keyed.") {
		p.expire(storePartBytes)
	}
	reply(w, http.StatusOK, map[string]int64{"Offset": end, "EndOffset": end + int64(len(records))})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	n, _ := strconv.Atoi(q.Get("part"))
	from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	maxKb, _ := strconv.Atoi(q.Get("MaxKb"))
	if maxKb <= 0 {
		maxKb = 1024
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := wait == 0; ; {
		s.mu.Lock()
		p, changed := s.part(q.Get("Topic"), n), s.changed
		first, end := p.first, p.end()
		var records [][]byte
		if from >= first && from < end {
			records = p.records[from-first:]
		}
		s.mu.Unlock()
		if from < first {
			reply(w, http.StatusGone, map[string]int64{"FirstOffset": first})
			return
		}
		if len(records) > 0 || timedOut {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for i, rec := range records {
				if i > 0 && len(out)+len(rec) > maxKb<<10 {
					break
				}
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
			}
			_, _ = w.Write(out)
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

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	type item struct {
		Key, Value string
		Offset     int64
	}
	s.mu.Lock()
	p := s.part(r.URL.Query().Get("Topic"), 0)
	byKey := map[string]item{}
	for i, rec := range p.records {
		n := int(rec[0])
		key, value := string(rec[1:1+n]), rec[1+n:]
		delete(byKey, key)
		if len(value) > 0 {
			byKey[key] = item{key, base64.StdEncoding.EncodeToString(value), int64(i)}
		}
	}
	end := p.end()
	s.mu.Unlock()
	items := []item{}
	for _, it := range byKey {
		items = append(items, it)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"Items": items, "HasMore": false, "EndOffset": end})
}
