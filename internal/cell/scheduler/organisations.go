package scheduler

import (
	"math"
	"slices"
	"time"

	"pomelomoor/internal/placement/accountant"
	"pomelomoor/internal/work/descriptor"
)

// maxHeld limits what a record may say that the runs of an ended job take up, so that amounts can be added up.
var maxHeld = descriptor.Resources{
	MilliCPU:     1 << 50,
	MemoryBytes:  1 << 60,
	Accelerators: 1 << 50,
}

// hold is what runs of an ended job may take up until a time by which their leases have lapsed for certain.
type hold struct {
	account *accountant.Account
	amount  descriptor.Resources
	until   time.Time
}

// account returns the account of an organisation, or nil if its name is empty. That of an organisation that the
// configuration no longer holds keeps its last cap for the rest of the term.
func (scheduler *Scheduler) account(name string) *accountant.Account {
	if name == "" {
		return nil
	}
	account := scheduler.accounts[name]
	if account == nil {
		account = &accountant.Account{
			Overage: scheduler.options.CapOverage,
			Window:  scheduler.options.EntitlementWindow,
			Slack:   scheduler.options.EntitlementSlack,
		}
		scheduler.accounts[name] = account
		scheduler.setAccount(name, account)
	}
	return account
}

// setAccounts takes the caps and weights from a new configuration.
func (scheduler *Scheduler) setAccounts() {
	for name, account := range scheduler.accounts {
		scheduler.setAccount(name, account)
	}
}

func (scheduler *Scheduler) setAccount(name string, account *accountant.Account) {
	if organisation := scheduler.config.Organisation(name); organisation != nil {
		account.Cap = organisation.Cap
		account.Weight = organisation.Weight
	}
}

// charge notes in the account of its organisation that a run takes up resources, and credit that it no longer does.
func (run *run) charge() {
	if account := run.task.step.job.account; account != nil {
		account.Charge(run.task.step.Needs)
	}
}

func (run *run) credit() {
	if account := run.task.step.job.account; account != nil {
		account.Credit(run.task.step.Needs)
	}
}

// capRoom returns how many tasks of step may be started now without going beyond the cap of its organisation.
func (step *step) capRoom() int {
	account := step.job.account
	switch {
	case account == nil:
		return math.MaxInt
	case !step.Gang:
		return account.Room(step.Needs)
	case account.HasRoomForGang(step.Needs, step.Count):
		return step.Count
	default:
		return 0
	}
}

// cappedInPass reports whether step has to wait for its organisation to have less running. A gang that waits keeps the
// later steps of its organisation waiting as well, or narrow work would take its room forever. Steps of other
// organisations do not wait for either.
func (scheduler *Scheduler) cappedInPass(queued queuedStep) bool {
	account := queued.step.job.account
	if account == nil {
		return false
	}
	if scheduler.capBlocked[account] {
		return true
	}
	if queued.step.capRoom() > 0 {
		return false
	}
	if queued.step.Gang && queued.lateness < 2 && account.CanEverHold(queued.step.Needs, queued.step.Count) {
		scheduler.capBlocked[account] = true
	}
	return true
}

// heldByRuns returns what the runs of the job take up that may have started, if it belongs to an organisation.
func (job *job) heldByRuns() descriptor.Resources {
	var held descriptor.Resources
	if job.account == nil {
		return held
	}
	for _, occurrence := range job.occurrences {
		for _, step := range occurrence.steps {
			for _, task := range step.tasks {
				if task.active != nil && task.active.phase != phaseIntended && task.active.phase != phaseUnlisted {
					held = held.Add(step.Needs)
				}
			}
		}
	}
	return held
}

// holdEnded charges what runs of a job that ended under a leader before may still take up: its final record names no runs,
// and this leader sees them stop only once their workers answer.
func (scheduler *Scheduler) holdEnded(record Record) {
	account := scheduler.account(record.Organisation)
	until := leaseEnd(record.Ended.Add(silentRenewalPeriod), scheduler.options.MaxLease)
	if account == nil || record.Held == (descriptor.Resources{}) || !scheduler.options.Takeover.Before(until) {
		return
	}
	account.Charge(record.Held)
	scheduler.holds = append(scheduler.holds, hold{
		account: account,
		amount:  record.Held,
		until:   until,
	})
}

// releaseHolds credits what runs of ended jobs took up whose leases have lapsed by now.
func (scheduler *Scheduler) releaseHolds(now time.Time) {
	scheduler.holds = slices.DeleteFunc(scheduler.holds, func(hold hold) bool {
		if now.Before(hold.until) {
			return false
		}
		hold.account.Credit(hold.amount)
		scheduler.changed = true
		return true
	})
}
