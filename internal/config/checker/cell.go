package checker

import (
	"fmt"
	"net"
	"strings"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/placement/accountant"
	"pomelomoor/internal/work/descriptor"
)

// cell applies the rules on the configuration of a cell, except those on differences.
func (check *check) cell(config *describer.Config) {
	check.queueNames(config)
	services := map[string]bool{}
	for _, workers := range check.facts.Workers {
		services[workers.Service] = true
	}
	for index := range config.Queues {
		queue := &config.Queues[index]
		check.address(queue, index)
		check.objective(queue, index)
		if _, known := config.EnforcesCapacity[queue.Service]; !known && len(config.EnforcesCapacity) > 0 {
			check.warn("ServiceUnknown", queueField(index, ".Service"), "service %q of queue %q is not in the configuration", queue.Service, queue.Name)
		} else if len(services) > 0 && !services[queue.Service] {
			check.warn("ServiceWithoutWorkers", queueField(index, ".Service"), "service %q of queue %q has no worker", queue.Service, queue.Name)
		}
		if queue.MaxAttempts < 0 {
			check.warn("AttemptsNegative", queueField(index, ".MaxAttempts"), "%d attempts count as no limit", queue.MaxAttempts)
		}
	}
	check.queueWork(config)
	check.organisations(config)
	check.caps(config)
}

// queueField returns the path of a field of a queue.
func queueField(index int, field string) string {
	return fmt.Sprintf("Queues[%d]%s", index, field)
}

// queueNames warns of queues that no call reaches because of another queue.
func (check *check) queueNames(config *describer.Config) {
	type address struct {
		host, prefix string
	}
	names := map[string]bool{}
	addresses := map[address]int{}
	for index := range config.Queues {
		queue := &config.Queues[index]
		own := address{
			host:   queue.Host,
			prefix: queue.Prefix,
		}
		if names[queue.Name] {
			check.warn("QueueRepeated", queueField(index, ".Name"), "queue %q stands twice: the policy of the first one counts for the jobs of both", queue.Name)
		}
		names[queue.Name] = true
		if first, known := addresses[own]; known {
			check.warn("QueueHidden", queueField(index, ".Prefix"), "queue %q gets no call: queue %q before it has the same host %q and prefix %q",
				queue.Name, config.Queues[first].Name, queue.Host, queue.Prefix)
		} else {
			addresses[own] = index
		}
	}
	for index := range config.Queues {
		queue := &config.Queues[index]
		if queue.Prefix != "" {
			continue
		}
		slash := address{
			host:   queue.Host,
			prefix: "/",
		}
		if other, known := addresses[slash]; known {
			check.warn("QueueHidden", queueField(index, ".Prefix"), "queue %q gets no call: the prefix \"/\" of queue %q is longer and matches every path",
				queue.Name, config.Queues[other].Name)
		}
	}
}

// address warns of a host or prefix that no call can have.
func (check *check) address(queue *describer.Queue, index int) {
	if queue.Prefix != "" && !strings.HasPrefix(queue.Prefix, "/") {
		check.warn("PrefixUnreachable", queueField(index, ".Prefix"), "queue %q gets no call: its prefix %q does not begin with a slash", queue.Name, queue.Prefix)
	}
	if _, _, err := net.SplitHostPort(queue.Host); err == nil {
		check.warn("HostUnreachable", queueField(index, ".Host"), "queue %q gets no call: hosts are compared without a port, and %q has one", queue.Name, queue.Host)
	}
}

// objective warns of an objective that no job can meet.
func (check *check) objective(queue *describer.Queue, index int) {
	advice := queue.Advice
	switch {
	case queue.LatencyAllowance < 0:
		check.warn("ObjectiveNegative", queueField(index, ".LatencyAllowance"), "the allowance of queue %q is negative", queue.Name)
	case queue.SlackFactor > 0 && queue.SlackFactor < 1 && queue.LatencyAllowance == 0:
		check.warn("ObjectiveShort", queueField(index, ".SlackFactor"), "every job of queue %q is late: its objective is %g times its work, without an allowance", queue.Name, queue.SlackFactor)
	case advice != nil && queue.SlackFactor <= 1 && queue.LatencyAllowance > 0 && advice.Base > queue.LatencyAllowance:
		check.warn("AdviceSlow", queueField(index, ".Advice.Base"), "every job of queue %q is late: advice takes %s, and its objective leaves %s beyond the work",
			queue.Name, advice.Base, queue.LatencyAllowance)
	}
	if advice != nil && (advice.Base < 0 || advice.PerWorker < 0 || advice.Validity < 0) {
		check.warn("AdviceNegative", queueField(index, ".Advice"), "the advice of queue %q has a negative time", queue.Name)
	}
}

// queueWork warns of queues that cannot serve the work that was seen of them.
func (check *check) queueWork(config *describer.Config) {
	queues := map[string]int{}
	for index := range config.Queues {
		if _, known := queues[config.Queues[index].Name]; !known {
			queues[config.Queues[index].Name] = index
		}
	}
	for _, work := range check.facts.Work {
		index, known := queues[work.Queue]
		if !known {
			continue
		}
		queue := &config.Queues[index]
		longest := work.LongestChain.Duration
		objective := time.Duration(queue.SlackFactor*float64(longest)) + queue.LatencyAllowance
		if queue.SlackFactor < 1 && objective > 0 && objective < longest {
			check.warn("ObjectiveBelowWork", queueField(index, ".LatencyAllowance"),
				"queue %q has jobs that take %s, and their objective is %s", queue.Name, longest, objective)
		}
		if check.tooLarge(queue.Service, work.Task) {
			check.warn("TaskTooLarge", queueField(index, ".Service"),
				"no worker of service %q has room for a task of queue %q, which needs %s", queue.Service, queue.Name, amounts(work.Task))
		}
	}
}

