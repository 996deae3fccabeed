package yielder

import "time"

const (
	// supplyStep and supplySteps are the resolution and the length of the time for which running work is looked at. What
	// ends later counts as running until then.
	supplyStep  = 100 * time.Millisecond
	supplySteps = 100
	// usableShare is the share of a cell that work can occupy at best. The rest is lost between tasks that do not fit
	// together and between the end of a run and the start of the next one.
	usableShare = 0.9
)

// Supply is what running work leaves free in the time to come. The zero value is a cell without running work.
type Supply struct {
	// ending holds the share of the cell that is freed in each step of time.
	ending [supplySteps]float64
	// running is the share that is occupied now.
	running float64
	// occupied holds what running work occupies until the end of each step, once it is summed.
	occupied [supplySteps]float64
	summed   bool
}

// AddRunning adds running work that occupies a share of the cell for a remaining time.
func (supply *Supply) AddRunning(share float64, remaining time.Duration) {
	step := min(max(int(remaining/supplyStep), 0), supplySteps-1)
	supply.ending[step] += share
	supply.running += share
	supply.summed = false
}

// Until returns the room that work can use from now until a time from now, in shares of the cell times seconds.
func (supply *Supply) Until(wait time.Duration) float64 {
	if wait <= 0 {
		return 0
	}
	if !supply.summed {
		supply.sum()
	}
	step := min(int(wait/supplyStep), supplySteps-1)
	return usableShare * max(wait.Seconds()-supply.occupied[step], 0)
}

func (supply *Supply) sum() {
	running, total := supply.running, 0.0
	for step := range supply.ending {
		total += running * supplyStep.Seconds()
		running -= supply.ending[step]
		supply.occupied[step] = total
	}
	supply.summed = true
}
