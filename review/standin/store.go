package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one entry of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store as its page describes it. It keeps all history.
type store struct {
	address string
	rec     *recorder

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	cut      chan struct{}
	waiting  int // the number of watches that wait
}

func startStore(address string, rec *recorder) (*store, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), rec: rec, revision: 100, items: map[string]item{}, changed: make(chan struct{}),
		cut: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/shallotspool/kv-range", s.serveRange)
	mux.HandleFunc("/shallotspool/kv-key", s.serveKey)
	mux.HandleFunc("/shallotspool/kv-watch", s.serveWatch)
	go func() { _ = (&http.Server{Handler: mux}).Serve(ln) }()
	return s, nil
}

// put writes an item and returns the time of its acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, ok := value.([]byte)
	if !ok {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.appendLocked(it)
	return time.Now()
}

// remove deletes an item and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.appendLocked(item{Key: key, Revision: s.revision, Removed: true})
	return time.Now()
}

func (s *store) appendLocked(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatches closes the connections of all watches that are waiting, without an answer, and
// returns their number.
func (s *store) cutWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.waiting
	close(s.cut)
	s.cut = make(chan struct{})
	return n
}

// waitingWatches returns the number of watches that are waiting.
func (s *store) waitingWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	s.rec.logf("store: %s lists at %d", host(r.RemoteAddr), at)
	answerJSON(w, map[string]any{"items": list, "has_more": false, "at": at})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	answerJSON(w, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": 0, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	caller := host(r.RemoteAddr)
	s.mu.Lock()
	cut := s.cut
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
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
			answerJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			answerJSON(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		case <-cut:
			s.rec.logf("store: cuts the watch of %s", caller)
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				_ = conn.Close()
			}
			return
		}
	}
}

func host(address string) string {
	h, _, _ := net.SplitHostPort(address)
	return h
}

// registration is the entry of a target in the store.
type registration struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"capacity_slots"`
	State    string `json:"instance_state"`
	ColdLeft int    `json:"cold_left_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// routeRule is one route of the configuration.
type routeRule struct {
	Name     string `json:"name"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"kind"`
	Timeout  int    `json:"timeout_ms"`
	Goal     int    `json:"latency_goal_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
}

// configuration returns a configuration with the limits of the platform's example.
func configuration(version int, services []string, routes []routeRule) map[string]any {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_conns": 424, "protocol": "h1", "tls_mode": false})
	}
	return map[string]any{
		"version": version, "services": list,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"virtual_hosts": []any{map[string]any{"host": callHost, "path_rules": routes}},
	}
}

const callHost = "hulo84.example"

func targetKey(id string) string { return fmt.Sprintf("servers/%s", id) }
