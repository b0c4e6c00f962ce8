// Package errata holds stand-ins of the Magnolia Errata platform, written from its published
// protocol: the store and the targets, with switches for the faults that the protocol names.
package errata

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's metadata store. Its fields are switches and may be set while it runs, under
// Lock.
type Store struct {
	sync.Mutex
	// Down refuses each call with 503.
	Down bool
	// Silent answers no call.
	Silent bool
	// LoseAnswers carries the next calls that write out without answering them, so many times.
	LoseAnswers int
	// MissWaits does not end the wait of a read when a record comes.
	MissWaits bool
	// Parts is the number of partitions of each topic.
	Parts int

	URL      string
	server   *httptest.Server
	topics   map[string][]*partition
	changed  chan struct{}
	appended map[string]int // records by topic
}

// partition is one sequence of records; first is the offset of the oldest one kept.
type partition struct {
	first   int64
	records [][]byte
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// NewStore starts a store on loopback.
func NewStore(parts int) *Store {
	s := &Store{Parts: parts, topics: map[string][]*partition{}, changed: make(chan struct{}), appended: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.newest)
	s.server = httptest.NewServer(mux)
	s.URL = s.server.URL
	return s
}

// Address is the store's host and port.
func (s *Store) Address() string { return strings.TrimPrefix(s.URL, "http://") }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Set changes switches.
func (s *Store) Set(change func(*Store)) {
	s.Lock()
	defer s.Unlock()
	change(s)
}

// Put writes a keyed record as the operator or a target would; a nil value removes the key.
func (s *Store) Put(topic, key string, value []byte) {
	rec := append([]byte{byte(len(key))}, key...)
	s.Lock()
	defer s.Unlock()
	s.add(s.part(topic, 0), topic, [][]byte{append(rec, value...)})
}

// Truncate deletes the records of a partition before an offset.
func (s *Store) Truncate(topic string, part int, before int64) {
	s.Lock()
	defer s.Unlock()
	p := s.part(topic, part)
	n := min(max(0, before-p.first), int64(len(p.records)))
	p.first, p.records = p.first+n, p.records[n:]
}

// Appended counts the records that were appended to a topic.
func (s *Store) Appended(topic string) int {
	s.Lock()
	defer s.Unlock()
	return s.appended[topic]
}

func (s *Store) part(topic string, n int) *partition {
	if s.topics[topic] == nil {
		for range max(1, s.Parts) {
			s.topics[topic] = append(s.topics[topic], &partition{})
		}
	}
	return s.topics[topic][n]
}

func (s *Store) add(p *partition, topic string, records [][]byte) {
	p.records = append(p.records, records...)
	s.appended[topic] += len(records)
	close(s.changed)
	s.changed = make(chan struct{})
}

// refused answers a call where a switch says so.
func (s *Store) refused(w http.ResponseWriter, r *http.Request) bool {
	s.Lock()
	down, silent := s.Down, s.Silent
	s.Unlock()
	if silent {
		<-r.Context().Done()
		return true
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return down
}

// lost tells whether the answer of a write is to be lost. The caller holds the lock.
func (s *Store) lost() bool {
	if s.LoseAnswers <= 0 {
		return false
	}
	s.LoseAnswers--
	return true
}

func index(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("part"))
	if err != nil {
		return 0
	}
	return n
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that has gone reads nothing
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	if s.refused(w, r) {
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
	p := s.part(q.Get("Topic"), index(r))
	if at := q.Get("At"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		end := p.end()
		s.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]int64{"EndOffset": end})
		return
	}
	offset := p.end()
	s.add(p, q.Get("Topic"), records)
	lost := s.lost()
	s.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	reply(w, http.StatusOK, map[string]int64{"Offset": offset, "EndOffset": offset + int64(len(records))})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	if s.refused(w, r) {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	maxKB, _ := strconv.Atoi(q.Get("MaxKb"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for over := wait == 0; ; {
		s.Lock()
		p, changed, miss := s.part(q.Get("Topic"), index(r)), s.changed, s.MissWaits
		if from < p.first {
			first := p.first
			s.Unlock()
			reply(w, http.StatusGone, map[string]int64{"FirstOffset": first})
			return
		}
		var records [][]byte
		if from < p.end() {
			records = p.records[from-p.first:]
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
		out = binary.BigEndian.AppendUint64(out, uint64(p.first))
		s.Unlock()
		if len(records) > 0 || over {
			for i, rec := range records {
				if i > 0 && maxKB > 0 && len(out)+len(rec) > maxKB<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			_, _ = w.Write(out) // a client that has gone reads nothing
			return
		}
		if miss {
			changed = nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	if s.refused(w, r) {
		return
	}
	type item struct {
		Key, Value string
		Offset     int64
	}
	s.Lock()
	p := s.part(r.URL.Query().Get("Topic"), 0)
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
	reply(w, http.StatusOK, map[string]any{"Items": items, "HasMore": false, "EndOffset": end})
}
