// Package advisor distributes advice requests over the instances of a cell, since the advice service answers
// each instance one request at a time.
package advisor

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"pomelomoor/internal/cell/prioritizer"
	"pomelomoor/internal/cell/scheduler"
)

const (
	// maxOpenRequests is the number of requests that one instance may have open: one that the service is answering
	// and one in transit.
	maxOpenRequests = 2
	// longRequestThreshold is the expected service time from which a request counts as long.
	longRequestThreshold = 150 * time.Millisecond
	// maxLongShare is the largest share of the instances that may have a long request open, so that short requests do
	// not wait behind long ones.
	maxLongShare = 0.8
	// timeoutMargin is added to the expected service time of the instance's open requests to get the timeout of a call.
	// It covers network latency and delays of the service.
	timeoutMargin = 1500 * time.Millisecond
	// overheadWeightDivisor is the inverse of the weight of a new sample in the moving average of the overhead.
	overheadWeightDivisor = 4
	// minFailureBackoff is how long an instance gets no requests after a failure. It doubles with each further one up to
	// maxFailureBackoff. One failure may only mean that a connection was lost, and all connections may be lost at once.
	minFailureBackoff = 100 * time.Millisecond
	maxFailureBackoff = time.Second
	// maxDelayShare is the share of its slack by which a request may be delayed so that an instance with less overhead
	// stays free for requests that have none. What follows the answer needs the rest.
	maxDelayShare = 0.05
	// nearInterval is how often the instances are ranked by overhead.
	nearInterval = time.Second
)

// SendFunc sends a request through an instance. The function that it returns, if any, delivers the answer or the failure. It
// is called once a failure is noted, so that a request that is made again then goes through another instance or waits.
type SendFunc func(ctx context.Context, instance string, request scheduler.AdviceRequest) (deliver func(), err error)

// Advisor queues advice requests until an instance can send them. It is safe for concurrent use.
type Advisor struct {
	sendRequest SendFunc

	mutex     sync.Mutex
	instances map[string]*instance
	// short and long hold the requests that wait.
	short, long  prioritizer.Queue[scheduler.AdviceRequest]
	longRequests int
	// keptFor is the instance that takes no short request, so that it can take a long one; nil if none is kept.
	keptFor *instance
	// nearAt is when the instances were last ranked by overhead.
	nearAt time.Time
	// examined counts the instances that were looked at to send a request.
	examined int64
}

// instance is the state of one instance. openTime is the expected service time of its open requests.
type instance struct {
	name         string
	openRequests int
	openTime     time.Duration
	longRequests int
	// overhead is a moving average of the time that a request takes in addition to the expected service time.
	overhead      time.Duration
	overheadKnown bool
	// near means that the instance is among those with the least overhead. They take no long requests that have slack.
	near         bool
	backoffUntil time.Time
	// failures counts the failures in a row. Those of requests that were open together count once.
	failures int
}

// noteFailure has the instance avoided for a while after a failed request, and returns for how long.
func (instance *instance) noteFailure(now time.Time) time.Duration {
	if now.Before(instance.backoffUntil) {
		return instance.backoffUntil.Sub(now)
	}
	backoff := min(minFailureBackoff<<min(instance.failures, 8), maxFailureBackoff)
	instance.failures++
	instance.backoffUntil = now.Add(backoff)
	return backoff
}

// New returns an advisor that sends its requests with sendRequest.
func New(sendRequest SendFunc) *Advisor {
	return &Advisor{
		sendRequest: sendRequest,
		instances:   map[string]*instance{},
	}
}

// SetInstances sets the instances through which requests can be sent.
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

// Add queues requests and sends those for which an instance is free.
func (advisor *Advisor) Add(ctx context.Context, requests []scheduler.AdviceRequest) {
	advisor.mutex.Lock()
	defer advisor.mutex.Unlock()
	for _, request := range requests {
		advisor.queueFor(request).Add(prioritizer.Rank{
			Lateness:   request.Lateness,
			Yields:     request.Yields,
			Excess:     request.Excess,
			UrgentFrom: request.UrgentFrom,
		}, request)
	}
	advisor.dispatch(ctx)
}

func isLong(request scheduler.AdviceRequest) bool {
	return request.ExpectedDuration >= longRequestThreshold
}

// queueFor returns the queue in which request waits.
func (advisor *Advisor) queueFor(request scheduler.AdviceRequest) *prioritizer.Queue[scheduler.AdviceRequest] {
	if isLong(request) {
		return &advisor.long
	}
	return &advisor.short
}