// tooLarge reports whether service has workers of which none is large enough for a task.
func (check *check) tooLarge(service string, task descriptor.Resources) bool {
	found := false
	for _, workers := range check.facts.Workers {
		if workers.Service != service {
			continue
		}
		found = true
		if task.Fits(workers.Capacity) {
			return false
		}
	}
	return found
}

// organisations warns of organisations that can do nothing.
func (check *check) organisations(config *describer.Config) {
	if !config.KeysRequired {
		return
	}
	keys := map[string]int{}
	for _, name := range config.Keys {
		keys[name]++
	}
	weights := 0.0
	for index := range config.Organisations {
		if weight := config.Organisations[index].Weight; possibleWeight(weight) {
			weights += weight
		}
	}
	for index := range config.Queues {
		if queue := &config.Queues[index]; !queue.Public && len(config.Keys) == 0 {
			check.warn("NoKeys", "Organisations", "queue %q is not public and there is no key: all its calls are refused", queue.Name)
			break
		}
	}
	room := check.facts.room()
	for index := range config.Organisations {
		organisation := &config.Organisations[index]
		field := fmt.Sprintf("Organisations[%d]", index)
		if keys[organisation.Name] == 0 {
			check.warn("OrganisationWithoutKey", field+".Keys", "organisation %q has no key: it can make no call but to public queues", organisation.Name)
		}
		if organisation.Weight == 0 {
			check.warn("WeightNothing", field+".Weight", "organisation %q has the weight 0: it gets only what the others leave", organisation.Name)
		}
		if organisation.Weight == 0 || !possibleWeight(organisation.Weight) {
			continue
		}
		share := organisation.Weight / weights
		for _, work := range check.workOf(organisation.Name) {
			for component, need := range components(work.Task) {
				if room[component] > 0 && need > room[component]*share {
					check.warn("WeightBelowTask", field+".Weight", "organisation %q has a share of %s when all is full, and a task of queue %q needs %s",
						organisation.Name, amount(component, room[component]*share), work.Queue, amount(component, need))
				}
			}
		}
	}
}

func possibleWeight(weight float64) bool {
	return weight >= 0 && weight <= describer.MaxWeight
}

// workOf returns what was seen of an organisation.
func (check *check) workOf(organisation string) []Work {
	var found []Work
	for _, work := range check.facts.Work {
		if work.Organisation == organisation {
			found = append(found, work)
		}
	}
	return found
}

// caps warns of caps that contradict what was seen, and compares all caps with the room of the cell.
func (check *check) caps(config *describer.Config) {
	room := check.facts.room()
	var sum total
	var uncapped, unreachable [len(componentNames)]bool
	for index := range config.Organisations {
		organisation := &config.Organisations[index]
		field := fmt.Sprintf("Organisations[%d].Cap", index)
		sum = sum.add(organisation.Cap, 1)
		for component, limit := range components(organisation.Cap) {
			if limit == 0 {
				uncapped[component] = true
			}
			if room[component] > 0 && limit > room[component] {
				unreachable[component] = true
				check.warn("CapAboveRoom", field+"."+componentNames[component], "organisation %q can never reach its cap of %s: all workers have %s",
					organisation.Name, amount(component, limit), amount(component, room[component]))
			}
		}
		check.capWork(organisation, field)
	}
	for component := range componentNames {
		switch {
		case room[component] == 0 || sum[component] == 0 || unreachable[component]:
		case sum[component] > room[component]:
			check.note("CapsAboveRoom", "Organisations", "all caps together are %s and all workers have %s: not all can be reached at once",
				amount(component, sum[component]), amount(component, room[component]))
		case sum[component] < room[component] && !uncapped[component] && config.KeysRequired && !hasPublicQueue(config):
			check.warn("CapsBelowRoom", "Organisations", "all caps together are %s and all workers have %s: the rest is never used",
				amount(component, sum[component]), amount(component, room[component]))
		}
	}
}

func hasPublicQueue(config *describer.Config) bool {
	for index := range config.Queues {
		if config.Queues[index].Public {
			return true
		}
	}
	return false
}

// capWork warns of a cap below the tasks or gangs that were seen of an organisation.
func (check *check) capWork(organisation *describer.Organisation, field string) {
	account := &accountant.Account{
		Cap:     organisation.Cap,
		Overage: check.facts.CapOverage,
	}
	for _, work := range check.workOf(organisation.Name) {
		fits := true
		for component, limit := range components(organisation.Cap) {
			if need := components(work.Task)[component]; limit > 0 && need > limit {
				fits = false
				check.warn("CapBelowTask", field+"."+componentNames[component], "organisation %q has a cap of %s and a task of queue %q needs %s: it runs only while nothing else of the organisation does",
					organisation.Name, amount(component, limit), work.Queue, amount(component, need))
			}
		}
		if fits && work.Gang.Tasks > 0 && !account.CanEverHold(work.Gang.Task, work.Gang.Tasks) {
			check.warn("CapBelowGang", field, "organisation %q has a cap of %s and sends gangs of %d tasks of %s to queue %q, which are refused",
				organisation.Name, amounts(organisation.Cap), work.Gang.Tasks, amounts(work.Gang.Task), work.Queue)
		}
	}
}
