// Package advisor spreads the questions to the advice service over the instances of a cell, since the
// service answers each instance one question at a time.
package advisor

import (
	"context"
	"slices"
	"sync"
	"time"

	"pomelomoor/internal/cell/planner"
)

const (
	// mostOpen is the number of questions that one instance has open: one that the service answers and
	// one that is on its way.
	mostOpen = 2
	// longQuestion is the time from which on a question counts as long.
	longQuestion = 150 * time.Millisecond
	// longShare is the largest share of the instances that have a long question open, so that short ones do
	// not wait behind them.
	longShare = 0.8
	// callMargin is added to the time of the questions before a call for the way and the service's delay.
	callMargin = 1500 * time.Millisecond
	// wayShare is the share of a new sample in the learned time of the way, as a divisor.
	wayShare = 4
	// failurePause is how long an instance that failed gets no question.
	failurePause = time.Second
)

// Ask sends a question by way of an instance and hands the answer on.
type Ask func(ctx context.Context, instance string, request planner.AdviceRequest) error

// Advisor holds the questions that wait for an instance. It is safe for concurrent use.
type Advisor struct {
	ask Ask

	mutex     sync.Mutex
	instances map[string]*instance
	waiting   []planner.AdviceRequest
	long      int
}

type instance struct {
	name string
	open int
	load time.Duration
	long int
	// way is the time of a question beyond that of the advice service itself, as learned.
	way     time.Duration
	avoided time.Time
}

// New returns an advisor that sends its questions with ask.
func New(ask Ask) *Advisor {
	return &Advisor{
		ask:       ask,
		instances: map[string]*instance{},
	}
}

// SetInstances tells which instances can ask.
func (advisor *Advisor) SetInstances(ctx context.Context, names []string) {
	advisor.mutex.Lock()
	defer advisor.mutex.Unlock()
	for _, name := range names {
		if advisor.instances[name] == nil {
			advisor.instances[name] = &instance{
				name: name,
			}
		}
	}
	for name := range advisor.instances {
		if !slices.Contains(names, name) {
			delete(advisor.instances, name)
		}
	}
	advisor.dispatch(ctx)
}

// Add queues questions and sends those for which an instance is free.
func (advisor *Advisor) Add(ctx context.Context, requests []planner.AdviceRequest) {
	advisor.mutex.Lock()
	defer advisor.mutex.Unlock()
	advisor.waiting = append(advisor.waiting, requests...)
	slices.SortStableFunc(advisor.waiting, func(left, right planner.AdviceRequest) int {
		if left.Lateness != right.Lateness {
			return left.Lateness - right.Lateness
		}
		return left.Urgency.Compare(right.Urgency)
	})
	advisor.dispatch(ctx)
}

// dispatch sends the questions that find an instance, the most urgent first.
func (advisor *Advisor) dispatch(ctx context.Context) {
	now := time.Now()
	rest := advisor.waiting[:0]
	for _, request := range advisor.waiting {
		long := request.Takes >= longQuestion
		chosen := advisor.choose(now, long)
		if chosen == nil {
			rest = append(rest, request)
			continue
		}
		chosen.open++
		chosen.load += request.Takes
		if long {
			chosen.long++
			advisor.long++
		}
		go advisor.send(ctx, chosen, request, chosen.load, long)
	}
	advisor.waiting = rest
}

// delay is how long a question would wait at the instance and be on its way.
func (instance *instance) delay() time.Duration {
	return instance.load + instance.way
}

// choose returns the instance with the least delay, or nil.
func (advisor *Advisor) choose(now time.Time, long bool) *instance {
	if long && advisor.long > 0 && float64(advisor.long+1) > longShare*float64(len(advisor.instances)) {
		return nil
	}
	var best *instance
	for _, instance := range advisor.instances {
		if instance.open >= mostOpen || now.Before(instance.avoided) || long && instance.open > 0 {
			continue
		}
		if best == nil || instance.delay() < best.delay() || instance.delay() == best.delay() && instance.name < best.name {
			best = instance
		}
	}
	return best
}

func (advisor *Advisor) send(ctx context.Context, instance *instance, request planner.AdviceRequest, load time.Duration, long bool) {
	call, cancel := context.WithTimeout(ctx, load+callMargin)
	began := time.Now()
	err := advisor.ask(call, instance.name, request)
	way := max(time.Since(began)-load, 0)
	cancel()
	advisor.mutex.Lock()
	defer advisor.mutex.Unlock()
	instance.open--
	instance.load -= request.Takes
	instance.way += (way - instance.way) / wayShare
	if long {
		instance.long--
		advisor.long--
	}
	if err != nil {
		instance.avoided = time.Now().Add(failurePause)
	}
	if ctx.Err() == nil {
		advisor.dispatch(ctx)
	}
}