// Room is what an advisor can take without letting requests wait for long. It is not safe for concurrent use.
type Room struct {
	short, long int
}

// places returns the places for requests of an expected duration.
func (room *Room) places(expected time.Duration) *int {
	if expected >= longRequestThreshold {
		return &room.long
	}
	return &room.short
}

// Has implements scheduler.AdviceRoom.
func (room *Room) Has(expected time.Duration) bool {
	return *room.places(expected) > 0
}

// Take implements scheduler.AdviceRoom.
func (room *Room) Take(expected time.Duration) bool {
	if !room.Has(expected) {
		return false
	}
	*room.places(expected)--
	return true
}

// Room returns what the advisor can take now: what its instances can have open and, of short requests, as many again as
// it has instances, since many of them are answered before the next pass. A request that waits here does so with the
// workers and the urgency of the time at which it was made, so that it is better made later.
func (advisor *Advisor) Room() *Room {
	advisor.mutex.Lock()
	defer advisor.mutex.Unlock()
	room := &Room{
		short: len(advisor.instances) - advisor.short.Len(),
		long:  int(maxLongShare*float64(len(advisor.instances))) - advisor.longRequests - advisor.long.Len(),
	}
	room.long = max(room.long, 1-advisor.longRequests-advisor.long.Len())
	for _, instance := range advisor.instances {
		room.short += maxOpenRequests - instance.openRequests
	}
	return room
}

// Waiting returns the number of requests that wait for an instance.
func (advisor *Advisor) Waiting() int {
	advisor.mutex.Lock()
	defer advisor.mutex.Unlock()
	return advisor.short.Len() + advisor.long.Len()
}

// Examined returns the number of instances that were looked at so far to send requests. It grows with the processor time
// of the advisor.
func (advisor *Advisor) Examined() int64 {
	advisor.mutex.Lock()
	defer advisor.mutex.Unlock()
	return advisor.examined
}

// dispatch sends the waiting requests for which an instance is free, the most urgent first. An instance that takes no
// short request takes no long one either, so that a dispatch looks at the instances once for each request that it sends
// and three times more, however many requests wait.
func (advisor *Advisor) dispatch(ctx context.Context) {
	now := time.Now()
	longBlocked := false
	advisor.keptFor = nil
	advisor.rankByOverhead(now)
	for {
		queue := advisor.nextQueue(now, longBlocked)
		if queue == nil {
			return
		}
		long := queue == &advisor.long
		chosen := advisor.chooseInstance(now, long, maxDelay(now, queue.First()))
		switch {
		case chosen == nil && long:
			longBlocked = true
			advisor.keptFor = advisor.soonestIdle(now, maxDelay(now, queue.First()) > 0)
			continue
		case chosen == nil:
			return
		}
		request := queue.Take()
		chosen.openRequests++
		chosen.openTime += request.ExpectedDuration
		if long {
			chosen.longRequests++
			advisor.longRequests++
		}
		go advisor.send(ctx, chosen, request, chosen.openTime, long)
	}
}

// soonestIdle returns the instance that is to become idle for a long request that is the most urgent, or nil if no long
// request may be sent. Without it short requests that keep coming would never leave an instance idle.
func (advisor *Advisor) soonestIdle(now time.Time, slack bool) *instance {
	if !advisor.longAllowed() {
		return nil
	}
	var best *instance
	advisor.examined += int64(len(advisor.instances))
	for _, instance := range advisor.instances {
		if instance.longRequests > 0 || now.Before(instance.backoffUntil) || slack && instance.near {
			continue
		}
		if best == nil || instance.openRequests < best.openRequests || instance.openRequests == best.openRequests && instance.name < best.name {
			best = instance
		}
	}
	return best
}

// longAllowed reports whether a further instance may have a long request.
func (advisor *Advisor) longAllowed() bool {
	return advisor.longRequests == 0 || float64(advisor.longRequests+1) <= maxLongShare*float64(len(advisor.instances))
}

// nextQueue returns the queue with the most urgent request, or nil if none waits.
func (advisor *Advisor) nextQueue(now time.Time, longBlocked bool) *prioritizer.Queue[scheduler.AdviceRequest] {
	latenessOf := func(request *scheduler.AdviceRequest) int {
		return request.LatenessAt(now)
	}
	advisor.short.Refresh(latenessOf)
	advisor.long.Refresh(latenessOf)
	switch {
	case advisor.long.Len() == 0 || longBlocked:
		if advisor.short.Len() == 0 {
			return nil
		}
		return &advisor.short
	case advisor.short.Len() == 0 || advisor.long.First().Compare(advisor.short.First()) < 0:
		return &advisor.long
	default:
		return &advisor.short
	}
}

