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

// list is the instance list. Changes become visible when they are as old as the lag.
type list struct {
	start   int64
	current map[string]registration
	pending []change
	visible map[string]lister.Instance
	applied uint64
	// body is the rendered visible list, or nil when it is out of date.
	body []byte
}

type registration struct {
	instance lister.Instance
	heard    time.Time
}

type change struct {
	at       time.Time
	id       string
	instance *lister.Instance // nil removes the instance
}

func newList() *list {
	return &list{
		start:   time.Now().UnixNano(),
		current: make(map[string]registration),
		visible: make(map[string]lister.Instance),
	}
}

func (list *list) announce(instance lister.Instance, now time.Time) {
	known, ok := list.current[instance.ID]
	list.current[instance.ID] = registration{
		instance: instance,
		heard:    now,
	}
	if ok && known.instance == instance {
		return
	}
	list.pending = append(list.pending, change{
		at:       now,
		id:       instance.ID,
		instance: &instance,
	})
}

func (list *list) withdraw(id string, now time.Time) {
	if _, ok := list.current[id]; !ok {
		return
	}
	delete(list.current, id)
	list.pending = append(list.pending, change{
		at: now,
		id: id,
	})
}

// advance removes silent instances and makes the changes visible that are as old as lag.
func (list *list) advance(now time.Time, silence, lag time.Duration) {
	for id, registration := range list.current {
		if now.Sub(registration.heard) >= silence {
			list.withdraw(id, registration.heard.Add(silence))
		}
	}
	for len(list.pending) > 0 && now.Sub(list.pending[0].at) >= lag {
		change := list.pending[0]
		list.pending = list.pending[1:]
		list.applied++
		list.body = nil
		if change.instance == nil {
			delete(list.visible, change.id)
			continue
		}
		list.visible[change.id] = *change.instance
	}
}

// validator differs between all lists that the keeper, also after a restart, has shown.
func (list *list) validator() string {
	return fmt.Sprintf(`"%x-%x"`, list.start, list.applied)
}

func (list *list) render() []byte {
	if list.body != nil {
		return list.body
	}
	instances := make([]lister.Instance, 0, len(list.visible))
	for _, instance := range list.visible {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(left, right lister.Instance) int {
		return strings.Compare(left.ID, right.ID)
	})
	list.body, _ = json.Marshal(instances)
	return list.body
}

func (keeper *Keeper) serveList(writer http.ResponseWriter, request *http.Request) {
	keeper.mutex.Lock()
	keeper.list.advance(time.Now(), keeper.options.Silence, keeper.faults.Lag.Duration)
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
	if !server.Read(writer, request, bodyLimit, &instance) {
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
