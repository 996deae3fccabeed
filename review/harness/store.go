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

// Limits of the store, as the settings of the small sites have them.
const (
	storeDelay     = 4 * time.Millisecond
	writesPerS     = 400
	readsPerS      = 2000
	retention      = 20 * time.Second
	pageItems      = 500
	pageBytes      = 1 << 20
	maxTxnEntries  = 32
	maxValueBytes  = 1 << 20
	maxKeyBytes    = 200
	minLease       = time.Second
	maxLease       = 10 * time.Minute
	maxWatchWait   = 30 * time.Second
	expiryInterval = 20 * time.Millisecond
)

// storeItem is an item or a watch event of the metadata store.
type storeItem struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev,omitempty"`
	Lease      int64  `json:"lease,omitempty"`
	Compacted  bool   `json:"compacted,omitempty"`

	at time.Time
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mutex     sync.Mutex
	revision  int64
	items     map[string]storeItem
	leases    map[int64]storeLease
	lastLease int64
	history   []storeItem
	compacted int64
	changed   chan struct{}
	second    int64
	writes    int
	reads     int
	// writers holds the name of the caller that made each revision.
	writers map[int64]string
	// slow is how many times as long as usual the answers take.
	slow int
}

// setSlow makes the answers take times as long as usual.
func (store *store) setSlow(times int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.slow = times
}

func (store *store) delay() time.Duration {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return storeDelay * time.Duration(max(store.slow, 1))
}

func newStore() *store {
	created := &store{
		revision: 1,
		items:    map[string]storeItem{},
		leases:   map[int64]storeLease{},
		changed:  make(chan struct{}),
		writers:  map[int64]string{},
	}
	go func() {
		for {
			time.Sleep(expiryInterval)
			created.mutex.Lock()
			created.expire()
			created.mutex.Unlock()
		}
	}()
	return created
}

// serve starts a listener for the calls of one caller and returns its address.
func (store *store) serve(caller string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			store.handle(caller, writer, request)
		}))
	}()
	return listener.Addr().String()
}

// put writes a key on behalf of the operator or a runner.
func (store *store) put(key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.set(key, value, 0)
	store.notify()
}

// remove removes a key on behalf of the platform.
func (store *store) remove(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if _, found := store.items[key]; found {
		store.revision++
		store.unset(key)
		store.notify()
	}
}

// writer returns the caller that made a revision.
func (store *store) writer(revision int64) string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.writers[revision]
}

func (store *store) set(key string, value []byte, lease int64) {
	item := storeItem{Key: key, Value: value, Revision: store.revision, CreatedRev: store.revision, Lease: lease, at: time.Now()}
	if old, found := store.items[key]; found {
		item.CreatedRev = old.CreatedRev
	}
	store.items[key] = item
	store.history = append(store.history, item)
}

func (store *store) unset(key string) {
	if _, found := store.items[key]; !found {
		return
	}
	delete(store.items, key)
	store.history = append(store.history, storeItem{Key: key, Revision: store.revision, Compacted: true, at: time.Now()})
}

func (store *store) notify() {
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) expire() {
	now := time.Now()
	for id, lease := range store.leases {
		if now.After(lease.end) {
			store.endLease(id)
		}
	}
	drop := 0
	for drop < len(store.history) && now.Sub(store.history[drop].at) > retention {
		store.compacted = store.history[drop].Revision
		drop++
	}
	store.history = store.history[drop:]
}

func (store *store) endLease(id int64) {
	delete(store.leases, id)
	var keys []string
	for key, item := range store.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	store.revision++
	for _, key := range keys {
		store.unset(key)
	}
	store.notify()
}

// admit counts a call against the limits.
func (store *store) admit(write bool) bool {
	if second := time.Now().Unix(); second != store.second {
		store.second, store.writes, store.reads = second, 0, 0
	}
	if write {
		store.writes++
		return store.writes <= writesPerS
	}
	store.reads++
	return store.reads <= readsPerS
}

