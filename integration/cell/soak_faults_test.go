package cell_test

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"pomelomoor/internal/cell/watcher"
	"pomelomoor/platform/standin"
)

// reserve marks an instance, a worker or the store as faulty. It returns false if another fault has it already.
func (soak *soak) reserve(name string) bool {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	if soak.faulty[name] {
		return false
	}
	soak.faulty[name] = true
	return true
}

func (soak *soak) release(name string) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	delete(soak.faulty, name)
}

// fault is a kind of fault that the test injects.
type fault struct {
	name   string
	inject func(soak *soak, target int, duration time.Duration)
}

// onInstance reserves an instance for the duration of a fault.
func onInstance(inject func(instance *instance, duration time.Duration)) func(soak *soak, target int, duration time.Duration) {
	return func(soak *soak, target int, duration time.Duration) {
		instance := soak.cell.instances[target%len(soak.cell.instances)]
		name := fmt.Sprintf("instance-%d", instance.index)
		if soak.reserve(name) {
			defer soak.release(name)
			inject(instance, duration)
		}
	}
}

// onWorker reserves a worker for the duration of a fault.
func onWorker(inject func(soak *soak, worker *standin.Worker, duration time.Duration)) func(soak *soak, target int, duration time.Duration) {
	return func(soak *soak, target int, duration time.Duration) {
		worker := soak.cell.site.Workers[target%len(soak.cell.site.Workers)]
		if soak.reserve(worker.ID) {
			defer soak.release(worker.ID)
			inject(soak, worker, duration)
		}
	}
}

// onStore injects a fault into calls to the store for a time.
func onStore(faultFor func(call string) standin.Fault) func(soak *soak, target int, duration time.Duration) {
	return func(soak *soak, _ int, duration time.Duration) {
		if soak.reserve("store") {
			defer soak.release("store")
			soak.cell.site.Store.SetFault(faultFor)
			watcher.Sleep(context.Background(), duration)
			soak.cell.site.Store.SetFault(nil)
		}
	}
}

var faults = []fault{
	{"instance killed", onInstance(func(instance *instance, duration time.Duration) {
		instance.kill(syscall.SIGKILL)
		watcher.Sleep(context.Background(), duration/2)
		instance.start()
	})},
	{"instance stopped", onInstance(func(instance *instance, _ time.Duration) {
		instance.kill(syscall.SIGTERM)
		instance.start()
	})},
	{"instance paused", onInstance(func(instance *instance, duration time.Duration) {
		instance.signal(syscall.SIGSTOP, false)
		watcher.Sleep(context.Background(), duration)
		instance.signal(syscall.SIGCONT, false)
	})},
	{"settings reloaded", onInstance(func(instance *instance, _ time.Duration) {
		// A signal that arrives before the process has installed its handler would end the process.
		instance.awaitListening()
		instance.signal(syscall.SIGHUP, false)
	})},
	{"instance disconnected from the store", onInstance(func(instance *instance, duration time.Duration) {
		instance.store.Cut()
		watcher.Sleep(context.Background(), duration)
		instance.store.Heal()
	})},
	{"responses of the store lost for one instance", onInstance(func(instance *instance, duration time.Duration) {
		instance.store.LoseResponses()
		watcher.Sleep(context.Background(), duration)
		instance.store.Heal()
	})},
	{"store slow for one instance", onInstance(func(instance *instance, duration time.Duration) {
		instance.store.Slow(200 * time.Millisecond)
		watcher.Sleep(context.Background(), duration)
		instance.store.Heal()
	})},
	{"worker disconnected", onWorker(func(soak *soak, worker *standin.Worker, duration time.Duration) {
		soak.cell.links[worker.ID].Cut()
		watcher.Sleep(context.Background(), duration)
		soak.cell.links[worker.ID].Heal()
	})},
	{"responses of a worker lost", onWorker(func(soak *soak, worker *standin.Worker, duration time.Duration) {
		soak.cell.links[worker.ID].LoseResponses()
		watcher.Sleep(context.Background(), duration)
		soak.cell.links[worker.ID].Heal()
	})},
	{"worker restarted", onWorker(func(soak *soak, worker *standin.Worker, _ time.Duration) {
		worker.Restart()
		soak.cell.site.Register(worker)
	})},
	{"worker silent", onWorker(func(_ *soak, worker *standin.Worker, duration time.Duration) {
		worker.SetSilent(true)
		watcher.Sleep(context.Background(), duration)
		worker.SetSilent(false)
	})},
	{"store refuses calls", onStore(func(string) standin.Fault {
		return standin.FaultRefused
	})},
	{"store drops calls", onStore(func(string) standin.Fault {
		return standin.FaultDropped
	})},
	{"responses to writes lost", onStore(standin.LoseWriteAnswers(3))},
	{"store history compacted", func(soak *soak, _ int, _ time.Duration) {
		soak.cell.site.Store.Compact()
	}},
	{"all instances killed", func(soak *soak, _ int, duration time.Duration) {
		for _, instance := range soak.cell.instances {
			name := fmt.Sprintf("instance-%d", instance.index)
			if soak.reserve(name) {
				instance.kill(syscall.SIGKILL)
				defer func() {
					instance.start()
					soak.release(name)
				}()
			}
		}
		watcher.Sleep(context.Background(), duration/4)
	}},
}
