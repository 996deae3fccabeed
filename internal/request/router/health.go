package router

import (
	"context"
	"math"
	"math/bits"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/requester"
)

// Outcome is the result of one attempt, as far as it concerns the health of the runner.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeSuccess means that the runner returned a complete response without a server error.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure means that the attempt ended with an error, regardless of how fast.
	OutcomeFailure
	// OutcomeTimeout means that no response arrived before the deadline.
	OutcomeTimeout
	// OutcomeBusy means that the runner refused the request because all of its slots are occupied.
	OutcomeBusy
	// OutcomeLeaving means that the runner refused the request because it is leaving.
	OutcomeLeaving
	// OutcomeCancelled means that the attempt was cancelled, which says nothing about the runner.
	OutcomeCancelled
)

// ClassifyError distinguishes faults of a runner from attempts that the caller or the deadline ended.
// Err is the error of the attempt, and ctxErr the error of its context, or nil if it has not ended.
func ClassifyError(err, ctxErr error) Outcome {
	switch {
	case errors.Is(err, requester.ErrBusy):
		return OutcomeBusy
	case errors.Is(err, requester.ErrLeaving):
		return OutcomeLeaving
	case errors.Is(ctxErr, context.DeadlineExceeded):
		return OutcomeTimeout
	case ctxErr != nil:
		return OutcomeCancelled
	default:
		return OutcomeFailure
	}
}

const (
	// slownessGain is the weight of one response in the moving average of a runner's slowness.
	slownessGain = 0.1
	// meanGain is the weight of one response in the moving averages over all runners.
	meanGain = 0.02
	// failureSlowness is the minimum slowness that an error counts as.
	failureSlowness = 10.0
	// minTimeoutSlowness is the slowness from which a timeout counts against the runner. Shorter ones
	// are due to a caller's tight deadline.
	minTimeoutSlowness = 4.0
	// equalSlowness is the slowness up to which runners count as equally fast. Smaller differences are
	// noise of single responses.
	equalSlowness = 1.25
	// slowThreshold is the slowness, relative to the mean of all runners, above which a runner gets
	// fewer slots.
	slowThreshold = 2.0
	// slownessHalfLife is the half-life of a runner's excess slowness without new responses. The decay
	// brings a slow runner back into use, because only new requests can show that it has recovered.
	slownessHalfLife = 10 * time.Second
	// avoidPenalty exceeds every score.
	avoidPenalty = 1e6

	// busyPause is about the duration of one short request, after which a full runner has a free slot again.
	busyPause = 20 * time.Millisecond
	// maxListLag is the longest time for which the instance list may be out of date: a runner that
	// refused as leaving may still be listed as live, and a live one may be missing.
	maxListLag = 30 * time.Second
	// minPause and maxPause limit the pause of a failing runner, which doubles with each pause.
	minPause = 200 * time.Millisecond
	maxPause = 10 * time.Second
)

// runner is a Runner with its health as observed by this instance.
type runner struct {
	Runner
	listed bool
	// owned, busy and long are the slots that belong to this instance, those in use, and those in use
	// by long work.
	owned, busy, long mask
	// window limits the slots in use, like a congestion window. It starts at 1, grows by 1 with each
	// success and is halved by failures.
	window float64
	// slowness is the moving average of the runner's latencies relative to the mean of their lane.
	slowness float64
	// slots is the runner's contribution to Router.total.
	slots        slotCounts
	lastObserved time.Time
	pause        time.Duration
	pausedUntil  time.Time
	busyUntil    time.Time
	leavingUntil time.Time
	// forgetAt is when an unlisted runner without busy slots may be removed.
	forgetAt time.Time
}

func newRunner(owned mask) *runner {
	return &runner{
		owned:    owned,
		window:   1,
		slowness: 1,
	}
}

// available reports whether the runner accepts work. It ignores the short pause after a busy refusal.
func (runner *runner) available(now time.Time) bool {
	return runner.listed && !runner.Leaving && !now.Before(runner.pausedUntil) && !now.Before(runner.leavingUntil)
}

func (runner *runner) availableAt() time.Time {
	until := runner.pausedUntil
	if runner.busyUntil.After(until) {
		until = runner.busyUntil
	}
	if runner.leavingUntil.After(until) {
		until = runner.leavingUntil
	}
	return until
}

// excess returns the ratio of the runner's slowness to the threshold; above 1 it exceeds it. The
// threshold scales with the mean slowness of all runners, so that no runner loses slots when the
// work itself is slow or fails on all of them.
func (runner *runner) excess(now time.Time, meanSlowness float64) float64 {
	return runner.slownessAt(now) / (slowThreshold * max(meanSlowness, 1))
}

