package cell_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"pomelomoor/internal/cell/watcher"
	"pomelomoor/platform/standin"
)

const (
	// firstDivertedSeed is the first of the seeds with a store that turns single instances away or goes silent to them, and
	// with changes of the configuration.
	firstDivertedSeed = 401
	// configChangeInterval is the time between two changes, and configPause that after each third one.
	configChangeInterval = 600 * time.Millisecond
	configPause          = 2 * time.Second
	// configPollInterval is the time between two calls by which the configuration of an instance is observed.
	configPollInterval = 50 * time.Millisecond
)

// divertedFaults are injected beside faults from firstDivertedSeed on.
var divertedFaults = []fault{
	{"instance turned away with 429", atGate(standin.FaultBusy, "")},
	{"instance turned away with 503", atGate(standin.FaultRefused, "")},
	{"connections of an instance reset", atGate(standin.FaultReset, "")},
	{"store silent to an instance", atGate(standin.FaultDropped, "")},
	{"watches of an instance silent", atGate(standin.FaultDropped, standin.CallWatch)},
	{"open connections of an instance silent", onInstance(func(instance *instance, _ time.Duration) {
		instance.gate.Silence()
	})},
}

// atGate injects a fault into the calls of one instance to the store.
func atGate(fault standin.Fault, kind string) func(soak *soak, target int, duration time.Duration) {
	return onInstance(func(instance *instance, duration time.Duration) {
		instance.gate.SetFault(onCalls(fault, kind))
		watcher.Sleep(context.Background(), duration)
		instance.gate.SetFault(nil)
	})
}

// versionQueue returns the queue that only one version of the configuration has.
func versionQueue(version int) standin.Queue {
	return standin.Queue{
		Name:   fmt.Sprintf("version-%d", version),
		Prefix: fmt.Sprintf("/version-%d/", version),
	}
}

// configSoak changes the configuration and observes the version by which each instance decides.
type configSoak struct {
	soak *soak

	mutex sync.Mutex
	// version is the newest that has been sent.
	version int
}

func (configSoak *configSoak) newest() int {
	configSoak.mutex.Lock()
	defer configSoak.mutex.Unlock()
	return configSoak.version
}

func (configSoak *configSoak) run(stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for index := range configSoak.soak.cell.instances {
		group.Go(func() {
			configSoak.observe(index, stop)
		})
	}
	for {
		configSoak.mutex.Lock()
		configSoak.version++
		version := configSoak.version
		configSoak.mutex.Unlock()
		if configSoak.soak.keyed {
			configSoak.soak.cell.site.SetTenants(soakTenants(version)...)
		}
		if err := configSoak.soak.cell.site.Configure(plainQueue, advisedQueue, removedQueue, versionQueue(version)); err != nil {
			configSoak.soak.t.Error(err)
		}
		interval := configChangeInterval
		if version%3 == 0 {
			interval = configPause
		}
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
	}
}

// observe checks that an instance which has decided by a version does not go back behind it, whatever its faults.
func (configSoak *configSoak) observe(instance int, stop <-chan struct{}) {
	soak := configSoak.soak
	decided := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(configPollInterval):
		}
		version := configSoak.newest()
		status := soak.cell.callWithKey(soak.key(0), http.MethodGet, instance, versionQueue(version).Prefix, nil).status
		if soak.keyed && status == http.StatusOK {
			// The queue is that of the version, so its key has to be known as well.
			status = soak.cell.callWithKey(versionKey(version), http.MethodGet, instance, versionQueue(version).Prefix, nil).status
		}
		switch {
		case status == http.StatusOK:
			decided = version
		case (status == http.StatusNotFound || status == http.StatusUnauthorized) && decided == version && configSoak.newest() == version:
			soak.t.Errorf("instance %d no longer knows the queue or the key of version %d, the newest: status %d", instance, version, status)
		}
	}
}

// awaitNewest waits until each instance knows the key of the newest version, in the time in which it has to.
func (configSoak *configSoak) awaitNewest() {
	soak := configSoak.soak
	for index := range soak.cell.instances {
		soak.cell.await(configApplyTime, fmt.Sprintf("instance %d to know the newest key", index), func() bool {
			return soak.cell.callWithKey(versionKey(configSoak.newest()), http.MethodGet, index, plainQueue.Prefix, nil).status == http.StatusOK
		})
	}
}

// checkLastChange checks that a change after all faults is in force everywhere in time.
func (configSoak *configSoak) checkLastChange() {
	soak := configSoak.soak
	probes := slices.Clone(routeProbes)
	if soak.keyed {
		for index := range probes {
			probes[index].key = soak.key(0)
		}
		probes = append(probes,
			probe{
				path: plainQueue.Prefix,
				key:  addedKey,
				want: http.StatusOK,
			},
			probe{
				path: plainQueue.Prefix,
				key:  versionKey(configSoak.newest()),
				want: http.StatusUnauthorized,
			})
		// A refusal of the key would tell nothing before each instance has known it.
		configSoak.awaitNewest()
		soak.cell.site.SetTenants(lastSoakTenants()...)
	}
	if err := soak.cell.site.Configure(plainQueue, advisedQueue, addedQueue); err != nil {
		soak.t.Error(err)
	}
	acknowledged := time.Now()
	var callers sync.WaitGroup
	for index := range soak.cell.instances {
		callers.Go(func() {
			soak.cell.checkConfig(index, acknowledged, probes, http.StatusServiceUnavailable)
		})
	}
	callers.Wait()
}
