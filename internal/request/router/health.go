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

// Outcome is what one attempt told about a runner.
type Outcome int

// The outcomes.
const (
	// OutcomeSuccess is a complete answer without a fault of the runner.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure is an error, however fast.
	OutcomeFailure
	// OutcomeTimeout is no answer until the deadline.
	OutcomeTimeout
	// OutcomeBusy is a refusal because all slots are taken.
	OutcomeBusy
	// OutcomeLeaving is a refusal because the runner is leaving.
	OutcomeLeaving
	// OutcomeCancelled is an attempt that was given up; it tells nothing.
	OutcomeCancelled
)

// Judge tells faults of a runner from ends that the caller or the deadline brought. Err is what
// the attempt returned and ended why its context ended, if it did.
func Judge(err, ended error) Outcome {
	switch {
	case errors.Is(err, requester.ErrBusy):
		return OutcomeBusy
	case errors.Is(err, requester.ErrLeaving):
		return OutcomeLeaving
	case errors.Is(ended, context.DeadlineExceeded):
		return OutcomeTimeout
	case ended != nil:
		return OutcomeCancelled
	default:
		return OutcomeFailure
	}
}

const (
	// slownessGain is the weight of one answer in the mean of a runner.
	slownessGain = 0.1
	// normGain is the weight of one answer in the means over all runners.
	normGain = 0.02
	// failureSlowness is how many times slower than usual an error counts.
	failureSlowness = 10.0
	// timeoutSlowness separates a runner that hangs from a caller's tight deadline.
	timeoutSlowness = 4.0
	// evenSlowness and below counts as equally fast; the rest is noise of single answers.
	evenSlowness = 1.25
	// slowThreshold is where a runner begins to lose share.
	slowThreshold = 2.0
	// slownessHalfLife returns a slow runner to use, as only use can show that it recovered.
	slownessHalfLife = 10 * time.Second
	// avoidPenalty exceeds every score.
	avoidPenalty = 1e6

	// busyPause is about one short request, after which a slot of a full runner is free again.
	busyPause = 20 * time.Millisecond
	// leavingHold covers the lag of the instance list after a leaving refusal.
	leavingHold = 30 * time.Second
	minPause    = 200 * time.Millisecond
	maxPause    = 10 * time.Second
)

// runner is a Runner with its health as this instance sees it.
type runner struct {
	Runner
	listed bool
	// owned, busy and long are slots: those of this instance, those in use, and those in use by
	// long work.
	owned, busy, long mask
	// window bounds the slots in use; it starts at 1, grows with successes and shrinks with errors.
	window float64
	// slowness is the mean of latencies relative to the norm of their lane.
	slowness float64
	// room is what the runner offers, as counted in Router.total.
	room         room
	seen         time.Time
	pause        time.Duration
	pausedUntil  time.Time
	coolUntil    time.Time
	leavingUntil time.Time
	// keptUntil is how long the runner is remembered while it is not listed.
	keptUntil time.Time
}

func newRunner(owned mask) *runner {
	return &runner{
		owned:    owned,
		window:   1,
		slowness: 1,
	}
}

// open reports whether the runner takes work, apart from short pauses after a busy refusal.
func (runner *runner) open(now time.Time) bool {
	return runner.listed && !runner.Leaving && !now.Before(runner.pausedUntil) && !now.Before(runner.leavingUntil)
}

func (runner *runner) closedUntil() time.Time {
	until := runner.pausedUntil
	if runner.coolUntil.After(until) {
		until = runner.coolUntil
	}
	if runner.leavingUntil.After(until) {
		until = runner.leavingUntil
	}
	return until
}

// excess returns how far the runner's slowness exceeds the bound, 1 or less meaning that it does
// not. The bound moves with what is typical now: when the work itself is slow or fails on all
// runners, none loses share.
func (runner *runner) excess(now time.Time, typical float64) float64 {
	return runner.slownessAt(now) / (slowThreshold * max(typical, 1))
}

// allowed returns how many own slots the runner's health permits.
func (runner *runner) allowed(now time.Time, typical float64) int {
	share := runner.owned.count()
	if excess := runner.excess(now, typical); excess > 1 {
		share = int(math.Ceil(float64(share) / excess))
	}
	return min(share, int(runner.window))
}

func (runner *runner) slownessAt(now time.Time) float64 {
	if runner.slowness <= evenSlowness {
		return runner.slowness
	}
	age := float64(now.Sub(runner.seen)) / float64(slownessHalfLife)
	return 1 + (runner.slowness-1)*math.Exp2(-age)
}

// score is the expected latency relative to the norm. Equally fast runners are told apart by the
// part of the share that is in use.
func (runner *runner) score(now time.Time) float64 {
	used := float64(runner.busy.count()) / float64(runner.owned.count()+1)
	return max(runner.slownessAt(now), evenSlowness) + used/100
}

// reserve takes a free slot. Short work leaves the slots that long work may take for last.
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

// Release gives a slot back and learns from the outcome of its attempt. It reports whether the
// runner was paused by it.
func (router *Router) Release(now time.Time, slot Slot, outcome Outcome, took time.Duration) (paused bool) {
	runner := slot.runner
	defer router.update(now, runner)
	runner.busy &^= 1 << slot.Index
	runner.long &^= 1 << slot.Index
	norm := &router.norms[0]
	if slot.Lane == parser.LaneLong {
		norm = &router.norms[1]
	}
	ratio := 1.0
	if *norm > 0 {
		ratio = float64(took) / *norm
	}
	switch outcome {
	case OutcomeSuccess:
		*norm += normGain * (float64(took) - *norm)
		if *norm == normGain*float64(took) {
			*norm = float64(took)
		}
		router.observe(now, runner, ratio)
		runner.window = min(runner.window+1, SlotsPerRunner)
		if runner.window == SlotsPerRunner {
			runner.pause = 0
		}
	case OutcomeTimeout:
		if ratio < timeoutSlowness {
			return false
		}
		router.observe(now, runner, ratio)
		return router.punish(now, runner)
	case OutcomeFailure:
		router.observe(now, runner, max(ratio, failureSlowness))
		return router.punish(now, runner)
	case OutcomeBusy:
		runner.coolUntil = now.Add(busyPause)
	case OutcomeLeaving:
		runner.leavingUntil = now.Add(leavingHold)
		runner.window = 1
	case OutcomeCancelled:
	}
	return false
}

func (router *Router) observe(now time.Time, runner *runner, ratio float64) {
	slowness := runner.slownessAt(now)
	// One straggler is no slow runner.
	ratio = min(ratio, 2*failureSlowness)
	router.typical += normGain * (ratio - router.typical)
	runner.slowness = slowness + slownessGain*(ratio-slowness)
	runner.seen = now
}

// punish halves the window of a runner that is worse than the others and pauses it when nothing
// is left. At least half of the runners stay in use with one slot: when most fail, the fault is
// hardly theirs.
func (router *Router) punish(now time.Time, failed *runner) (paused bool) {
	if failed.excess(now, router.typical) <= 1 {
		return false
	}
	failed.window /= 2
	if failed.window >= 1 {
		return false
	}
	failed.window = 1
	staying, open := 0, 0
	for _, runner := range router.runners {
		if !runner.listed || runner.Leaving {
			continue
		}
		staying++
		if runner != failed && runner.open(now) {
			open++
		}
	}
	if 2*open < staying {
		return false
	}
	failed.pause = min(max(2*failed.pause, minPause), maxPause)
	failed.pausedUntil = now.Add(failed.pause)
	return true
}
