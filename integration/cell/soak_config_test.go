package cell_test

import (
	"context"
	"fmt"
	"net/http"
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
	decided := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(configPollInterval):
		}
		version := configSoak.newest()
		status, _ := configSoak.soak.cell.call(http.MethodGet, instance, versionQueue(version).Prefix, nil)
		switch {
		case status == http.StatusOK:
			decided = version
		case status == http.StatusNotFound && decided == version && configSoak.newest() == version:
			configSoak.soak.t.Errorf("instance %d no longer knows the queue of version %d, the newest", instance, version)
		}
	}
}

// checkLastChange checks that a change after all faults is in force everywhere in time.
func (configSoak *configSoak) checkLastChange() {
	cell := configSoak.soak.cell
	if err := cell.site.Configure(plainQueue, advisedQueue, addedQueue); err != nil {
		configSoak.soak.t.Error(err)
	}
	acknowledged := time.Now()
	var callers sync.WaitGroup
	for index := range cell.instances {
		callers.Go(func() {
			cell.checkConfig(index, acknowledged, routeProbes, http.StatusServiceUnavailable)
		})
	}
	callers.Wait()
}
