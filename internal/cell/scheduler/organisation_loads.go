package scheduler

import (
	"cmp"
	"slices"

	"pomelomoor/internal/placement/accountant"
	"pomelomoor/internal/work/descriptor"
)

// OrganisationLoad tells what an organisation has running and waiting.
type OrganisationLoad struct {
	Name   string
	Weight float64
	// Cap is in force for the organisation, and Used counts against it.
	Cap, Used descriptor.Resources
	// Share is the dominant share of all workers' capacity that Used takes, EntitledShare the part of the weights of all
	// organisations that its own makes up, and CapShare the part of its cap that it uses.
	Share, EntitledShare, CapShare float64
	// WaitingTasks counts the tasks of open steps that are to be placed, and CappedTasks those of them that the cap leaves no
	// room for.
	WaitingTasks, CappedTasks int
}

// OrganisationLoads returns the load of each organisation that has had a job in this term, by name.
func (scheduler *Scheduler) OrganisationLoads() []OrganisationLoad {
	if len(scheduler.accounts) == 0 {
		return nil
	}
	var total descriptor.Resources
	for _, worker := range scheduler.workers {
		if worker.description != nil {
			total = total.Add(worker.description.Capacity)
		}
	}
	weights := 0.0
	for index := range scheduler.config.Organisations {
		weights += scheduler.config.Organisations[index].Weight
	}
	loads := make([]OrganisationLoad, 0, len(scheduler.accounts))
	indices := map[*accountant.Account]int{}
	for name, account := range scheduler.accounts {
		indices[account] = len(loads)
		load := OrganisationLoad{
			Name:     name,
			Weight:   account.Weight,
			Cap:      account.Cap,
			Used:     account.Used(),
			Share:    account.Used().DominantShare(total),
			CapShare: account.CapShare(),
		}
		if weights > 0 {
			load.EntitledShare = account.Weight / weights
		}
		loads = append(loads, load)
	}
	for step := range scheduler.waiting {
		if step.job.account == nil {
			continue
		}
		load := &loads[indices[step.job.account]]
		load.WaitingTasks += step.unplaced
		load.CappedTasks += max(step.unplaced-step.capRoom(), 0)
	}
	slices.SortFunc(loads, func(left, right OrganisationLoad) int {
		return cmp.Compare(left.Name, right.Name)
	})
	return loads
}