// expectedDelay returns the expected time that a new request would wait at the instance and be in transit.
func (instance *instance) expectedDelay() time.Duration {
	return instance.openTime + instance.overhead
}

// maxDelay returns by how much a request of the given rank may be delayed for the sake of more urgent ones.
func maxDelay(now time.Time, rank prioritizer.Rank) time.Duration {
	return time.Duration(maxDelayShare * float64(max(rank.UrgentFrom.Sub(now), 0)))
}

// chooseInstance returns the free instance with the lowest expected delay, or nil. If the request may be delayed, it
// returns the one with the most overhead that delays it by no more than that.
func (advisor *Advisor) chooseInstance(now time.Time, long bool, maxDelay time.Duration) *instance {
	if long && !advisor.longAllowed() {
		return nil
	}
	var best *instance
	advisor.examined += int64(len(advisor.instances))
	for _, instance := range advisor.instances {
		if !advisor.free(now, instance, long, maxDelay > 0) {
			continue
		}
		if best == nil || instance.expectedDelay() < best.expectedDelay() || instance.expectedDelay() == best.expectedDelay() && instance.name < best.name {
			best = instance
		}
	}
	if best == nil || maxDelay <= 0 {
		return best
	}
	latest := best.expectedDelay() + maxDelay
	advisor.examined += int64(len(advisor.instances))
	for _, instance := range advisor.instances {
		if !advisor.free(now, instance, long, maxDelay > 0) || instance.expectedDelay() > latest {
			continue
		}
		if spared := instance.overhead - instance.openTime; spared > best.overhead-best.openTime {
			best = instance
		}
	}
	return best
}

// noteOverhead adds a sample to the moving average. The first one counts in full: an instance that it shows to be far would
// otherwise look near until more requests have taken the long way.
func (instance *instance) noteOverhead(sample time.Duration) {
	if !instance.overheadKnown {
		instance.overhead, instance.overheadKnown = sample, true
		return
	}
	instance.overhead += (sample - instance.overhead) / overheadWeightDivisor
}

// rankByOverhead finds the near instances: as many as may have no long request.
func (advisor *Advisor) rankByOverhead(now time.Time) {
	if now.Sub(advisor.nearAt) < nearInterval {
		return
	}
	advisor.nearAt = now
	advisor.examined += int64(len(advisor.instances))
	instances := slices.SortedFunc(maps.Values(advisor.instances), func(left, right *instance) int {
		return cmp.Or(cmp.Compare(left.overhead, right.overhead), cmp.Compare(left.name, right.name))
	})
	count := len(instances) - int(math.Ceil(maxLongShare*float64(len(instances))))
	for rank, instance := range instances {
		instance.near = rank < count
	}
}

// free reports whether a request, which may have slack, may be sent through the instance now.
func (advisor *Advisor) free(now time.Time, instance *instance, long, slack bool) bool {
	switch {
	case instance.openRequests >= maxOpenRequests || now.Before(instance.backoffUntil):
		return false
	case long:
		return instance.openRequests == 0 && (!slack || !instance.near)
	default:
		return instance != advisor.keptFor
	}
}

// send sends one request and then dispatches further ones. The time expected covers all open requests of the
// instance, including this one.
func (advisor *Advisor) send(ctx context.Context, instance *instance, request scheduler.AdviceRequest, expected time.Duration, long bool) {
	callCtx, cancel := context.WithTimeout(ctx, expected+timeoutMargin)
	startTime := time.Now()
	deliver, err := advisor.sendRequest(callCtx, instance.name, request)
	overhead := max(time.Since(startTime)-expected, 0)
	cancel()
	if deliver != nil {
		defer deliver()
	}
	advisor.mutex.Lock()
	defer advisor.mutex.Unlock()
	instance.openRequests--
	instance.openTime -= request.ExpectedDuration
	instance.noteOverhead(overhead)
	if long {
		instance.longRequests--
		advisor.longRequests--
	}
	if err == nil {
		instance.failures = 0
	} else {
		// With all instances avoided nothing else may come that would have the waiting requests sent.
		time.AfterFunc(instance.noteFailure(time.Now()), func() {
			advisor.mutex.Lock()
			defer advisor.mutex.Unlock()
			if ctx.Err() == nil {
				advisor.dispatch(ctx)
			}
		})
	}
	if ctx.Err() == nil {
		advisor.dispatch(ctx)
	}
}
