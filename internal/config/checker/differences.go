package checker

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/work/descriptor"
)

// compareCells tells what a configuration of a cell changes, for whom and when.
func (check *check) compareCells(before, after *describer.Config) {
	if after.Version <= before.Version {
		same := *before
		same.Revision = after.Revision
		if reflect.DeepEqual(&same, after) {
			return
		}
		check.warn("VersionNotNewer", "Version", "version %d is not above the version in force, %d; instances follow the order in the store, and their logs show the versions in the wrong order", after.Version, before.Version)
	}
	if before.KeysRequired && !after.KeysRequired {
		check.warn("KeysNoLongerRequired", "Organisations", "the configuration names no organisations: calls need no key from now on unless the settings require keys")
	}
	if !before.KeysRequired && after.KeysRequired {
		check.note("KeysRequired", "Organisations", "calls to queues that are not public need a key as soon as the version is in force")
	}
	check.compareQueues(before, after)
	check.compareKeys(before, after)
	check.compareOrganisations(before, after)
}

func (check *check) compareQueues(before, after *describer.Config) {
	unended := map[string]int{}
	for _, work := range check.facts.Work {
		unended[work.Queue] += work.Jobs
	}
	indexes := map[string]int{}
	for index := range after.Queues {
		indexes[after.Queues[index].Name] = index
	}
	for index := range before.Queues {
		old := &before.Queues[index]
		changed, remains := indexes[old.Name]
		if !remains {
			if jobs := unended[old.Name]; jobs > 0 {
				check.warn("QueueRemoved", "Queues", "queue %q is removed: %d jobs that have not ended go on under its last policy, and their callers can no longer ask for them or cancel them", old.Name, jobs)
			} else {
				check.note("QueueRemoved", "Queues", "queue %q is removed: the next call to it is refused", old.Name)
			}
			continue
		}
		queue := &after.Queues[changed]
		if old.Host != queue.Host || old.Prefix != queue.Prefix {
			check.note("QueueMoved", queueField(changed, ".Prefix"), "queue %q moves from host %q and prefix %q to host %q and prefix %q with the next call", old.Name, old.Host, old.Prefix, queue.Host, queue.Prefix)
		}
		if !old.Public && queue.Public && after.KeysRequired {
			check.warn("QueueMadePublic", queueField(changed, ".Public"), "calls to queue %q need no key from now on", queue.Name)
		}
		if old.Public && !queue.Public && after.KeysRequired {
			check.note("QueueNoLongerPublic", queueField(changed, ".Public"), "the next call to queue %q needs a key", queue.Name)
		}
		if old.Service != queue.Service && unended[old.Name] > 0 {
			check.warn("ServiceChanged", queueField(changed, ".Service"), "the service of queue %q changes from %q to %q: further tasks of %d jobs that have not ended run there", queue.Name, old.Service, queue.Service, unended[old.Name])
		} else if !old.Equal(&queue.Policy) {
			check.note("PolicyChanged", queueField(changed, ""), "the policy of queue %q changes, for jobs that have not ended too", queue.Name)
		}
		delete(indexes, old.Name)
	}
	known := make(map[string]bool, len(before.Queues))
	for index := range before.Queues {
		known[before.Queues[index].Name] = true
	}
	for index := range after.Queues {
		if queue := &after.Queues[index]; !known[queue.Name] {
			check.note("QueueAdded", queueField(index, ""), "queue %q is new", queue.Name)
		}
	}
}

// compareKeys tells which keys are no longer valid or change hands. Keys are named by the beginning of their digests.
func (check *check) compareKeys(before, after *describer.Config) {
	if !after.KeysRequired {
		return
	}
	fields := map[string]string{}
	for index := range after.Organisations {
		fields[after.Organisations[index].Name] = fmt.Sprintf("Organisations[%d].Keys", index)
	}
	digests := make([]describer.KeyDigest, 0, len(before.Keys))
	for digest := range before.Keys {
		digests = append(digests, digest)
	}
	slices.SortFunc(digests, func(left, right describer.KeyDigest) int {
		return bytes.Compare(left[:], right[:])
	})
	for _, digest := range digests {
		owner := before.Keys[digest]
		successor, remains := after.Keys[digest]
		switch {
		case !remains:
			field, stays := fields[owner]
			if !stays {
				field = "Organisations"
			}
			check.note("KeyLost", field, "key %s of organisation %q is no longer valid as soon as the version is in force", digest, owner)
		case successor != owner:
			check.warn("KeyMoved", fields[successor], "key %s of organisation %q now belongs to %q: its holders no longer see their jobs", digest, owner, successor)
		}
	}
}

