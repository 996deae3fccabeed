package integration_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/work/descriptor"
)

// apply replaces the configuration that some instance states.
func (trial *trial) apply(client int, random *rand.Rand) {
	base, err := trial.entry(random).Config(context.Background())
	if err != nil {
		return
	}
	begun := time.Now()
	name := fmt.Sprintf("operator-%d-%d", client, begun.UnixNano())
	applied, err := trial.entry(random).Apply(context.Background(), base.Revision, policy(name), time.Second)
	result := changed{
		Outcome:  outcomeOf(err),
		Revision: applied.Revision,
	}
	var refusal *presenter.Conflict
	if errors.As(err, &refusal) {
		result.Revision = refusal.Current.Revision
	}
	returned := end(result.Outcome)
	trial.recorder.Add("configuration", client, begun, returned, change{
		Call:  applyCall,
		Base:  base.Revision,
		Value: name,
	}, result)
	if result.Outcome != accepted {
		return
	}
	floor := returned.Add(staleLimit)
	if len(applied.Waiting) == 0 {
		floor = returned
	}
	trial.recorder.Add("configuration", client, floor, floor, change{
		Call: floorEvent,
	}, result)
}

// read records the configuration of a ready instance until ctx ends.
func (trial *trial) read(ctx context.Context, client int, entry *entry) {
	ticker := time.NewTicker(readPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-entry.Ended():
			return
		case <-ticker.C:
		}
		server := entry.once()
		server.Timeout = trialCallLimit
		if server.Ready(ctx) != nil {
			continue
		}
		begun := time.Now()
		config, err := server.Config(ctx)
		if err != nil {
			continue
		}
		value := ""
		if len(config.Document.Policies) > 0 {
			value = config.Document.Policies[0].Name
		}
		trial.recorder.Add("configuration", client, begun, time.Now(), change{
			Call:     readCall,
			Instance: entry.id,
		}, changed{
			Revision: config.Revision,
			Value:    value,
		})
	}
}

// request sends an interactive request. The runners' histories are compared with its outcome.
func (trial *trial) request(client int, random *rand.Rand) {
	ask := ask{
		key:        fmt.Sprintf("request-%d-%d", client, time.Now().UnixNano()),
		takes:      between(random, 5*time.Millisecond, 60*time.Millisecond),
		limit:      trialCallLimit,
		idempotent: random.IntN(2) == 0,
	}
	outcome := ask.send(trial.t, trial.entry(random))
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.outcomes = append(trial.outcomes, outcome)
}

// settle waits for the fates of all jobs, asks for them at every instance, and looks for effects of
// submissions that were not accepted.
func (trial *trial) settle() {
	client := trial.nextClient()
	random := newRandom(trial.seed, "settle")
	for _, key := range trial.keys {
		if trial.handled[key] {
			continue
		}
		// A third description meets a conflict only if an earlier submission has taken effect.
		await(trial.t, recoveryLimit, "submission of "+key, func() error {
			if outcome := trial.submitTo(client, trial.entry(random), trial.job(key, 2)); outcome != accepted && outcome != conflict {
				return errors.New(outcome)
			}
			return nil
		})
	}
	begun := time.Now()
	for _, id := range trial.jobs {
		await(trial.t, max(time.Second, settleLimit-time.Since(begun)), "final fate of "+string(id), func() error {
			return trial.settled(trial.askFor(client, trial.entry(random), id))
		})
	}
	for _, entry := range trial.cell.live() {
		for _, id := range trial.jobs {
			_, _ = trial.askFor(client, entry.client(), id)
		}
	}
}

func (trial *trial) settled(status descriptor.JobStatus, err error) error {
	var problem *descriptor.Problem
	switch {
	case errors.As(err, &problem) && problem.Code == descriptor.CodeNotFound:
		// An error of the model of fates.
		return nil
	case err != nil:
		return err
	case !final(status.Fate) && status.Fate.Fate != "Unknown":
		return fmt.Errorf("it is %s: %s; trail %v", status.Fate.Fate, status.Fate.Reason, status.Trail)
	}
	return nil
}

// checkAll adds the workers' histories and checks everything that was recorded.
func (trial *trial) checkAll(notes string) {
	records := trial.cell.history()
	idempotent := map[descriptor.JobID]bool{}
	client := trial.nextClient()
	var states []descriptor.JobStatus
	for _, record := range records {
		id := record.Run.Job
		if _, known := idempotent[id]; !known {
			status := trial.cell.status(id)
			states = append(states, status)
			idempotent[id] = status.Job.Idempotent
			trial.recorder.Add("submissions", client, record.Started, record.Started, submission{
				Key:         status.Job.Key,
				Description: status.Job.Name,
			}, submitted{
				Outcome: seen,
				Job:     id,
			})
		}
		trial.recorder.Add("fates", client, record.Started, record.Started, question{
			Job:  id,
			Call: startEvent,
		}, told{})
	}
	trial.recorder.addRuns(records, func(id descriptor.JobID) bool {
		return idempotent[id]
	})
	checkNotRun(trial.t, states, records)
	checkRequests(trial.t, trial.outcomes, trial.cell.runs())
	trial.recorder.Replace("configuration", withoutIdle(trial.recorder.Operations("configuration")))
	for _, judged := range []struct {
		name  string
		model porcupine.Model
	}{
		{"submissions", submissionModel},
		{"fates", fateModel},
		{"progress", progressModel},
		{"configuration", configModel},
		{"runs", runModel},
		{"epochs", epochModel},
	} {
		trial.recorder.check(trial.t, judged.name, judged.model, notes)
	}
	trial.report(states)
}

// report logs what became of the calls, so that a trial without work is noticed.
func (trial *trial) report(states []descriptor.JobStatus) {
	fates, requests, applies := map[string]int{}, map[string]int{}, map[string]int{}
	for _, operation := range trial.recorder.Operations("configuration") {
		if operation.Input.(change).Call == applyCall {
			applies[operation.Output.(changed).Outcome]++
		}
	}
	for _, state := range states {
		fates[state.Fate.Fate]++
	}
	for _, outcome := range trial.outcomes {
		requests[string(outcome.code())]++
	}
	trial.t.Logf("%d keys, %d accepted jobs, fates of started jobs %v, requests by code %v, applies %v",
		len(trial.keys), len(trial.jobs), fates, requests, applies)
	if len(states) == 0 || requests[""] == 0 || applies[accepted] == 0 {
		trial.t.Error("no job was started, no request was answered or no configuration was applied")
	}
}
