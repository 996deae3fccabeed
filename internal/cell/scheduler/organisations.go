package scheduler

import (
	"math"

	"pomelomoor/internal/placement/accountant"
)

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
