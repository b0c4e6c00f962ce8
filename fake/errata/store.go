// Package errata implements stand-ins of the Magnolia Errata platform according to its published
// protocol: the metadata store and the targets, with fault switches for the faults that the
// protocol names.
package errata

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's metadata store. The fault switches among its fields may be set while it
// runs, under Lock.
type Store struct {
	sync.Mutex
	// Down answers each request with status 503.
	Down bool
	// Hang holds each request without an answer until the client cancels it.
	Hang bool
	// PartitionDown tells to which partitions requests are answered with status 503; it may be nil.
	PartitionDown func(topic string, part int) bool
	// LoseAnswers is how many of the next appends take effect without an answer.
	LoseAnswers int
	// IgnoreLongPollWakeups keeps long-poll reads waiting until their timeout even when a record is appended.
	IgnoreLongPollWakeups bool
	// Partitions is the number of partitions of each topic.
	Partitions int
	// PartitionBytes and TotalBytes limit what a partition and the store hold; 0 means no limit. The oldest records of a full partition
	// expire; a full store refuses appends.
	PartitionBytes, TotalBytes int

	URL      string
	server   *httptest.Server
	topics   map[string][]*partition
	changed  chan struct{}
	appended map[string]int // records by topic
}

// partition is one sequence of records; first is the offset of the oldest retained one.
type partition struct {
	first   int64
	records [][]byte
	bytes   int
}

// dropFirst deletes the n oldest records.
func (p *partition) dropFirst(n int64) {
	for _, r := range p.records[:n] {
		p.bytes -= len(r)
	}
	p.first, p.records = p.first+n, p.records[n:]
}

// trim deletes the records before an offset.
func (p *partition) trim(before int64) {
	p.dropFirst(min(max(0, before-p.first), int64(len(p.records))))
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// NewStore starts a store on loopback.
func NewStore(partitions int) *Store {
	s := &Store{Partitions: partitions, topics: map[string][]*partition{}, changed: make(chan struct{}), appended: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.readNewest)
	mux.HandleFunc("POST /v1/log-trim", s.trim)
	s.server = httptest.NewServer(mux)
	s.URL = s.server.URL
	return s
}

// Address returns the store's host:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.URL, "http://") }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Set calls change with the lock held, to change fault switches.
func (s *Store) Set(change func(*Store)) {
	s.Lock()
	defer s.Unlock()
	change(s)
}

// Put appends a keyed record as the operator or a target would; an empty value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	rec := append([]byte{byte(len(key))}, key...)
	s.Lock()
	defer s.Unlock()
	s.appendRecords(s.partitionOf(topic, 0), topic, [][]byte{append(rec, value...)})
}

// Truncate deletes the records of a partition that are before an offset.
func (s *Store) Truncate(topic string, part int, before int64) {
	s.Lock()
	defer s.Unlock()
	s.partitionOf(topic, part).trim(before)
}

// Appended returns how many records have been appended to a topic.
func (s *Store) Appended(topic string) int {
	s.Lock()
	defer s.Unlock()
	return s.appended[topic]
}

// partitionOf returns partition n of a topic, which is created on first use. The caller holds the lock.
func (s *Store) partitionOf(topic string, n int) *partition {
	if s.topics[topic] == nil {
		for range max(1, s.Partitions) {
			s.topics[topic] = append(s.topics[topic], &partition{})
		}
	}
	return s.topics[topic][n]
}

// appendRecords appends records and wakes up waiting reads. The caller holds the lock.
func (s *Store) appendRecords(p *partition, topic string, records [][]byte) {
	p.records = append(p.records, records...)
	for _, r := range records {
		p.bytes += len(r)
	}
	for s.PartitionBytes > 0 && p.bytes > s.PartitionBytes && !strings.HasPrefix(topic, "keyed.") {
		p.dropFirst(1)
	}
	s.appended[topic] += len(records)
	close(s.changed)
	s.changed = make(chan struct{})
}

