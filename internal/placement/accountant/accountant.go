// Package accountant keeps what each organisation has running, and decides how much more its cap and its share of the
// cell leave room for. It does no I/O and reads no clock.
package accountant

import (
	"math"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// defaultWindow is the time over which the jobs of an organisation are compared with those that it is entitled to, if the
// account does not tell, so that callers who come in waves do not lose their entitlement to the crest of a wave.
const defaultWindow = 5 * time.Second

// Account holds what one organisation has running and what it may have. The zero value has no cap and no weight. It is not
// safe for concurrent use.
type Account struct {
	// Weight is the share when all is full, relative to those of other accounts, and the jobs a second that the
	// organisation is entitled to.
	Weight float64
	// Cap limits Used. A component of 0 is no limit.
	Cap descriptor.Resources
	// Overage is the share of Cap by which a gang may exceed it, since a gang cannot start in parts, and the share by which
	// the jobs of the organisation may exceed those that it is entitled to.
	Overage float64
	// Window is the time over which jobs are compared with Weight, and Slack the number of jobs in it that are always
	// allowed for beyond that, so that few jobs at once are no excess.
	Window time.Duration
	Slack  int

	used descriptor.Resources
	// spent is how many of the jobs that the account is entitled to have been used up by spentAt.
	spent   float64
	spentAt time.Time
}

// Charge adds what a run occupies, and Credit subtracts it when the run has ended for certain.
func (account *Account) Charge(amount descriptor.Resources) {
	account.used = account.used.Add(amount)
}

// Credit subtracts what a run occupied.
func (account *Account) Credit(amount descriptor.Resources) {
	account.used = account.used.Sub(amount)
}

// Used returns what the organisation has running, including what is about to start or to stop.
func (account *Account) Used() descriptor.Resources {
	return account.used
}

// Room returns how many tasks that need the given resources the cap leaves room for. A task that needs more than the cap
// may run alone, since the platform's users allow one task beyond the cap.
func (account *Account) Room(needs descriptor.Resources) int {
	room := int64(math.MaxInt)
	for _, resource := range account.resources(needs, account.used) {
		switch {
		case resource.limit <= 0:
		case resource.used > resource.limit:
			// Also a task that needs none of this resource would start above the cap.
			room = 0
		case resource.need > 0:
			room = min(room, (resource.limit-resource.used)/resource.need)
		}
	}
	if room == 0 && account.used == (descriptor.Resources{}) {
		return 1
	}
	return int(room)
}

// HasRoomForGang reports whether the cap leaves room for a gang of count tasks. A gang that fits into the cap alone may
// exceed it by the overage, so that it does not wait for the last small run of its organisation.
func (account *Account) HasRoomForGang(needs descriptor.Resources, count int) bool {
	return account.fitsGang(needs, count, account.used)
}

// CanEverHold reports whether the cap would leave room for a gang if nothing else of the organisation ran.
func (account *Account) CanEverHold(needs descriptor.Resources, count int) bool {
	return account.fitsGang(needs, count, descriptor.Resources{})
}

func (account *Account) fitsGang(needs descriptor.Resources, count int, used descriptor.Resources) bool {
	if count == 1 && used == (descriptor.Resources{}) {
		return true
	}
	for _, resource := range account.resources(needs, used) {
		// The product may be larger than the largest integer.
		total := float64(resource.used) + float64(resource.need)*float64(count)
		if resource.limit > 0 && total > float64(resource.limit)*(1+account.Overage) {
			return false
		}
	}
	return true
}

// resource is one kind of resource of an account.
type resource struct {
	need, used, limit int64
}

func (account *Account) resources(needs, used descriptor.Resources) [3]resource {
	return [3]resource{
		{
			need:  needs.MilliCPU,
			used:  used.MilliCPU,
			limit: account.Cap.MilliCPU,
		},
		{
			need:  needs.MemoryBytes,
			used:  used.MemoryBytes,
			limit: account.Cap.MemoryBytes,
		},
		{
			need:  needs.Accelerators,
			used:  used.Accelerators,
			limit: account.Cap.Accelerators,
		},
	}
}

// Share returns the dominant share of total that the organisation uses, divided by its weight: dominant-resource fairness
// serves the organisation with the lowest one first. It is infinite with a weight of 0.
func (account *Account) Share(total descriptor.Resources) float64 {
	if account.Weight <= 0 {
		return math.Inf(1)
	}
	return account.used.DominantShare(total) / account.Weight
}

// Arrive notes a job that was submitted at a time, and reports whether the organisation is entitled to it: it sent no more
// than Weight jobs a second over Window, with Overage and Slack. A job beyond that does not use up the entitlement of later
// ones.
func (account *Account) Arrive(at time.Time) bool {
	if account.Weight <= 0 {
		return false
	}
	window := account.Window
	if window <= 0 {
		window = defaultWindow
	}
	rate := account.Weight * (1 + account.Overage)
	if elapsed := at.Sub(account.spentAt).Seconds(); elapsed > 0 {
		account.spent = max(account.spent-elapsed*rate, 0)
		account.spentAt = at
	}
	if account.spent+1 > max(rate*window.Seconds()+float64(account.Slack), 1) {
		return false
	}
	account.spent++
	return true
}

// CapShare returns the largest share of its cap that the organisation uses of any resource that the cap limits.
func (account *Account) CapShare() float64 {
	share := 0.0
	for _, resource := range account.resources(descriptor.Resources{}, account.used) {
		if resource.limit > 0 {
			share = max(share, float64(resource.used)/float64(resource.limit))
		}
	}
	return share
}
