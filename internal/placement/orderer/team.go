package orderer

import "pomelomoor/internal/work/descriptor"

// SetTeam sets a team's quota. Teams without a quota always borrow.
func (orderer *Orderer) SetTeam(name string, quota descriptor.Resources) {
	orderer.team(name).quota = quota
}

// SetElsewhere sets what a team uses in other shards. The quota applies to the sum.
func (orderer *Orderer) SetElsewhere(name string, used descriptor.Resources) {
	orderer.team(name).elsewhere = used
}

// Charge adds to what a team uses in this shard, for runs that did not start through Walk or Pop.
func (orderer *Orderer) Charge(name string, amount descriptor.Resources) {
	team := orderer.team(name)
	team.used = team.used.Add(amount)
}

// Credit subtracts from what a team uses in this shard when a run ends.
func (orderer *Orderer) Credit(name string, amount descriptor.Resources) {
	team := orderer.team(name)
	team.used = team.used.Sub(amount)
}

// Used returns what a team uses in this shard.
func (orderer *Orderer) Used(name string) descriptor.Resources {
	return orderer.team(name).used
}

// Borrowing reports whether a team uses more than its quota.
func (orderer *Orderer) Borrowing(name string) bool {
	team := orderer.team(name)
	return !team.used.Add(team.elsewhere).Fits(team.quota)
}

func (orderer *Orderer) team(name string) *team {
	orderer.init()
	found, ok := orderer.teams[name]
	if !ok {
		found = &team{
			name: name,
		}
		orderer.teams[name] = found
	}
	return found
}

// maxShare bounds a share, so that a tiny quota cannot overflow the comparison.
const maxShare = 1 << 20

// share returns the dominant share of the quota that the team uses. A team that uses a resource
// without having a quota for it comes after all others.
func (team *team) share() float64 {
	used := team.used.Add(team.elsewhere)
	if used.MilliCPU > 0 && team.quota.MilliCPU <= 0 ||
		used.MemoryBytes > 0 && team.quota.MemoryBytes <= 0 ||
		used.Accelerators > 0 && team.quota.Accelerators <= 0 {
		return maxShare
	}
	return min(used.DominantShare(team.quota), maxShare)
}
