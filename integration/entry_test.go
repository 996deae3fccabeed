package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/trial/interrupter"
	"pomelomoor/internal/work/descriptor"
)

const callLimit = 20 * time.Second

// entry is an entry instance with its own links to the store, to each worker and from its peers.
type entry struct {
	*process
	cell  *cell
	id    string
	http  netip.AddrPort
	peer  *interrupter.Link
	store *interrupter.Link
	// announcer puts the instance on the list as the platform does; silence ends that.
	announcer *lister.Announcer
	silence   func()
	withdraw  func()
	paused    atomic.Bool

	mutex   sync.Mutex
	workers map[string]*interrupter.Link
}

// startEntry starts one more instance. Its links can be prepared before.
func (cell *cell) startEntry(prepare ...func(entry *entry)) *entry {
	cell.t.Helper()
	cell.mutex.Lock()
	cell.started++
	id := "entry-" + strconv.Itoa(cell.started)
	cell.mutex.Unlock()
	relay := lasting[*interrupter.Relay](cell.t)(interrupter.NewRelay())
	entry := &entry{
		cell:    cell,
		id:      id,
		peer:    lasting[*interrupter.Link](cell.t)(interrupter.NewLink(id+"-peer", relay.Address())),
		store:   lasting[*interrupter.Link](cell.t)(interrupter.NewLink(id+"-store", cell.store.address)),
		workers: map[string]*interrupter.Link{},
	}
	for _, change := range prepare {
		change(entry)
	}
	settings := cell.settings()
	settings.ID = id
	settings.Advertise = entry.peer.Address()
	settings.Store = []netip.AddrPort{entry.store.Address()}
	settings.List = entry.serveList()
	var banner struct {
		HTTP netip.AddrPort
		Peer netip.AddrPort
	}
	entry.process = startProcess(cell.t, id, &banner, pomelomoor, "entry", "--settings", cell.writeSettings(settings))
	entry.http = banner.HTTP
	relay.SetTarget(banner.Peer)
	entry.announce()
	cell.mutex.Lock()
	cell.entries = append(cell.entries, entry)
	cell.mutex.Unlock()
	return entry
}

// announce keeps the instance on the platform's list until its process ends.
func (entry *entry) announce() {
	client := lasting[*lister.Client](entry.t)(lister.New([]netip.AddrPort{entry.cell.store.address}, lister.Options{}))
	instance := lister.Instance{
		ID:      entry.id,
		Role:    lister.RoleEntry,
		State:   lister.StateLive,
		Address: entry.peer.Address(),
		Place: descriptor.Place{
			Region: region,
			Site:   site,
		},
	}
	announcer, stop := lister.StartAnnouncing(client, instance, 500*time.Millisecond)
	entry.announcer = announcer
	entry.silence = sync.OnceFunc(stop)
	entry.withdraw = func() {
		entry.silence()
		_ = client.Withdraw(context.Background(), entry.id)
	}
	entry.t.Cleanup(entry.silence)
}

// pause stops the process until resume; callers that go through a balancer do not meet it meanwhile.
func (entry *entry) pause() {
	entry.paused.Store(true)
	entry.Pause()
}

func (entry *entry) resume() {
	entry.Resume()
	entry.paused.Store(false)
}

// kill ends the process and its heartbeat, as when the instance fails.
func (entry *entry) kill() {
	entry.Kill()
	entry.silence()
}

// serveList passes the platform's list on with the addresses of this instance's links to the workers.
func (entry *entry) serveList() netip.AddrPort {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{
		Scheme: "http",
		Host:   entry.cell.store.address.String(),
	})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	proxy.ModifyResponse = func(response *http.Response) error {
		if response.StatusCode != http.StatusOK {
			return nil
		}
		var instances []lister.Instance
		if err := json.NewDecoder(response.Body).Decode(&instances); err != nil {
			return err
		}
		for i := range instances {
			if instances[i].Role == lister.RoleWorker {
				instances[i].Address = entry.link(instances[i]).Address()
			}
		}
		body, err := json.Marshal(instances)
		if err != nil {
			return err
		}
		response.Body = io.NopCloser(bytes.NewReader(body))
		response.ContentLength = int64(len(body))
		response.Header.Set("Content-Length", strconv.Itoa(len(body)))
		return nil
	}
	server := httptest.NewServer(proxy)
	entry.cell.t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// link returns the proxy to a worker at its address.
func (entry *entry) link(instance lister.Instance) *interrupter.Link {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	key := instance.ID + " " + instance.Address.String()
	known := entry.workers[key]
	if known == nil {
		known = lasting[*interrupter.Link](entry.cell.t)(interrupter.NewLink(entry.id+"-"+instance.ID, instance.Address))
		entry.workers[key] = known
	}
	return known
}

// to returns the proxy between the instance and a worker that it knows.
func (entry *entry) to(worker *node) *interrupter.Link {
	entry.t.Helper()
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	known := entry.workers[worker.id+" "+worker.address.String()]
	if known == nil {
		entry.t.Fatalf("%s does not know %s", entry.id, worker.id)
	}
	return known
}

// client calls this instance only.
func (entry *entry) client() *caller.Client {
	return &caller.Client{
		Servers: []string{entry.http.String()},
		Timeout: callLimit,
	}
}

// once calls this instance and does not repeat calls.
func (entry *entry) once() *caller.Client {
	client := entry.client()
	client.Attempts = 1
	return client
}

// client calls all live instances that are not paused in turn.
func (cell *cell) client() *caller.Client {
	var servers []string
	for _, entry := range cell.live() {
		if !entry.paused.Load() {
			servers = append(servers, entry.http.String())
		}
	}
	return &caller.Client{
		Servers: servers,
		Timeout: callLimit,
	}
}

func (entry *entry) awaitReady() {
	entry.t.Helper()
	await(entry.t, startLimit, entry.id+" is ready", func() error {
		return entry.once().Ready(context.Background())
	})
}

// view returns the instances that this one knows, and nothing when it does not answer.
func (entry *entry) view() []presenter.Instance {
	if entry.paused.Load() {
		return nil
	}
	client := entry.once()
	client.Timeout = time.Second
	instances, err := client.Instances(context.Background())
	if err != nil {
		return nil
	}
	return instances
}

// knows waits until the instance counts as many others as live.
func (entry *entry) awaitMembers(count int) {
	entry.t.Helper()
	await(entry.t, recoveryLimit, entry.id+" knows its peers", func() error {
		live := 0
		for _, known := range entry.view() {
			if known.State == "Live" {
				live++
			}
		}
		if live != count {
			return fmt.Errorf("%d live instances instead of %d", live, count)
		}
		return nil
	})
}
