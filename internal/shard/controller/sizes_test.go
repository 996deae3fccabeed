package controller

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/shard/registrar"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

const gigabyte = int64(1) << 30

// plant is one owner with stand-in workers. Its journal and its network are perfect.
type plant struct {
	t          *testing.T
	controller *Controller
	workers    map[descriptor.WorkerID]*worker.Worker
	nonce      uint64
}

func newPlant(t *testing.T, config *parser.Compiled, workers int, capacity descriptor.Resources) *plant {
	plant := &plant{
		t:          t,
		controller: New("hof-0"),
		workers:    map[descriptor.WorkerID]*worker.Worker{},
	}
	var listed signaler.InstancesChanged
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		plant.workers[descriptor.WorkerID(id)] = worker.New(worker.Options{
			ID:       descriptor.WorkerID(id),
			Capacity: capacity,
		})
		listed.Workers = append(listed.Workers, lister.Instance{
			ID:      id,
			State:   lister.StateLive,
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	plant.step(signaler.ConfigChanged{
		Config: config,
	})
	plant.step(signaler.AuthorityChanged{
		Authority: signaler.AuthorityAct,
	})
	plant.step(listed)
	plant.step(signaler.Loaded{
		Epoch: 1,
	})
	return plant
}

// step handles an event and everything that follows from it at once.
func (plant *plant) step(event signaler.Event) {
	events := []signaler.Event{event}
	for len(events) > 0 {
		actions := plant.controller.Step(time.Now(), events[0])
		events = events[1:]
		for _, action := range actions {
			switch action := action.(type) {
			case signaler.Append:
				events = append(events, signaler.Written{
					Token: action.Token,
				})
			case signaler.Sync:
				reply, err := plant.workers[action.Worker].Sync(action.Request)
				if err != nil {
					plant.t.Fatal(err)
				}
				events = append(events, signaler.Reported{
					Worker: action.Worker,
					Sent:   action.Sent,
					Reply:  reply,
				})
			case signaler.Halt:
				plant.t.Fatal(action.Reason)
			}
		}
	}
}

func (plant *plant) submit(job descriptor.Job) descriptor.JobID {
	plant.nonce++
	id := registrar.NewJobID("hof-0", &job, time.Now(), plant.nonce)
	plant.step(signaler.Accept{
		ID:  id,
		Job: job,
	})
	return id
}

// run lets time pass until all jobs have ended and returns how long that took.
func (plant *plant) run(limit time.Duration) time.Duration {
	begin := time.Now()
	for time.Since(begin) < limit {
		<-time.After(250 * time.Millisecond)
		plant.step(signaler.Tick{})
		left := 0
		for _, job := range plant.controller.durable.Jobs {
			if !job.Ended() {
				left++
			}
		}
		if left == 0 {
			break
		}
	}
	return time.Since(begin)
}

// oversized returns a job of one of twelve classes, a third of which use 1.5 times what they declare.
func oversized(random *rand.Rand) (job descriptor.Job, use int64) {
	class := random.IntN(12)
	declared := int64(2+class/3) * gigabyte
	use = declared
	if class%3 == 0 {
		use += declared / 2
	}
	return descriptor.Job{
		Name:           fmt.Sprintf("class-%d", class),
		Caller:         "yard",
		Kind:           descriptor.KindBatch,
		Idempotent:     true,
		Checkpointable: class%2 == 0,
		Task: descriptor.Resources{
			MilliCPU:    1000,
			MemoryBytes: declared,
		},
		Payload: fmt.Sprintf(`{"RunTime":"%ds","UseAfter":"5s","Use":{"MilliCPU":1000,"MemoryBytes":%d}}`, 20+random.IntN(40), use),
	}, use
}

// Guards against workers that are filled by declared sizes although the real ones are known: their
// runs fail for lack of memory. Too large reservations would show in the packing.
func TestDeclaredSizesTooLow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		capacity := descriptor.Resources{
			MilliCPU:    64_000,
			MemoryBytes: 64 * gigabyte,
		}
		plant := newPlant(t, &parser.Compiled{}, 8, capacity)
		random := rand.New(rand.NewPCG(1, 2))
		uses := map[descriptor.JobID]int64{}
		for range 1500 {
			job, use := oversized(random)
			uses[plant.submit(job)] = use
		}
		length := plant.run(time.Hour)
		begin := time.Now().Add(-length)
		outOfMemory, late, used, done := 0, 0, 0.0, 0
		for _, worker := range plant.workers {
			for _, record := range worker.History() {
				if record.Reason == "out of memory" {
					outOfMemory++
					if record.Started.Sub(begin) > time.Minute {
						late++
					}
				}
				if record.Outcome == executor.OutcomeDone {
					done++
				}
				used += float64(uses[record.Run.Job]) * record.Ended.Sub(record.Started).Seconds()
			}
		}
		packing := used / (length.Seconds() * float64(int64(len(plant.workers))*capacity.MemoryBytes))
		t.Logf("%d jobs done, %d runs out of memory, packing %.3f, length %s", done, outOfMemory, packing, length)
		if done != len(uses) {
			t.Errorf("%d of %d jobs are done", done, len(uses))
		}
		if late > 0 {
			t.Errorf("%d runs ended for lack of memory after the first minute, want none", late)
		}
		if packing < 0.85 {
			t.Errorf("the packing is %.3f, want at least 0.85", packing)
		}
	})
}

// Guards against a new owner that fills workers by declared sizes again although the last one knew better.
func TestLearnedSizesSurviveTakeover(t *testing.T) {
	world := newWorld(t, 1)
	job := descriptor.Job{
		Name:       "job",
		Caller:     "yard \"one\"",
		Kind:       descriptor.KindBatch,
		Idempotent: true,
		Task: descriptor.Resources{
			MilliCPU:    1000,
			MemoryBytes: 100,
		},
	}
	world.submit(job)
	world.submit(job)
	for range 5 {
		world.round(world.owner())
	}
	for _, id := range sortedKeys(world.workers[0].running) {
		world.finish(world.workers[0], id, executor.OutcomeDone)
	}
	for range 5 {
		world.round(world.owner())
	}
	learned := world.owner().dispatcher.Estimates()
	world.records = world.owner().Snapshot()
	world.takeOver()
	for range 5 {
		world.round(world.owner())
	}
	next := world.owner().dispatcher.Estimates()
	if len(next) != 1 || next[0].Class != learned[0].Class || next[0].MemoryBytes != math.Ceil(learned[0].MemoryBytes) || next[0].MemoryBytes < 2000 {
		t.Errorf("the next owner knows %+v, want %+v", next, learned)
	}
}