// allowed returns how many of the owned slots may be in use, given the runner's health.
func (runner *runner) allowed(now time.Time, meanSlowness float64) int {
	permitted := runner.owned.count()
	if excess := runner.excess(now, meanSlowness); excess > 1 {
		permitted = int(math.Ceil(float64(permitted) / excess))
	}
	return min(permitted, int(runner.window))
}

func (runner *runner) slownessAt(now time.Time) float64 {
	if runner.slowness <= equalSlowness {
		return runner.slowness
	}
	age := float64(now.Sub(runner.lastObserved)) / float64(slownessHalfLife)
	return 1 + (runner.slowness-1)*math.Exp2(-age)
}

// score returns the expected latency relative to the mean of the lane. Ties between equally fast
// runners are broken by the fraction of owned slots in use.
func (runner *runner) score(now time.Time) float64 {
	used := float64(runner.busy.count()) / float64(runner.owned.count()+1)
	return max(runner.slownessAt(now), equalSlowness) + used/100
}

// reserve marks a free slot as busy. Slots that long work may not use are preferred, so that short
// work leaves the others for long work.
func (runner *runner) reserve(lane parser.Lane) Slot {
	free := runner.owned &^ runner.busy & laneMask(lane)
	if rest := free &^ longSlots; rest != 0 {
		free = rest
	}
	index := bits.TrailingZeros8(uint8(free))
	runner.busy |= 1 << index
	if lane == parser.LaneLong {
		runner.long |= 1 << index
	}
	return Slot{
		Runner:  runner.ID,
		Address: runner.Address,
		Index:   index,
		Lane:    lane,
		runner:  runner,
	}
}

// Release frees a slot and updates the health of its runner from the outcome of the attempt. It
// reports whether the outcome caused the runner to be paused.
func (router *Router) Release(now time.Time, slot Slot, outcome Outcome, took time.Duration) (paused bool) {
	runner := slot.runner
	defer router.update(now, runner)
	runner.busy &^= 1 << slot.Index
	runner.long &^= 1 << slot.Index
	mean := &router.meanLatencies[0]
	if slot.Lane == parser.LaneLong {
		mean = &router.meanLatencies[1]
	}
	ratio := 1.0
	if *mean > 0 {
		ratio = float64(took) / *mean
	}
	switch outcome {
	case OutcomeSuccess:
		*mean += meanGain * (float64(took) - *mean)
		// The first success sets the mean.
		if *mean == meanGain*float64(took) {
			*mean = float64(took)
		}
		router.observe(now, runner, ratio)
		runner.window = min(runner.window+1, SlotsPerRunner)
		if runner.window == SlotsPerRunner {
			runner.pause = 0
		}
	case OutcomeTimeout:
		if ratio < minTimeoutSlowness {
			return false
		}
		router.observe(now, runner, ratio)
		return router.recordFailure(now, runner)
	case OutcomeFailure:
		router.observe(now, runner, max(ratio, failureSlowness))
		return router.recordFailure(now, runner)
	case OutcomeBusy:
		runner.busyUntil = now.Add(busyPause)
	case OutcomeLeaving:
		runner.leavingUntil = now.Add(maxListLag)
		runner.window = 1
	case OutcomeCancelled:
	}
	return false
}

func (router *Router) observe(now time.Time, runner *runner, ratio float64) {
	slowness := runner.slownessAt(now)
	// Capped, so that a single slow request does not mark the runner as slow.
	ratio = min(ratio, 2*failureSlowness)
	router.meanSlowness += meanGain * (ratio - router.meanSlowness)
	runner.slowness = slowness + slownessGain*(ratio-slowness)
	runner.lastObserved = now
}

// recordFailure halves the window of a runner that is slower than the others and pauses the runner
// when the window falls below 1. At least half of the runners stay available, with at least one slot each:
// when most fail, the cause is probably not the runners.
func (router *Router) recordFailure(now time.Time, failed *runner) (paused bool) {
	if failed.excess(now, router.meanSlowness) <= 1 {
		return false
	}
	failed.window /= 2
	if failed.window >= 1 {
		return false
	}
	failed.window = 1
	listed, available := 0, 0
	for _, runner := range router.runners {
		if !runner.listed || runner.Leaving {
			continue
		}
		listed++
		if runner != failed && runner.available(now) {
			available++
		}
	}
	if 2*available < listed {
		return false
	}
	failed.pause = min(max(2*failed.pause, minPause), maxPause)
	failed.pausedUntil = now.Add(failed.pause)
	return true
}
