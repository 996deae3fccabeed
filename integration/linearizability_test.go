package integration_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/work/descriptor"
)

// Numbers of concurrent callers in a trial. One additional caller per instance reads its configuration.
const (
	submitters    = 5
	statusReaders = 2
	cancellers    = 1
	operators     = 2
	requesters    = 3
)

const (
	// trialCallTimeout is short, so that calls to a paused instance end with an uncertain outcome.
	trialCallTimeout = 2 * time.Second
	readInterval     = 50 * time.Millisecond
	// settleTimeout covers the leases of tasks on lost workers.
	settleTimeout = 70 * time.Second
)

// trial is one run of concurrent callers with random faults.
type trial struct {
	t        *testing.T
	cell     *cell
	seed     uint64
	recorder *recorder
	ctx      context.Context
	group    sync.WaitGroup

	mutex        sync.Mutex
	client       int
	keys         []string
	jobs         []descriptor.JobID
	acceptedKeys map[string]bool
	outcomes     []outcome
}

// Guards against responses to callers and runs on workers and runners that no correct system could produce, under
// random combinations of faults (I1 to I6 and I8).
func TestHistoriesUnderRandomFaults(t *testing.T) {
	seed := chooseSeed(t)
	t.Logf("%s=%d", seedVariable, seed)
	cell := newCell(t, options{
		Entries: 4,
		Workers: 5,
		Runners: 3,
	})
	for _, entry := range cell.live() {
		entry.awaitMembers(4)
	}
	ctx, stop := context.WithCancel(context.Background())
	trial := &trial{
		t:            t,
		cell:         cell,
		seed:         seed,
		recorder:     newRecorder(),
		ctx:          ctx,
		acceptedKeys: map[string]bool{},
	}
	reading, stopReading := context.WithCancel(context.Background())
	var readers sync.WaitGroup
	startReader := func(entry *entry) {
		client := trial.nextClient()
		readers.Go(func() {
			trial.readConfig(reading, client, entry)
		})
	}
	t.Cleanup(func() {
		stop()
		stopReading()
		trial.group.Wait()
		readers.Wait()
	})
	for _, entry := range cell.live() {
		startReader(entry)
	}
	trial.startCallers()
	nemesis := &nemesis{
		cell:         cell,
		historyStart: trial.recorder.Start(),
		onStart:      startReader,
	}
	nemesis.run(planFaults(newRandom(seed, "nemesis"), len(faults)))
	nemesis.logf("all faults are healed")
	stop()
	trial.group.Wait()
	cell.awaitOwner()
	trial.settle()
	stopReading()
	readers.Wait()
	notes := fmt.Sprintf("%s=%d\n%s", seedVariable, seed, nemesis.log.String())
	trial.checkAll(notes)
	if t.Failed() {
		t.Logf("faults:\n%s", notes)
	}
}

func (trial *trial) nextClient() int {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.client++
	return trial.client
}

func (trial *trial) startCallers() {
	for _, kind := range []struct {
		count int
		pause time.Duration
		call  func(client int, random *rand.Rand)
	}{
		{submitters, 120 * time.Millisecond, trial.submit},
		{statusReaders, 25 * time.Millisecond, trial.readRecentStatus},
		{cancellers, 400 * time.Millisecond, trial.cancel},
		{operators, 400 * time.Millisecond, trial.apply},
		{requesters, 30 * time.Millisecond, trial.request},
	} {
		for range kind.count {
			client := trial.nextClient()
			random := newRandom(trial.seed, fmt.Sprintf("client-%d", client))
			trial.group.Go(func() {
				for trial.ctx.Err() == nil {
					kind.call(client, random)
					_ = caller.Sleep(trial.ctx, randomDuration(random, kind.pause/2, 3*kind.pause/2))
				}
			})
		}
	}
}

// entry returns a client of a random live instance, which may be paused or disconnected.
func (trial *trial) entry(random *rand.Rand) *caller.Client {
	live := trial.cell.live()
	client := live[random.IntN(len(live))].clientWithoutRetries()
	client.Timeout = trialCallTimeout
	return client
}

// outcomeOf returns the outcome of a call that can have an effect.
func outcomeOf(err error) string {
	var problem *descriptor.Problem
	switch {
	case err == nil:
		return accepted
	case !errors.As(err, &problem):
		return uncertain
	case problem.Code == descriptor.CodeKeyConflict, problem.Code == descriptor.CodeConflict, problem.Code == descriptor.CodeNotFound:
		return conflict
	case presenter.GuaranteesNotRun(problem.Code):
		return refused
	default:
		return uncertain
	}
}

