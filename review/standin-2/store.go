package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// answerTime is how long the store takes for an answer, and maxWait the longest wait of a watch.
	answerTime = 4 * time.Millisecond
	maxWait    = 30 * time.Second
	// pageItems is the most items of one page.
	pageItems = 500
)

// store stands in for the platform's metadata store.
type store struct {
	address string
	record  *record

	mu       sync.Mutex
	revision uint64
	created  map[string]uint64
	// items holds the newest item of each key, and history all, encoded as JSON.
	items   map[string]item
	history []item
	changed chan struct{}
}

type item struct {
	key      string
	revision uint64
	encoded  []byte
}

func newStore(r *record) *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	s := &store{address: l.Addr().String(), record: r, revision: 10, created: map[string]uint64{}, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/shallotspool/kv-key", s.serveKey)
	mux.HandleFunc("/shallotspool/kv-range", s.serveRange)
	mux.HandleFunc("/shallotspool/kv-watch", s.serveWatch)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Store-Era", "1")
			w.Header().Set("Content-Type", "application/json")
			time.Sleep(answerTime)
			mux.ServeHTTP(w, q)
		}))
	}()
	return s
}

// put writes an item. Its return is the acknowledgement.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.created[key] == 0 {
		s.created[key] = s.revision
	}
	encoded, err := json.Marshal(map[string]any{
		"key": key, "value": base64.StdEncoding.EncodeToString(value), "revision": s.revision, "created": s.created[key], "lease": 0,
	})
	if err != nil {
		fail("store: %v", err)
	}
	it := item{key: key, revision: s.revision, encoded: encoded}
	s.items[key] = it
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	if key == "op/config" {
		s.record.line("store acknowledges %s at revision %d", key, s.revision)
	}
}

// reply writes an answer with the items, which are in the field named list.
func reply(w http.ResponseWriter, list string, items []item, rest string) {
	fmt.Fprintf(w, `{"%s":[`, list)
	for i, it := range items {
		if i > 0 {
			_, _ = io.WriteString(w, ",")
		}
		_, _ = w.Write(it.encoded)
	}
	fmt.Fprintf(w, `],%s}`, rest)
}

func (s *store) serveKey(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	it, ok := s.items[q.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(it.encoded)
}

func (s *store) serveRange(w http.ResponseWriter, q *http.Request) {
	args := q.URL.Query()
	s.mu.Lock()
	var items []item
	for key, it := range s.items {
		if strings.HasPrefix(key, args.Get("prefix")) && key > args.Get("after") {
			items = append(items, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].key < items[j].key })
	page := items[:min(len(items), pageItems)]
	reply(w, "items", page, fmt.Sprintf(`"has_more":%v,"at":%d`, len(page) < len(items), at))
}

func (s *store) serveWatch(w http.ResponseWriter, q *http.Request) {
	args := q.URL.Query()
	after, _ := strconv.ParseUint(args.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(args.Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		var events []item
		for _, it := range s.history {
			if it.revision > after && strings.HasPrefix(it.key, args.Get("prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, "events", events, fmt.Sprintf(`"at":%d`, at))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-q.Context().Done():
			return
		}
	}
}