func (store *store) handle(caller string, writer http.ResponseWriter, request *http.Request) {
	time.Sleep(store.delay())
	call := strings.TrimPrefix(request.URL.Path, "/-/")
	name, id, _ := strings.Cut(call, "/")
	if name == "kv-watch" {
		store.watch(writer, request)
		return
	}
	var body struct {
		Expect []storeItem `json:"expect"`
		Writes []storeItem `json:"writes"`
		Remove []string    `json:"remove"`
		TTLMs  int64       `json:"ttlMs"`
	}
	if request.Method == http.MethodPost && request.ContentLength != 0 {
		if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
			reply(writer, http.StatusBadRequest, nil)
			return
		}
	}
	query := request.URL.Query()
	leaseID, _ := strconv.ParseInt(id, 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	if name != "kv-keep" && !store.admit(request.Method != http.MethodGet) {
		reply(writer, http.StatusTooManyRequests, nil)
		return
	}
	switch name {
	case "kv-key":
		item, found := store.items[query.Get("key")]
		if !found {
			reply(writer, http.StatusNotFound, nil)
			return
		}
		reply(writer, http.StatusOK, struct {
			storeItem
			AtRev int64 `json:"atRev"`
		}{item, store.revision})
	case "kv-range":
		store.list(writer, query.Get("prefix"), query.Get("after"))
	case "kv-txn":
		store.commit(caller, writer, body.Expect, body.Writes, body.Remove)
	case "kv-lease":
		ttl := min(max(time.Duration(body.TTLMs)*time.Millisecond, minLease), maxLease)
		store.lastLease++
		store.leases[store.lastLease] = storeLease{ttl: ttl, end: time.Now().Add(ttl)}
		reply(writer, http.StatusOK, map[string]int64{"lease": store.lastLease, "ttlMs": ttl.Milliseconds()})
	case "kv-keep":
		lease, found := store.leases[leaseID]
		if !found {
			reply(writer, http.StatusNotFound, nil)
			return
		}
		lease.end = time.Now().Add(lease.ttl)
		store.leases[leaseID] = lease
		reply(writer, http.StatusOK, map[string]int64{"ttlMs": lease.ttl.Milliseconds()})
	case "kv-lease-end":
		if _, found := store.leases[leaseID]; !found {
			reply(writer, http.StatusNotFound, nil)
			return
		}
		store.endLease(leaseID)
		reply(writer, http.StatusOK, nil)
	default:
		reply(writer, http.StatusNotFound, nil)
	}
}

func (store *store) list(writer http.ResponseWriter, prefix, after string) {
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []storeItem{}
	size := 0
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			break
		}
		items = append(items, store.items[key])
		size += len(store.items[key].Value)
	}
	reply(writer, http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(keys), "atRev": store.revision})
}

func (store *store) commit(caller string, writer http.ResponseWriter, expect, writes []storeItem, remove []string) {
	if len(expect)+len(writes)+len(remove) > maxTxnEntries {
		reply(writer, http.StatusBadRequest, nil)
		return
	}
	matched := true
	current := []storeItem{}
	for _, expected := range expect {
		item, found := store.items[expected.Key]
		if found {
			current = append(current, item)
		}
		matched = matched && item.Revision == expected.Revision
	}
	if !matched {
		reply(writer, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range writes {
		if _, found := store.leases[write.Lease]; write.Lease != 0 && !found {
			reply(writer, http.StatusNotFound, nil)
			return
		}
		if len(write.Key) > maxKeyBytes || len(write.Value) > maxValueBytes {
			reply(writer, http.StatusBadRequest, nil)
			return
		}
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			reply(writer, http.StatusForbidden, nil)
			return
		}
	}
	store.revision++
	for _, write := range writes {
		store.set(write.Key, write.Value, write.Lease)
	}
	for _, key := range remove {
		store.unset(key)
	}
	store.writers[store.revision] = caller
	store.notify()
	reply(writer, http.StatusOK, map[string]int64{"revision": store.revision})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	prefix := query.Get("prefix")
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	counted := false
	for {
		store.mutex.Lock()
		admitted := counted || store.admit(false)
		counted = true
		gone := after < store.compacted
		events := []storeItem{}
		for _, event := range store.history {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		switch {
		case !admitted:
			reply(writer, http.StatusTooManyRequests, nil)
			return
		case gone:
			reply(writer, http.StatusGone, nil)
			return
		case len(events) > 0:
			reply(writer, http.StatusOK, map[string]any{"events": events, "atRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(writer, http.StatusOK, map[string]any{"events": events, "atRev": revision})
			return
		case <-request.Context().Done():
			return
		}
	}
}

// reply writes a JSON response.
func reply(writer http.ResponseWriter, status int, body any) {
	if body == nil {
		writer.WriteHeader(status)
		return
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		fail("encode: %v", err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}
