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

// apply replaces the configuration that one instance reports, through another instance, and records the outcome.
func (trial *trial) apply(client int, random *rand.Rand) {
	base, err := trial.entry(random).Config(context.Background())
	if err != nil {
		return
	}
	start := time.Now()
	name := fmt.Sprintf("operator-%d-%d", client, start.UnixNano())
	applied, err := trial.entry(random).Apply(context.Background(), base.Revision, configNamed(name), time.Second)
	result := configResponse{
		Outcome:  outcomeOf(err),
		Revision: applied.Revision,
	}
	var refusal *presenter.Conflict
	if errors.As(err, &refusal) {
		result.Revision = refusal.Current.Revision
	}
	returned := returnTime(result.Outcome)
	trial.recorder.Add("configuration", client, start, returned, configCall{
		Call:  applyCall,
		Base:  base.Revision,
		Value: name,
	}, result)
	if result.Outcome != accepted {
		return
	}
	deadline := returned.Add(maxStaleness)
	if len(applied.Waiting) == 0 {
		deadline = returned
	}
	trial.recorder.Add("configuration", client, deadline, deadline, configCall{
		Call: floorEvent,
	}, result)
}

// readConfig reads and records the configuration of an instance, while the instance is ready, until ctx ends.
func (trial *trial) readConfig(ctx context.Context, client int, entry *entry) {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-entry.Ended():
			return
		case <-ticker.C:
		}
		server := entry.clientWithoutRetries()
		server.Timeout = trialCallTimeout
		if server.Ready(ctx) != nil {
			continue
		}
		start := time.Now()
		config, err := server.Config(ctx)
		if err != nil {
			continue
		}
		value := ""
		if len(config.Document.Policies) > 0 {
			value = config.Document.Policies[0].Name
		}
		trial.recorder.Add("configuration", client, start, time.Now(), configCall{
			Call:     readCall,
			Instance: entry.id,
		}, configResponse{
			Revision: config.Revision,
			Value:    value,
		})
	}
}

// request sends an interactive request and records its outcome, which checkAll compares with the runners' records.
func (trial *trial) request(client int, random *rand.Rand) {
	request := request{
		key:         fmt.Sprintf("request-%d-%d", client, time.Now().UnixNano()),
		serviceTime: randomDuration(random, 5*time.Millisecond, 60*time.Millisecond),
		timeout:     trialCallTimeout,
		idempotent:  random.IntN(2) == 0,
	}
	outcome := request.send(trial.t, trial.entry(random))
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.outcomes = append(trial.outcomes, outcome)
}

// settle waits for the final fates of all jobs, reads them from every instance, and looks for effects of submissions
// that were not accepted.
func (trial *trial) settle() {
	client := trial.nextClient()
	random := newRandom(trial.seed, "settle")
	for _, key := range trial.keys {
		if trial.acceptedKeys[key] {
			continue
		}
		// A third description conflicts only if an earlier submission has taken effect.
		await(trial.t, recoveryTimeout, "submission of "+key, func() error {
			if outcome := trial.submitTo(client, trial.entry(random), trial.job(key, 2)); outcome != accepted && outcome != conflict {
				return errors.New(outcome)
			}
			return nil
		})
	}
	start := time.Now()
	for _, id := range trial.jobs {
		await(trial.t, max(time.Second, settleTimeout-time.Since(start)), "final fate of "+string(id), func() error {
			return trial.checkSettled(trial.readStatus(client, trial.entry(random), id))
		})
	}
	for _, entry := range trial.cell.live() {
		for _, id := range trial.jobs {
			_, _ = trial.readStatus(client, entry.client(), id)
		}
	}
}

// checkSettled returns an error if the status is not final yet.
func (trial *trial) checkSettled(status descriptor.JobStatus, err error) error {
	var problem *descriptor.Problem
	switch {
	case errors.As(err, &problem) && problem.Code == descriptor.CodeNotFound:
		// The fate model rejects this response.
		return nil
	case err != nil:
		return err
	case !isFinal(status.Fate) && status.Fate.Fate != "Unknown":
		return fmt.Errorf("it is %s: %s; trail %v", status.Fate.Fate, status.Fate.Reason, status.Trail)
	}
	return nil
}

// checkAll adds the workers' records to the history and checks it against all models.
func (trial *trial) checkAll(notes string) {
	records := trial.cell.runRecords()
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
			}, submissionResponse{
				Outcome: observed,
				Job:     id,
			})
		}
		trial.recorder.Add("fates", client, record.Started, record.Started, jobCall{
			Job:  id,
			Call: startEvent,
		}, jobResponse{})
	}
	trial.recorder.addRuns(records, func(id descriptor.JobID) bool {
		return idempotent[id]
	})
	checkNotRun(trial.t, states, records)
	checkRequests(trial.t, trial.outcomes, trial.cell.runsByKey())
	trial.recorder.Replace("configuration", removeIneffectiveApplies(trial.recorder.Operations("configuration")))
	for _, checked := range []struct {
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
		trial.recorder.check(trial.t, checked.name, checked.model, notes)
	}
	trial.report(states)
}

// report logs counts of the outcomes, and fails a trial in which no job, request or apply succeeded.
func (trial *trial) report(states []descriptor.JobStatus) {
	fates, requests, applies := map[string]int{}, map[string]int{}, map[string]int{}
	for _, operation := range trial.recorder.Operations("configuration") {
		if operation.Input.(configCall).Call == applyCall {
			applies[operation.Output.(configResponse).Outcome]++
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
