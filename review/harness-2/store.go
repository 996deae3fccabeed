package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings of the instances tell them.
const (
	storeLatency    = 4 * time.Millisecond
	maxValueBytes   = 1 << 20
	maxPageItems    = 500
	maxPageBytes    = 1 << 20
	maxTxnEntries   = 32
	storeWritesPerS = 400
	storeReadsPerS  = 2000
	minTTL          = time.Second
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"createdRev"`
	Lease    int64  `json:"lease"`
}

type event struct {
	item
	removed bool
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store. It keeps what the page of the protocol says of it.
type store struct {
	mutex     sync.Mutex
	revision  int64
	items     map[string]item
	leases    map[int64]storeLease
	lastLease int64
	history   []event
	// compacted is the revision up to which the history is gone. muted means that watches hear nothing.
	compacted int64
	muted     bool
	changed   chan struct{}
	// cut is closed to cut the watches that wait.
	cut chan struct{}
	// slowdown is the factor by which the answers take longer.
	slowdown int
	// tooLarge counts the writes that were refused since a value was larger than maxValueBytes.
	tooLarge int
	// writes and reads count the calls of the second that began at window.
	window        time.Time
	writes, reads int
}

func newStore() *store {
	store := &store{
		revision: 100,
		items:    map[string]item{},
		leases:   map[int64]storeLease{},
		changed:  make(chan struct{}),
		cut:      make(chan struct{}),
		slowdown: 1,
	}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			store.expire()
		}
	}()
	return store
}

func (store *store) expire() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	now := time.Now()
	for id, lease := range store.leases {
		if now.After(lease.expires) {
			store.endLease(id)
		}
	}
}

func (store *store) endLease(id int64) {
	delete(store.leases, id)
	ended := false
	for key, item := range store.items {
		if item.Lease == id {
			if !ended {
				store.revision++
				ended = true
			}
			store.remove(key)
		}
	}
	store.notify()
}

func (store *store) notify() {
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) set(key string, value []byte, lease int64) {
	created := store.revision
	if old, found := store.items[key]; found {
		created = old.Created
	}
	written := item{Key: key, Value: value, Revision: store.revision, Created: created, Lease: lease}
	store.items[key] = written
	store.history = append(store.history, event{item: written})
}

func (store *store) remove(key string) {
	if _, found := store.items[key]; !found {
		return
	}
	delete(store.items, key)
	store.history = append(store.history, event{item: item{Key: key, Revision: store.revision}, removed: true})
}

// put writes a key on behalf of the operator or of a runner.
func (store *store) put(key string, value []byte) {
	time.Sleep(storeLatency * time.Duration(store.factor()))
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.set(key, value, 0)
	store.notify()
}

// drop removes a key on behalf of the platform.
func (store *store) drop(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.remove(key)
	store.notify()
}

func (store *store) factor() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.slowdown
}

func (store *store) setSlowdown(factor int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.slowdown = factor
}

// value returns the value of a key, nil without one.
func (store *store) value(key string) []byte {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.items[key].Value
}

// compact lets watches hear nothing for a second, drops the history and cuts them.
func (store *store) compact() {
	store.mutex.Lock()
	store.muted = true
	store.mutex.Unlock()
	time.Sleep(time.Second)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.history = nil
	store.compacted = store.revision
	store.muted = false
	close(store.cut)
	store.cut = make(chan struct{})
}

// admit reports whether a call is within the rates of the store.
func (store *store) admit(write bool) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if now := time.Now(); now.Sub(store.window) > time.Second {
		store.window = now
		store.writes, store.reads = 0, 0
	}
	if write {
		store.writes++
		return store.writes <= storeWritesPerS
	}
	store.reads++
	return store.reads <= storeReadsPerS
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	call := strings.TrimPrefix(request.URL.Path, "/-/")
	name, id, _ := strings.Cut(call, "/")
	keep := name == "kv-keep"
	if !keep && !store.admit(name == "kv-txn" || name == "kv-lease" || name == "kv-lease-end") {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(storeLatency * time.Duration(store.factor()))
	switch name {
	case "kv-watch":
		store.watch(writer, request)
		return
	case "kv-key":
		store.mutex.Lock()
		found, exists := store.items[request.URL.Query().Get("key")]
		at := store.revision
		store.mutex.Unlock()
		if !exists {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(writer, http.StatusOK, map[string]any{
			"key": found.Key, "value": found.Value, "revision": found.Revision, "createdRev": found.Created, "lease": found.Lease, "atRev": at,
		})
	case "kv-range":
		store.list(writer, request)
	case "kv-txn":
		store.commit(writer, request)
	case "kv-lease":
		store.grant(writer, request)
	case "kv-keep", "kv-lease-end":
		number, _ := strconv.ParseInt(id, 10, 64)
		store.mutex.Lock()
		defer store.mutex.Unlock()
		lease, found := store.leases[number]
		switch {
		case !found:
			writer.WriteHeader(http.StatusNotFound)
		case keep:
			lease.expires = time.Now().Add(lease.ttl)
			store.leases[number] = lease
			writeJSON(writer, http.StatusOK, map[string]any{"ttlMs": lease.ttl.Milliseconds()})
		default:
			store.endLease(number)
			writeJSON(writer, http.StatusOK, map[string]any{})
		}
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *store) list(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.URL.Query().Get("prefix"), request.URL.Query().Get("after")
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []item{}
	bytes := 0
	for _, key := range keys {
		if len(items) >= maxPageItems || bytes >= maxPageBytes {
			break
		}
		items = append(items, store.items[key])
		bytes += len(store.items[key].Value)
	}
	writeJSON(writer, http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(keys), "atRev": store.revision})
}

func (store *store) grant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(body.TTLMs)*time.Millisecond, minTTL), 10*time.Minute)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.lastLease++
	store.leases[store.lastLease] = storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(writer, http.StatusOK, map[string]any{"lease": store.lastLease, "ttlMs": ttl.Milliseconds()})
}

func (store *store) commit(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil || len(body.Expect)+len(body.Writes)+len(body.Remove) > maxTxnEntries {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current := []item{}
	holds := true
	for _, expected := range body.Expect {
		found, exists := store.items[expected.Key]
		if exists {
			current = append(current, found)
		}
		holds = holds && found.Revision == expected.Revision
	}
	if !holds {
		writeJSON(writer, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range body.Writes {
		if len(write.Value) > maxValueBytes || len(write.Key) > 200 {
			store.tooLarge++
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
		if _, found := store.leases[write.Lease]; write.Lease != 0 && !found {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
	}
	if len(body.Writes)+len(body.Remove) > 0 {
		store.revision++
		for _, write := range body.Writes {
			store.set(write.Key, write.Value, write.Lease)
		}
		for _, key := range body.Remove {
			store.remove(key)
		}
		store.notify()
	}
	writeJSON(writer, http.StatusOK, map[string]any{"revision": store.revision})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	prefix := query.Get("prefix")
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	store.mutex.Lock()
	cut := store.cut
	store.mutex.Unlock()
	for {
		store.mutex.Lock()
		if after < store.compacted {
			store.mutex.Unlock()
			writer.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, event := range store.history {
			if store.muted || event.Revision <= after || !strings.HasPrefix(event.Key, prefix) {
				continue
			}
			if event.removed {
				events = append(events, map[string]any{"key": event.Key, "revision": event.Revision, "compacted": true})
			} else {
				events = append(events, map[string]any{"key": event.Key, "value": event.Value, "revision": event.Revision, "createdRev": event.Created, "lease": event.Lease})
			}
		}
		at := store.revision
		if store.muted {
			at = after
		}
		changed := store.changed
		store.mutex.Unlock()
		if len(events) > 0 {
			writeJSON(writer, http.StatusOK, map[string]any{"events": events, "atRev": at})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		case <-timer.C:
			writeJSON(writer, http.StatusOK, map[string]any{"events": events, "atRev": at})
			return
		}
	}
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}

// serve serves a handler on a free port of the loopback address.
func serve(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ErrorLog: quiet}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}
