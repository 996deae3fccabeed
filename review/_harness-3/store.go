package main

import (
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxKeyBytes   = 200
	maxValueBytes = 1 << 20
	maxEntries    = 32
	pageItems     = 500
	pageBytes     = 1 << 20
	// retention is how long the store keeps its history.
	retention = 20 * time.Second
	// storeDelay is the usual time of an answer of the store.
	storeDelay = 4 * time.Millisecond
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"createdRev"`
	Lease    int64  `json:"lease"`
	removed  bool
	at       time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store in memory.
type store struct {
	record *record

	mutex     sync.Mutex
	revision  int64
	items     map[string]item
	leases    map[int64]*lease
	lastLease int64
	history   []item
	// compacted is the revision up to which the history was discarded.
	compacted int64
	changed   chan struct{}
	// lostShare is the share of the writes whose answers are lost, and which are done late.
	lostShare float64
	minLate   time.Duration
	maxLate   time.Duration
	random    *rand.Rand
	// lateWrites counts the writes that were done late, the last of them at lastLate.
	lateWrites int
	lastLate   time.Time
	// refused counts the writes of a key that were refused since the value is too large.
	refused map[string]int
}

func newStore(record *record, seed int64) *store {
	store := &store{
		record:   record,
		revision: 1,
		items:    map[string]item{},
		leases:   map[int64]*lease{},
		changed:  make(chan struct{}),
		random:   rand.New(rand.NewSource(seed)),
		refused:  map[string]int{},
	}
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			store.expire()
		}
	}()
	return store
}

// loseWrites has the store do a share of the writes late and leave them unanswered, until it is called with 0.
func (store *store) loseWrites(share float64, minLate, maxLate time.Duration) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.lostShare, store.minLate, store.maxLate = share, minLate, maxLate
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
	old := 0
	for old < len(store.history) && now.Sub(store.history[old].at) > retention {
		store.compacted = store.history[old].Revision
		old++
	}
	store.history = store.history[old:]
}

func (store *store) endLease(id int64) {
	delete(store.leases, id)
	store.revision++
	for key, item := range store.items {
		if item.Lease == id {
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
	entry := item{
		Key:      key,
		Value:    value,
		Revision: store.revision,
		Created:  created,
		Lease:    lease,
		at:       time.Now(),
	}
	store.items[key] = entry
	store.history = append(store.history, entry)
}

func (store *store) remove(key string) {
	if _, found := store.items[key]; !found {
		return
	}
	delete(store.items, key)
	store.history = append(store.history, item{
		Key:      key,
		Revision: store.revision,
		removed:  true,
		at:       time.Now(),
	})
}

// put writes a key for the operator or a worker.
func (store *store) put(key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.set(key, value, 0)
	store.notify()
}

// drop removes a key for the platform.
func (store *store) drop(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.remove(key)
	store.notify()
}

// leader returns the value of the key of the leader, which the program calls cell/leader.
func (store *store) leader() (name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var member struct{ Instance string }
	_ = json.Unmarshal(store.items["cell/leader"].Value, &member)
	return member.Instance
}

func answer(writer http.ResponseWriter, status int, body any) {
	if body == nil {
		writer.WriteHeader(status)
		return
	}
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

type transaction struct {
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

// ServeHTTP handles the calls to the store.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeDelay)
	call := strings.TrimPrefix(request.URL.Path, "/-/")
	name, id, _ := strings.Cut(call, "/")
	query := request.URL.Query()
	switch name {
	case "kv-key":
		store.mutex.Lock()
		found, exists := store.items[query.Get("key")]
		store.mutex.Unlock()
		if !exists {
			answer(writer, http.StatusNotFound, nil)
			return
		}
		answer(writer, http.StatusOK, found)
	case "kv-range":
		store.list(writer, query.Get("prefix"), query.Get("after"))
	case "kv-watch":
		store.watch(writer, request)
	case "kv-txn":
		store.transact(writer, request)
	case "kv-lease":
		var body struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.NewDecoder(request.Body).Decode(&body) != nil {
			answer(writer, http.StatusBadRequest, nil)
			return
		}
		ttl := max(time.Duration(body.TTLMs)*time.Millisecond, time.Second)
		store.mutex.Lock()
		store.lastLease++
		granted := store.lastLease
		store.leases[granted] = &lease{
			ttl:     ttl,
			expires: time.Now().Add(ttl),
		}
		store.mutex.Unlock()
		answer(writer, http.StatusOK, map[string]int64{
			"lease": granted,
			"ttlMs": ttl.Milliseconds(),
		})
	case "kv-keep", "kv-lease-end":
		number, _ := strconv.ParseInt(id, 10, 64)
		store.mutex.Lock()
		held, found := store.leases[number]
		if found && name == "kv-keep" {
			held.expires = time.Now().Add(held.ttl)
		}
		if found && name == "kv-lease-end" {
			store.endLease(number)
		}
		store.mutex.Unlock()
		if !found {
			answer(writer, http.StatusNotFound, nil)
			return
		}
		answer(writer, http.StatusOK, map[string]int64{
			"ttlMs": held.ttl.Milliseconds(),
		})
	default:
		answer(writer, http.StatusNotFound, nil)
	}
}

func (store *store) list(writer http.ResponseWriter, prefix, after string) {
	store.mutex.Lock()
	found := []item{}
	for key, item := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, item)
		}
	}
	at := store.revision
	store.mutex.Unlock()
	slices.SortFunc(found, func(left, right item) int {
		return strings.Compare(left.Key, right.Key)
	})
	count, size := 0, 0
	for count < len(found) && count < pageItems && (count == 0 || size+len(found[count].Value) <= pageBytes) {
		size += len(found[count].Value)
		count++
	}
	answer(writer, http.StatusOK, map[string]any{
		"items":   found[:count],
		"hasMore": count < len(found),
		"atRev":   at,
	})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	prefix := query.Get("prefix")
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		store.mutex.Lock()
		if after < store.compacted {
			store.mutex.Unlock()
			answer(writer, http.StatusGone, nil)
			return
		}
		events := []any{}
		start, _ := slices.BinarySearchFunc(store.history, after+1, func(entry item, revision int64) int {
			return int(entry.Revision - revision)
		})
		for _, entry := range store.history[start:] {
			switch {
			case !strings.HasPrefix(entry.Key, prefix):
			case entry.removed:
				events = append(events, map[string]any{
					"key":       entry.Key,
					"revision":  entry.Revision,
					"compacted": true,
				})
			default:
				events = append(events, entry)
			}
		}
		at, changed := store.revision, store.changed
		store.mutex.Unlock()
		response := map[string]any{
			"events": events,
			"atRev":  at,
		}
		if len(events) > 0 {
			answer(writer, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(writer, http.StatusOK, response)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (store *store) transact(writer http.ResponseWriter, request *http.Request) {
	var body transaction
	document, err := io.ReadAll(request.Body)
	if err != nil || json.Unmarshal(document, &body) != nil || len(body.Expect)+len(body.Writes)+len(body.Remove) > maxEntries {
		answer(writer, http.StatusBadRequest, nil)
		return
	}
	for _, write := range body.Writes {
		if len(write.Value) > maxValueBytes || len(write.Key) > maxKeyBytes {
			store.mutex.Lock()
			store.refused[write.Key]++
			if store.refused[write.Key] < 20 {
				store.record.add("store refuses a value of %d bytes under %s", len(write.Value), write.Key)
			}
			store.mutex.Unlock()
			answer(writer, http.StatusBadRequest, nil)
			return
		}
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			answer(writer, http.StatusForbidden, nil)
			return
		}
	}
	store.mutex.Lock()
	lost := len(body.Writes)+len(body.Remove) > 0 && store.lostShare > 0 && store.random.Float64() < store.lostShare
	late := store.minLate
	if lost {
		late += time.Duration(store.random.Float64() * float64(store.maxLate-store.minLate))
	}
	store.mutex.Unlock()
	if lost {
		// The call is executed seconds later, if its condition still holds, and never answered.
		go func() {
			time.Sleep(late)
			status, _ := store.apply(body)
			if status == http.StatusOK {
				store.mutex.Lock()
				store.lateWrites++
				store.lastLate = time.Now()
				store.mutex.Unlock()
			}
			if len(body.Writes) > 0 {
				store.record.add("store does a write of %s late, after %.1f s: status %d", body.Writes[0].Key, late.Seconds(), status)
			}
		}()
		<-request.Context().Done()
		return
	}
	status, response := store.apply(body)
	answer(writer, status, response)
}

func (store *store) apply(body transaction) (int, any) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	matched := true
	existing := []item{}
	for _, expected := range body.Expect {
		found, exists := store.items[expected.Key]
		if exists {
			existing = append(existing, found)
		}
		matched = matched && found.Revision == expected.Revision
	}
	if !matched {
		return http.StatusPreconditionFailed, map[string]any{
			"items": existing,
		}
	}
	for _, write := range body.Writes {
		if write.Lease != 0 && store.leases[write.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	store.revision++
	for _, write := range body.Writes {
		store.set(write.Key, write.Value, write.Lease)
	}
	for _, key := range body.Remove {
		store.remove(key)
	}
	store.notify()
	return http.StatusOK, map[string]int64{
		"revision": store.revision,
	}
}

func (store *store) lastLateWrite() time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.lastLate
}

func (store *store) refusals(key string) int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.refused[key]
}
