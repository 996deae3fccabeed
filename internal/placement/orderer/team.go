package orderer

import "pomelomoor/internal/work/descriptor"

// SetTeam sets the quota of a team. All starts of a team without a quota count as over quota.
func (orderer *Orderer) SetTeam(name string, quota descriptor.Resources) {
	orderer.team(name).quota = quota
}

// SetOtherShardsUsage sets the usage of a team in other shards. The quota applies to the sum over all
// shards.
func (orderer *Orderer) SetOtherShardsUsage(name string, used descriptor.Resources) {
	orderer.team(name).otherShardsUsage = used
}

// Charge adds to the usage of a team in this shard, for runs that were not started by Walk or Pop.
func (orderer *Orderer) Charge(name string, amount descriptor.Resources) {
	team := orderer.team(name)
	team.used = team.used.Add(amount)
}

// Credit subtracts from the usage of a team in this shard when a run ends.
func (orderer *Orderer) Credit(name string, amount descriptor.Resources) {
	team := orderer.team(name)
	team.used = team.used.Sub(amount)
}

// Used returns the usage of a team in this shard.
func (orderer *Orderer) Used(name string) descriptor.Resources {
	return orderer.team(name).used
}

// OverQuota reports whether a team uses more than its quota over all shards.
func (orderer *Orderer) OverQuota(name string) bool {
	team := orderer.team(name)
	return !team.used.Add(team.otherShardsUsage).Fits(team.quota)
}

// team returns a team, which it creates if necessary.
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

// maxShare limits a share, so that its conversion to steps cannot overflow with a tiny quota.
const maxShare = 1 << 20

// share returns the dominant share of the quota that the team uses: the largest fraction over all
// resources. A team that uses a resource without a quota for it is ordered after all others.
func (team *team) share() float64 {
	used := team.used.Add(team.otherShardsUsage)
	if used.MilliCPU > 0 && team.quota.MilliCPU <= 0 ||
		used.MemoryBytes > 0 && team.quota.MemoryBytes <= 0 ||
		used.Accelerators > 0 && team.quota.Accelerators <= 0 {
		return maxShare
	}
	return min(used.DominantShare(team.quota), maxShare)
}
