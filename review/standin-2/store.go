package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store.
type store struct {
	addr   string
	record *record

	mu       sync.Mutex
	revision uint64
	created  map[string]uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// gate, if set, may hold or refuse a call.
	gate func(w http.ResponseWriter, r *http.Request) (handled bool)
	// reads counts the calls.
	reads int
}

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

const pageItems = 50

func newStore(r *record) *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	s := &store{addr: l.Addr().String(), record: r, revision: 10, created: map[string]uint64{}, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/shallotspool/kv-key", s.key)
	mux.HandleFunc("/shallotspool/kv-range", s.list)
	mux.HandleFunc("/shallotspool/kv-watch", s.watch)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			s.mu.Lock()
			s.reads++
			gate := s.gate
			s.mu.Unlock()
			w.Header().Set("Store-Era", "1")
			if gate != nil && gate(w, q) {
				return
			}
			mux.ServeHTTP(w, q)
		}))
	}()
	return s
}

// put writes an item and returns its revision: the acknowledgement.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.created[key] == 0 {
		s.created[key] = s.revision
	}
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Revision: s.revision, Created: s.created[key]}
	s.items[key] = it
	s.append(it)
	if key == "op/config" {
		s.record.line("store acknowledges %s at revision %d", key, s.revision)
	}
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	delete(s.created, key)
	s.append(item{Key: key, Revision: s.revision, Removed: true})
	s.record.line("store removes %s at revision %d", key, s.revision)
}

func (s *store) append(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setGate(gate func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = gate
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, k := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[k])
	}
	out := map[string]any{"items": items, "has_more": len(keys) > pageItems, "at": s.revision}
	s.mu.Unlock()
	reply(w, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
