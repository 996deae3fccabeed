// Package isolator tells the tasks that crash their workers from the tasks that are lost with them. A task under
// suspicion is started alone, so that the next crash shows whether it is the cause. Many suspects of one crash are first
// started in groups: those of a group that the worker survives are cleared together.
package isolator

import (
	"math"
	"time"
)

const (
	// maxProofs is the number of workers that crashed as they started a suspect alone after which it is given up.
	// Twice, since a worker may crash by itself just then.
	maxProofs = 2
	// maxKnownProofs replaces maxProofs for a task of a queue that is known for such tasks.
	maxKnownProofs = 1
	// minCrashes is the number of workers that are known to have crashed after they had confirmed the start of the task,
	// below which it is given up by maxProofs only. An order without an answer may never have been carried out.
	minCrashes = 2
	// maxLosses is the number of workers that are lost with a task, minCrashes of them by a crash, after which it is given
	// up without proof. By the rules of the platform's users, a task is started fewer than three times more after three
	// workers crashed under it.
	maxLosses = 5
	// suspectLosses is the number of workers lost with a task from which it is under suspicion although it had
	// survived its starts.
	suspectLosses = 2
	// closedLosses is the number of workers lost with a task from which its worker starts nothing else while it runs.
	// Then neither can others crash under it, nor it under them.
	closedLosses = 3
	// initialPause is how long a task that is never given up stays away from its workers after closedLosses; it doubles
	// with each further loss up to maxPause. By the rules of the platform's users, a lasting task has to run again within
	// 9 s.
	initialPause = time.Second
	maxPause     = 5 * time.Second
	// minGrouped is the number of suspects of one crash from which they are started in groups. Fewer are cleared soon,
	// and a group that is lost costs one crash more.
	minGrouped = 16
	// maxGroup is the maximum number of tasks in a group, which are lost together if one of them crashes the worker.
	maxGroup = 32
)

// History is what the workers that were lost with a task tell about it. The zero value is that of a task that has lost
// none.
type History struct {
	// Losses counts the workers that were lost with a run of the task.
	Losses int `json:",omitempty"`
	// Suspicions counts those that may have crashed because of the task. It is cleared when a later run survives its
	// start.
	Suspicions int `json:",omitempty"`
	// Crashes counts the workers that are known to have crashed, after they had confirmed the start of the run.
	Crashes int `json:",omitempty"`
	// Proofs counts the workers that are known to have crashed as they started the task, and nothing else, to see
	// whether they survive it. It is cleared with Suspicions.
	Proofs int `json:",omitempty"`
	// Charged is the number of tasks that the loss of the last worker charged alike, the task among them.
	Charged int `json:",omitempty"`
}

// Run is a run that was lost with its worker.
type Run struct {
	// History is that of the run's task.
	History *History
	// Confirmed means that the worker confirmed the start of the run.
	Confirmed bool
	// Survived means that the worker has worked on for some time after it had started the run.
	Survived bool
}

// Charge is what the loss of one worker means for one task.
type Charge struct {
	history *History
	// lost was added to the history; crashed is added once the worker is known to have crashed.
	lost    History
	crashed History
}

// Blame updates the histories of the tasks whose runs were lost with one worker. Those that the worker had just
// started are the suspects, and all of them if there is none. Whether the worker has crashed is left open: it may be
// cut off and run on.
func Blame(runs []Run) []Charge {
	starting := 0
	for _, run := range runs {
		if !run.Survived {
			starting++
		}
	}
	charges := make([]Charge, 0, len(runs))
	for _, run := range runs {
		charge := Charge{
			history: run.History,
			lost: History{
				Losses: 1,
			},
		}
		if !run.Survived || starting == 0 {
			charge.lost.Suspicions = 1
		}
		run.History.Charged = len(runs) - starting
		if !run.Survived {
			run.History.Charged = starting
		}
		if run.Confirmed {
			charge.crashed.Crashes = 1
		}
		if !run.Survived && starting == 1 && run.History.Suspicions > 0 {
			charge.crashed.Proofs = 1
		}
		run.History.add(charge.lost, 1)
		charges = append(charges, charge)
	}
	return charges
}

// Confirm notes that the worker has crashed.
func (charge Charge) Confirm() {
	crashed := charge.crashed
	if charge.history.Suspicions == 0 {
		// A later run has survived its start meanwhile.
		crashed.Proofs = 0
	}
	charge.history.add(crashed, 1)
}

// Withdraw takes the charge back, since the worker has not crashed.
func (charge Charge) Withdraw() {
	charge.history.add(charge.lost, -1)
}

// add adds other times sign. What was cleared meanwhile stays cleared.
func (history *History) add(other History, sign int) {
	history.Losses = max(history.Losses+sign*other.Losses, 0)
	history.Suspicions = max(history.Suspicions+sign*other.Suspicions, 0)
	history.Crashes = max(history.Crashes+sign*other.Crashes, 0)
	history.Proofs = max(history.Proofs+sign*other.Proofs, 0)
}

// Clear notes that a run of the task survived its start.
func (history *History) Clear() {
	history.Suspicions = 0
	history.Proofs = 0
}

// Forget notes that a run of the task has worked for so long that the losses before it tell nothing any more.
func (history *History) Forget() {
	*history = History{}
}

// Suspect reports whether the task may be started only on a worker that starts no other meanwhile.
func (history *History) Suspect() bool {
	return history.Suspicions > 0 || history.Losses >= suspectLosses
}

// Group returns how many suspects, the task among them, may be started together: about the square root of the tasks that
// were lost alike, since then there are as many groups as tasks in the group that the next crash leaves to be started
// alone. Whoever has come under suspicion twice is started alone.
func (history *History) Group() int {
	if history.Charged < minGrouped || history.Suspicions > 1 || history.Closed() {
		return 1
	}
	return min(int(math.Sqrt(float64(history.Charged))), maxGroup)
}

// Closed reports whether the worker of the task may start no other while the task runs.
func (history *History) Closed() bool {
	return history.Losses >= closedLosses
}

// Pause returns how long after the last contact with the worker that was lost with it a task that is never given up
// waits for its next start.
func (history *History) Pause() time.Duration {
	if !history.Closed() {
		return 0
	}
	return min(initialPause<<min(history.Losses-closedLosses, 8), maxPause)
}

// Hopeless reports whether the task is to be given up. known means that a task of the same queue was given up lately.
func (history *History) Hopeless(known bool) bool {
	if history.Proofs >= maxProofs {
		return true
	}
	return history.Crashes >= minCrashes && (known && history.Proofs >= maxKnownProofs || history.Losses >= maxLosses)
}