// returnTime returns the current time, or the zero time for an operation that may take effect later.
func returnTime(outcome string) time.Time {
	if outcome == uncertain {
		return time.Time{}
	}
	return time.Now()
}

// job returns one of several descriptions of the job with a key. They differ in the job's name.
func (trial *trial) job(key string, variant int) descriptor.Job {
	random := newRandom(trial.seed, key)
	job := batch(key, 1+random.IntN(2), coresWithMemory(1), randomDuration(random, 100*time.Millisecond, 700*time.Millisecond))
	job.Idempotent = random.IntN(2) == 0
	job.Name = fmt.Sprintf("%s-%d", key, variant)
	return job
}

// newRandom returns a random generator for one caller. The seed is hashed, because generators with similar seeds start
// with similar values.
func newRandom(seed uint64, stream string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(fmt.Sprintf("%s-%d", stream, seed))))
}

func (trial *trial) submit(client int, random *rand.Rand) {
	trial.mutex.Lock()
	key := fmt.Sprintf("key-%d", len(trial.keys))
	if len(trial.keys) > 0 && random.IntN(2) == 0 {
		key = trial.keys[len(trial.keys)-1-random.IntN(min(8, len(trial.keys)))]
	} else {
		trial.keys = append(trial.keys, key)
	}
	trial.mutex.Unlock()
	variant := 0
	if random.IntN(6) == 0 {
		variant = 1
	}
	trial.submitTo(client, trial.entry(random), trial.job(key, variant))
}

func (trial *trial) submitTo(client int, server *caller.Client, job descriptor.Job) string {
	start := time.Now()
	status, created, err := server.Submit(context.Background(), job)
	outcome := outcomeOf(err)
	trial.recorder.Add("submissions", client, start, returnTime(outcome), submission{
		Key:         job.Key,
		Description: job.Name,
	}, submissionResponse{
		Outcome: outcome,
		Job:     status.ID,
		Created: created,
	})
	if outcome != accepted {
		return outcome
	}
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.acceptedKeys[job.Key] = true
	for _, known := range trial.jobs {
		if known == status.ID {
			return outcome
		}
	}
	trial.jobs = append(trial.jobs, status.ID)
	return outcome
}

// recentJob returns one of the 24 jobs that were accepted last.
func (trial *trial) recentJob(random *rand.Rand) (descriptor.JobID, bool) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	if len(trial.jobs) == 0 {
		return "", false
	}
	return trial.jobs[len(trial.jobs)-1-random.IntN(min(24, len(trial.jobs)))], true
}

func (trial *trial) readRecentStatus(client int, random *rand.Rand) {
	if id, ok := trial.recentJob(random); ok {
		_, _ = trial.readStatus(client, trial.entry(random), id)
	}
}

// readStatus reads the status of an accepted job from an instance and records it.
func (trial *trial) readStatus(client int, server *caller.Client, id descriptor.JobID) (descriptor.JobStatus, error) {
	start := time.Now()
	status, err := server.Status(context.Background(), id, true)
	outcome := outcomeOf(err)
	if outcome == refused || outcome == uncertain {
		return status, err
	}
	trial.addFate(client, start, statusCall, outcome, id, status)
	if outcome == accepted {
		now := time.Now()
		trial.recorder.Add("submissions", client, now, now, submission{
			Key:         status.Job.Key,
			Description: status.Job.Name,
		}, submissionResponse{
			Outcome: observed,
			Job:     id,
		})
	}
	return status, err
}

func (trial *trial) addFate(client int, start time.Time, call, outcome string, id descriptor.JobID, status descriptor.JobStatus) {
	response := jobResponse{
		Outcome: outcome,
		Fate:    status.Fate,
	}
	input := jobCall{
		Job:  id,
		Call: call,
	}
	trial.recorder.Add("fates", client, start, returnTime(outcome), input, response)
	// The response to a cancellation has no trail and therefore no term.
	if call != statusCall || outcome != accepted {
		return
	}
	for _, decision := range status.Trail {
		switch decision.Code {
		case "Recovered":
			response.Term, response.Lost = decision.Text, false
		case "Lost":
			response.Lost = true
		}
	}
	trial.recorder.Add("progress", client, start, time.Now(), input, response)
}

func (trial *trial) cancel(client int, random *rand.Rand) {
	id, ok := trial.recentJob(random)
	if !ok {
		return
	}
	start := time.Now()
	status, err := trial.entry(random).Cancel(context.Background(), id)
	trial.addFate(client, start, cancelCall, outcomeOf(err), id, status)
}
