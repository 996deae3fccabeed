package keeper

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/standin/server"
)

// list is the instance list. A change becomes visible to readers after Faults.Lag.
type list struct {
	createdAt   int64
	announced   map[string]registration
	pending     []change
	visible     map[string]lister.Instance
	changeCount uint64
	// rendered is the visible list as JSON, or nil if it must be encoded again.
	rendered []byte
}

type registration struct {
	instance      lister.Instance
	lastHeartbeat time.Time
}

type change struct {
	at       time.Time
	id       string
	instance *lister.Instance // nil removes the instance
}

func newList() *list {
	return &list{
		createdAt: time.Now().UnixNano(),
		announced: make(map[string]registration),
		visible:   make(map[string]lister.Instance),
	}
}

func (list *list) announce(instance lister.Instance, now time.Time) {
	existing, ok := list.announced[instance.ID]
	list.announced[instance.ID] = registration{
		instance:      instance,
		lastHeartbeat: now,
	}
	if ok && existing.instance == instance {
		return
	}
	list.pending = append(list.pending, change{
		at:       now,
		id:       instance.ID,
		instance: &instance,
	})
}

func (list *list) withdraw(id string, now time.Time) {
	if _, ok := list.announced[id]; !ok {
		return
	}
	delete(list.announced, id)
	list.pending = append(list.pending, change{
		at: now,
		id: id,
	})
}

// applyDueChanges withdraws instances without a heartbeat for heartbeatTimeout, and makes visible the changes
// that are at least as old as lag.
func (list *list) applyDueChanges(now time.Time, heartbeatTimeout, lag time.Duration) {
	for id, registration := range list.announced {
		if now.Sub(registration.lastHeartbeat) >= heartbeatTimeout {
			list.withdraw(id, registration.lastHeartbeat.Add(heartbeatTimeout))
		}
	}
	for len(list.pending) > 0 && now.Sub(list.pending[0].at) >= lag {
		due := list.pending[0]
		list.pending = list.pending[1:]
		list.changeCount++
		list.rendered = nil
		if due.instance == nil {
			delete(list.visible, due.id)
			continue
		}
		list.visible[due.id] = *due.instance
	}
}

// validator returns the entity tag of the visible list. It holds the creation time, so that it does not repeat
// after a restart of the keeper.
func (list *list) validator() string {
	return fmt.Sprintf(`"%x-%x"`, list.createdAt, list.changeCount)
}

func (list *list) render() []byte {
	if list.rendered != nil {
		return list.rendered
	}
	instances := make([]lister.Instance, 0, len(list.visible))
	for _, instance := range list.visible {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(left, right lister.Instance) int {
		return strings.Compare(left.ID, right.ID)
	})
	list.rendered, _ = json.Marshal(instances)
	return list.rendered
}

func (keeper *Keeper) serveList(writer http.ResponseWriter, request *http.Request) {
	keeper.mutex.Lock()
	keeper.list.applyDueChanges(time.Now(), keeper.options.HeartbeatTimeout, keeper.faults.Lag.Duration)
	validator, body := keeper.list.validator(), keeper.list.render()
	unchanged := request.Header.Get("If-None-Match") == validator
	if unchanged {
		keeper.calls["Unchanged"]++
	} else {
		keeper.calls["List"]++
	}
	keeper.mutex.Unlock()
	writer.Header().Set("ETag", validator)
	if unchanged {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}

func (keeper *Keeper) serveAnnounce(writer http.ResponseWriter, request *http.Request) {
	var instance lister.Instance
	if !server.ReadJSON(writer, request, maxBodyBytes, &instance) {
		return
	}
	instance.ID = chi.URLParam(request, "id")
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.calls["Announce"]++
	keeper.list.announce(instance, time.Now())
	writer.WriteHeader(http.StatusNoContent)
}

func (keeper *Keeper) serveWithdraw(writer http.ResponseWriter, request *http.Request) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.calls["Withdraw"]++
	keeper.list.withdraw(chi.URLParam(request, "id"), time.Now())
	writer.WriteHeader(http.StatusNoContent)
}
