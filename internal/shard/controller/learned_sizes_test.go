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

// cluster is one controller with stand-in workers. Journal and network answer at once and never fail.
type cluster struct {
	t          *testing.T
	controller *Controller
	workers    map[descriptor.WorkerID]*worker.Worker
	nonce      uint64
}

func newCluster(t *testing.T, config *parser.Compiled, workers int, capacity descriptor.Resources) *cluster {
	cluster := &cluster{
		t:          t,
		controller: New("hof-0"),
		workers:    map[descriptor.WorkerID]*worker.Worker{},
	}
	var instances signaler.ListedWorkersChanged
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		cluster.workers[descriptor.WorkerID(id)] = worker.New(worker.Options{
			ID:       descriptor.WorkerID(id),
			Capacity: capacity,
		})
		instances.Workers = append(instances.Workers, lister.Instance{
			ID:      id,
			State:   lister.StateLive,
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	cluster.step(signaler.ConfigChanged{
		Config: config,
	})
	cluster.step(signaler.AuthorityChanged{
		Authority: signaler.AuthorityFull,
	})
	cluster.step(instances)
	cluster.step(signaler.Loaded{
		Epoch: 1,
	})
	return cluster
}

// step handles an event and all events that result from it.
func (cluster *cluster) step(event signaler.Event) {
	events := []signaler.Event{event}
	for len(events) > 0 {
		actions := cluster.controller.Step(time.Now(), events[0])
		events = events[1:]
		for _, action := range actions {
			switch action := action.(type) {
			case signaler.Append:
				events = append(events, signaler.Written{
					Token: action.Token,
				})
			case signaler.Sync:
				reply, err := cluster.workers[action.Worker].Sync(action.Request)
				if err != nil {
					cluster.t.Fatal(err)
				}
				events = append(events, signaler.Reported{
					Worker: action.Worker,
					Sent:   action.Sent,
					Report: reply,
				})
			case signaler.Halt:
				cluster.t.Fatal(action.Reason)
			}
		}
	}
}

func (cluster *cluster) submit(job descriptor.Job) descriptor.JobID {
	cluster.nonce++
	id := registrar.NewJobID("hof-0", &job, time.Now(), cluster.nonce)
	cluster.step(signaler.Accept{
		ID:  id,
		Job: job,
	})
	return id
}

// runUntilDone advances the time until all jobs have ended or the limit is reached, and returns the time
// that has passed.
func (cluster *cluster) runUntilDone(limit time.Duration) time.Duration {
	begin := time.Now()
	for time.Since(begin) < limit {
		<-time.After(250 * time.Millisecond)
		cluster.step(signaler.Tick{})
		remaining := 0
		for _, job := range cluster.controller.durable.Jobs {
			if !job.Ended() {
				remaining++
			}
		}
		if remaining == 0 {
			break
		}
	}
	return time.Since(begin)
}

// underdeclaredJob returns a job of one of twelve classes and its memory use. A third of the classes use
// 1.5 times their declared memory.
func underdeclaredJob(random *rand.Rand) (job descriptor.Job, use int64) {
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

// Guards against placing runs by declared memory once their actual use has been learned, which makes runs
// fail for lack of memory. The lower bound on the packing guards against allocating too much instead.
func TestDeclaredSizesTooLow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		capacity := descriptor.Resources{
			MilliCPU:    64_000,
			MemoryBytes: 64 * gigabyte,
		}
		cluster := newCluster(t, &parser.Compiled{}, 8, capacity)
		random := rand.New(rand.NewPCG(1, 2))
		uses := map[descriptor.JobID]int64{}
		for range 1500 {
			job, use := underdeclaredJob(random)
			uses[cluster.submit(job)] = use
		}
		duration := cluster.runUntilDone(time.Hour)
		begin := time.Now().Add(-duration)
		outOfMemory, lateOutOfMemory, usedByteSeconds, done := 0, 0, 0.0, 0
		for _, worker := range cluster.workers {
			for _, record := range worker.History() {
				if record.Reason == "out of memory" {
					outOfMemory++
					if record.Started.Sub(begin) > time.Minute {
						lateOutOfMemory++
					}
				}
				if record.Outcome == executor.OutcomeDone {
					done++
				}
				usedByteSeconds += float64(uses[record.Run.Job]) * record.Ended.Sub(record.Started).Seconds()
			}
		}
		packing := usedByteSeconds / (duration.Seconds() * float64(int64(len(cluster.workers))*capacity.MemoryBytes))
		t.Logf("%d jobs done, %d runs out of memory, packing %.3f, length %s", done, outOfMemory, packing, duration)
		if done != len(uses) {
			t.Errorf("%d of %d jobs are done", done, len(uses))
		}
		if lateOutOfMemory > 0 {
			t.Errorf("%d runs that started after the first minute ran out of memory, want none", lateOutOfMemory)
		}
		if packing < 0.85 {
			t.Errorf("the packing is %.3f, want at least 0.85", packing)
		}
	})
}

// Guards against losing the learned sizes in a takeover. The new owner would place runs by their declared
// sizes again.
func TestLearnedSizesSurviveTakeover(t *testing.T) {
	simulation := newSimulation(t, 1)
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
	simulation.submit(job)
	simulation.submit(job)
	for range 5 {
		simulation.round(simulation.owner())
	}
	for _, id := range sortedKeys(simulation.workers[0].running) {
		simulation.finishRun(simulation.workers[0], id, executor.OutcomeDone)
	}
	for range 5 {
		simulation.round(simulation.owner())
	}
	learned := simulation.owner().dispatcher.Estimates()
	simulation.records = simulation.owner().Snapshot()
	simulation.takeOver()
	for range 5 {
		simulation.round(simulation.owner())
	}
	next := simulation.owner().dispatcher.Estimates()
	if len(next) != 1 || next[0].Class != learned[0].Class || next[0].MemoryBytes != math.Ceil(learned[0].MemoryBytes) || next[0].MemoryBytes < 2000 {
		t.Errorf("the next owner has the estimates %+v, want %+v", next, learned)
	}
}