func (check *check) compareOrganisations(before, after *describer.Config) {
	used, jobs := map[string]total{}, map[string]int{}
	for _, work := range check.facts.Work {
		used[work.Organisation] = used[work.Organisation].add(work.Used, 1)
		jobs[work.Organisation] += work.Jobs
	}
	known := map[string]*describer.Organisation{}
	for index := range before.Organisations {
		known[before.Organisations[index].Name] = &before.Organisations[index]
	}
	for index := range after.Organisations {
		organisation := &after.Organisations[index]
		field := fmt.Sprintf("Organisations[%d]", index)
		old := known[organisation.Name]
		delete(known, organisation.Name)
		if old == nil {
			check.note("OrganisationAdded", field, "organisation %q is new", organisation.Name)
			continue
		}
		if old.Weight != organisation.Weight {
			check.note("WeightChanged", field+".Weight", "the weight of organisation %q changes from %g to %g with the next start", organisation.Name, old.Weight, organisation.Weight)
		}
		check.compareCap(organisation, field, old.Cap, used[organisation.Name])
	}
	for index := range before.Organisations {
		name := before.Organisations[index].Name
		if known[name] == nil {
			continue
		}
		if jobs[name] > 0 {
			check.warn("OrganisationRemoved", "Organisations", "organisation %q is removed: %d jobs that have not ended go on, and under the next leader without a cap", name, jobs[name])
		} else {
			check.note("OrganisationRemoved", "Organisations", "organisation %q is removed", name)
		}
	}
}

// compareCap tells what a changed cap means for what runs.
func (check *check) compareCap(organisation *describer.Organisation, field string, old descriptor.Resources, used total) {
	for component, limit := range components(organisation.Cap) {
		former := components(old)[component]
		switch {
		case limit == former:
		case limit == 0:
			check.note("CapRemoved", field+".Cap", "organisation %q had a cap of %s and has none from the next start on", organisation.Name, amount(component, former))
		case used[component] > limit:
			check.warn("CapBelowUsed", field+".Cap."+componentNames[component], "organisation %q has %s running, above its new cap of %s: nothing is stopped, and nothing starts until enough has ended",
				organisation.Name, amount(component, used[component]), amount(component, limit))
		case former == 0:
			check.note("CapAdded", field+".Cap."+componentNames[component], "organisation %q gets a cap of %s from the next start on", organisation.Name, amount(component, limit))
		default:
			check.note("CapChanged", field+".Cap."+componentNames[component], "the cap of organisation %q changes from %s to %s from the next start on", organisation.Name, amount(component, former), amount(component, limit))
		}
	}
}

// comparePolicies tells what a configuration of policies and teams changes.
func (check *check) comparePolicies(before, after parser.Config) {
	fields := map[string]string{}
	for index, policy := range after.Policies {
		fields["Policy "+policy.Name] = fmt.Sprintf("Policies[%d]", index)
	}
	for index, team := range after.Teams {
		fields["Team "+team.Name] = fmt.Sprintf("Teams[%d]", index)
	}
	for _, change := range parser.Diff(before, after) {
		verb := "changes"
		switch {
		case change.Before == "":
			verb = "is new"
		case change.After == "":
			verb = "is removed"
		}
		check.note("ItemChanged", fields[change.Item], "%s %s, for work that waits and for what is submitted", change.Item, verb)
	}
	quotas := map[string]descriptor.Resources{}
	for _, team := range before.Teams {
		quotas[team.Name] = team.Quota
	}
	for index, team := range after.Teams {
		old, known := quotas[team.Name]
		var used total
		for _, work := range check.workOf(team.Name) {
			used = used.add(work.Used, 1)
		}
		for component, quota := range components(team.Quota) {
			if known && quota < components(old)[component] && used[component] > quota {
				check.warn("QuotaBelowUsed", fmt.Sprintf("Teams[%d].Quota.%s", index, componentNames[component]),
					"team %q has %s running, above its new quota of %s: the part above it may be displaced", team.Name, amount(component, used[component]), amount(component, quota))
			}
		}
	}
}