// handleFault applies the faults that all requests share and reports whether the request has been handled.
func (s *Store) handleFault(w http.ResponseWriter, r *http.Request) bool {
	s.Lock()
	down, silent := s.Down, s.Hang
	if topic := r.URL.Query().Get("Topic"); s.PartitionDown != nil {
		down = down || s.PartitionDown(topic, partitionIndex(r))
	}
	s.Unlock()
	if silent {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a disconnect only once the body has been read
		<-r.Context().Done()
		return true
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return down
}

// takeLostAnswer uses up one count of LoseAnswers and reports whether the answer must be dropped. The caller holds the lock.
func (s *Store) takeLostAnswer() bool {
	if s.LoseAnswers <= 0 {
		return false
	}
	s.LoseAnswers--
	return true
}

// partitionIndex returns the partition that a request names, or 0 if it names none.
func partitionIndex(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("part"))
	if err != nil {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	if s.handleFault(w, r) {
		return
	}
	body := make([]byte, r.ContentLength)
	for n := 0; n < len(body); {
		m, err := r.Body.Read(body[n:])
		if n += m; err != nil && n < len(body) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	q := r.URL.Query()
	s.Lock()
	p := s.partitionOf(q.Get("Topic"), partitionIndex(r))
	if at := q.Get("At"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		end := p.end()
		s.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"EndOffset": end})
		return
	}
	offset := p.end()
	if s.TotalBytes > 0 && s.bytes()+len(body) > s.TotalBytes {
		s.Unlock()
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	s.appendRecords(p, q.Get("Topic"), records)
	lost := s.takeLostAnswer()
	s.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	writeJSON(w, http.StatusOK, map[string]int64{"Offset": offset, "EndOffset": offset + int64(len(records))})
}

// bytes returns the size of all records. The caller holds the lock.
func (s *Store) bytes() int {
	n := 0
	for _, parts := range s.topics {
		for _, p := range parts {
			n += p.bytes
		}
	}
	return n
}

func (s *Store) trim(w http.ResponseWriter, r *http.Request) {
	if s.handleFault(w, r) {
		return
	}
	var call struct {
		Topic  string
		Part   int `json:"part"`
		Before int64
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.Truncate(call.Topic, call.Part, call.Before)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	if s.handleFault(w, r) {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	maxKB, _ := strconv.Atoi(q.Get("MaxKb"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for timedOut := wait == 0; ; {
		s.Lock()
		p, changed, missWaits := s.partitionOf(q.Get("Topic"), partitionIndex(r)), s.changed, s.IgnoreLongPollWakeups
		if from < p.first {
			first := p.first
			s.Unlock()
			writeJSON(w, http.StatusGone, map[string]int64{"FirstOffset": first})
			return
		}
		var records [][]byte
		if from < p.end() {
			records = p.records[from-p.first:]
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
		out = binary.BigEndian.AppendUint64(out, uint64(p.first))
		s.Unlock()
		if len(records) > 0 || timedOut {
			for i, rec := range records {
				if i > 0 && maxKB > 0 && len(out)+len(rec) > maxKB<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			_, _ = w.Write(out) // fails only if the client has disconnected
			return
		}
		if missWaits {
			changed = nil
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

func (s *Store) readNewest(w http.ResponseWriter, r *http.Request) {
	if s.handleFault(w, r) {
		return
	}
	type item struct {
		Key, Value string
		Offset     int64
	}
	s.Lock()
	p := s.partitionOf(r.URL.Query().Get("Topic"), 0)
	newest := map[string]item{}
	for i, rec := range p.records {
		n := int(rec[0])
		key, value := string(rec[1:1+n]), rec[1+n:]
		delete(newest, key)
		if len(value) > 0 {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), p.first + int64(i)}
		}
	}
	end := p.end()
	s.Unlock()
	items := make([]item, 0, len(newest))
	for _, it := range newest {
		items = append(items, it)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, http.StatusOK, map[string]any{"Items": items, "HasMore": false, "EndOffset": end})
}
