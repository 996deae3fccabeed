package connector

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"pomelomoor/internal/cell/courier"
	"pomelomoor/internal/cell/describer"
)

const (
	// listedWorkers is the number of workers that answer at once; listedEnds and listedRuns are the lengths of their lists.
	listedWorkers = 64
	listedEnds    = 500
	listedRuns    = 24
	// listedCheckpointBytes is the size of each checkpoint in the lists.
	listedCheckpointBytes = 1000
)

// listingWorkers answers polls with long lists, all at the same time.
type listingWorkers struct {
	describer.Workers

	polls sync.WaitGroup
}

func (listingWorkers *listingWorkers) Poll(context.Context, describer.Target, describer.PollOrder) (describer.PollAnswer, error) {
	listingWorkers.polls.Done()
	listingWorkers.polls.Wait()
	answer := describer.PollAnswer{
		Incarnation: time.UnixMilli(1),
	}
	checkpoint := strings.Repeat("0", listedCheckpointBytes)
	task := describer.TaskID{
		StepID: describer.StepID{
			Job: "5c0e7a21d94b36f8",
		},
	}
	for number := range listedRuns {
		task.Index = number
		answer.Running = append(answer.Running, describer.RunStatus{
			Task:       task,
			Run:        1,
			Checkpoint: checkpoint,
		})
	}
	for number := range listedEnds {
		task.Index = listedRuns + number
		answer.Ended = append(answer.Ended, describer.EndedRun{
			Number:     int64(number + 1),
			Task:       task,
			Run:        1,
			Outcome:    describer.OutcomeDone,
			Checkpoint: checkpoint,
		})
	}
	return answer, nil
}

func (*listingWorkers) Stop(context.Context, describer.Target, describer.StopOrder) error {
	return nil
}

// noWorkers is the direct way, which the test does not allow.
type noWorkers struct {
	describer.Workers
}

func (noWorkers) Stop(context.Context, describer.Target, describer.StopOrder) error {
	return describer.ErrNoEffect
}

func (noWorkers) Poll(context.Context, describer.Target, describer.PollOrder) (describer.PollAnswer, error) {
	return describer.PollAnswer{}, describer.ErrNoEffect
}

// TestLongLists guards against lists that are never read: after an outage of the store the lists of many workers are long,
// and one message with the answers of many was larger than its receiver takes, which ended the stream of the courier each
// time.
func TestLongLists(t *testing.T) {
	workers := &listingWorkers{}
	workers.polls.Add(listedWorkers)
	connector, address := serve(t, workers)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	orders, closeOrders := courier.New(ctx, courier.Options{
		Direct: noWorkers{},
		Open:   connector.Carry,
	})
	defer closeOrders()
	orders.SetWorkers(1000)
	orders.SetInstances([]courier.Instance{{
		Address: address,
	}})
	target := func(id string) describer.Target {
		return describer.Target{
			Worker: &describer.Worker{
				ID:      describer.WorkerID(id),
				Address: address,
			},
		}
	}
	for ctx.Err() == nil && orders.Stop(ctx, target("warm-up"), describer.StopOrder{}) != nil {
		// The stream may not be open yet.
		time.Sleep(time.Millisecond)
	}
	var polls sync.WaitGroup
	for index := range listedWorkers {
		polls.Go(func() {
			answer, err := orders.Poll(ctx, target(fmt.Sprint(index)), describer.PollOrder{
				Wait: 5 * time.Second,
			})
			if err != nil || len(answer.Ended) != listedEnds || len(answer.Running) != listedRuns {
				t.Errorf("worker %d: %d ended and %d running, %v", index, len(answer.Ended), len(answer.Running), err)
			}
		})
	}
	polls.Wait()
}
