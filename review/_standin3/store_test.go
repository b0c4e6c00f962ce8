package standin3

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

// answerTime is the time of an answer of the store, as the installation's sheet gives it.
const answerTime = 4 * time.Millisecond

// The store's pace: PartMbS of an append to a partition, and ReadMbS of all reads.
const (
	appendBytesPerSecond = 20_000_000
	readBytesPerSecond   = 80_000_000
)

// store is a stand-in of the platform's metadata store: a log with topics of several partitions.
type store struct {
	address string
	parts   int
	handler http.Handler

	mu      sync.Mutex
	topics  map[string][]*partition
	changed chan struct{}
	// followed holds the machines and topics, separated by a space, for which a read has waited.
	followed map[string]bool
	// partBytes limits what a partition holds, in bytes: the oldest records expire.
	partBytes int
	// readsUntil is when the reads so far are done, at ReadMbS.
	readsUntil time.Time
	// lose tells, if set, whether the answer to an append is lost, and how much later the append is done.
	lose func(topic string, records [][]byte) (late time.Duration, lost bool)
	// written and lost count the appends, and those whose answers were lost, while lose is set.
	written, lost int
}

// partition is a sequence of records; first is the offset of the oldest one that is retained.
type partition struct {
	first   int
	records [][]byte
	bytes   int
}

func (p *partition) end() int { return p.first + len(p.records) }

// add appends records, and lets the oldest ones expire beyond a limit; 0 means none.
func (p *partition) add(records [][]byte, limit int) {
	for _, r := range records {
		p.records = append(p.records, r)
		p.bytes += len(r)
	}
	for limit > 0 && p.bytes > limit {
		p.bytes -= len(p.records[0])
		p.records[0] = nil
		p.first, p.records = p.first+1, p.records[1:]
	}
}

func newStore(ip string, parts int) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), parts: parts, topics: map[string][]*partition{}, changed: make(chan struct{}), followed: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.newest)
	mux.HandleFunc("POST /v1/log-trim", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusOK) }) // keeps all
	s.handler = mux
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// listenFor returns an address of the store for one machine, whose reads of topics are noted.
func (s *store) listenFor(ip, machine string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if q := r.URL.Query(); q.Get("WaitMs") != "" && r.URL.Path == "/v1/log-read" {
				s.mu.Lock()
				s.followed[machine+" "+q.Get("Topic")] = true
				s.mu.Unlock()
			}
			s.handler.ServeHTTP(w, r)
		}))
	}()
	return l.Addr().String(), nil
}

// follows reports whether a machine has waited for records of a topic.
func (s *store) follows(machine, topic string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followed[machine+" "+topic]
}

// topic returns the partitions of a topic. The caller holds mu.
func (s *store) topic(name string) []*partition {
	if s.topics[name] == nil {
		for range s.parts {
			s.topics[name] = append(s.topics[name], &partition{})
		}
	}
	return s.topics[name]
}

// appendTo appends records to a partition and wakes up the reads that wait. The caller holds mu.
func (s *store) appendTo(topic string, part int, records [][]byte) (offset int) {
	p, limit := s.topic(topic)[part], s.partBytes
	if strings.HasPrefix(topic, "keyed.") {
		limit = 0
	}
	offset = p.end()
	p.add(records, limit)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) add(topic string, part int, records [][]byte) (offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendTo(topic, part, records)
}

// put writes a keyed record as the operator or a sampler does.
func (s *store) put(topic, key string, value any) {
	data := []byte{}
	if value != nil {
		data, _ = json.Marshal(value) // maps and slices of plain values always encode
	}
	s.add(topic, 0, [][]byte{append(append([]byte{byte(len(key))}, key...), data...)})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	size := len(body)
	var records [][]byte
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	q := r.URL.Query()
	topic := q.Get("Topic")
	part, _ := strconv.Atoi(q.Get("part"))
	s.mu.Lock()
	lose := s.lose
	if lose != nil {
		s.written++
		if late, lost := lose(topic, records); lost {
			s.lost++
			s.mu.Unlock()
			time.AfterFunc(late, func() { s.add(topic, part, records) }) // no append that is lost here has a condition
			<-r.Context().Done()
			return
		}
	}
	offset := s.topic(topic)[part].end()
	if at := q.Get("At"); at != "" && at != strconv.Itoa(offset) {
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]int{"EndOffset": offset})
		return
	}
	s.appendTo(topic, part, records)
	s.mu.Unlock()
	time.Sleep(answerTime + time.Duration(size)*time.Second/appendBytesPerSecond)
	reply(w, http.StatusOK, map[string]int{"Offset": offset, "EndOffset": offset + len(records)})
}

// pace lets all reads share readBytesPerSecond.
func (s *store) pace(size int) {
	s.mu.Lock()
	now := time.Now()
	if s.readsUntil.Before(now) {
		s.readsUntil = now
	}
	s.readsUntil = s.readsUntil.Add(time.Duration(size) * time.Second / readBytesPerSecond)
	until := s.readsUntil
	s.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("Topic")
	part, _ := strconv.Atoi(q.Get("part"))
	from, _ := strconv.Atoi(q.Get("From"))
	maxKb, err := strconv.Atoi(q.Get("MaxKb"))
	if err != nil {
		maxKb = 1024
	}
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	time.Sleep(answerTime)
	deadline := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer deadline.Stop()
	for timedOut := waitMs == 0; ; {
		s.mu.Lock()
		p, changed := s.topic(topic)[part], s.changed
		first, end := p.first, p.end()
		var records [][]byte
		if from >= first && from < end {
			records = p.records[from-first:]
		}
		s.mu.Unlock()
		if from < first {
			reply(w, http.StatusGone, map[string]int{"FirstOffset": first})
			return
		}
		if len(records) > 0 || timedOut {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for i, rec := range records {
				if i > 0 && len(out)+len(rec) > maxKb<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			s.pace(len(out))
			w.Header().Set("Content-Length", strconv.Itoa(len(out)))
			_, _ = w.Write(out) // fails only if the client has gone
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key, Value string
		Offset     int
	}
	s.mu.Lock()
	records := s.topic(r.URL.Query().Get("Topic"))[0].records
	s.mu.Unlock()
	newest := map[string]item{}
	for i, rec := range records {
		n := int(rec[0])
		key, value := string(rec[1:1+n]), rec[1+n:]
		delete(newest, key)
		if len(value) > 0 {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
		}
	}
	items := make([]item, 0, len(newest))
	for _, it := range newest {
		items = append(items, it)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	time.Sleep(answerTime)
	reply(w, http.StatusOK, map[string]any{"Items": items, "HasMore": false, "EndOffset": len(records)})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has gone
}
