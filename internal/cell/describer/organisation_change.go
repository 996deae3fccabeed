package describer

import (
	"bytes"
	"maps"
	"slices"
)

// OrganisationChange is what a configuration changes for one organisation.
type OrganisationChange struct {
	Name string
	// Former is the organisation of the configuration before, Current that of the new one; nil without one.
	Former, Current *Organisation
	// AddedKeys and RemovedKeys are the digests of the keys that the new configuration adds and removes, in order.
	AddedKeys, RemovedKeys []KeyDigest
}

// OrganisationChanges returns the changes from former to config by the names of the organisations.
func (config *Config) OrganisationChanges(former *Config) []OrganisationChange {
	changes := map[string]*OrganisationChange{}
	change := func(name string) *OrganisationChange {
		if changes[name] == nil {
			changes[name] = &OrganisationChange{
				Name:    name,
				Former:  former.Organisation(name),
				Current: config.Organisation(name),
			}
		}
		return changes[name]
	}
	for _, organisations := range [][]Organisation{config.Organisations, former.Organisations} {
		for index := range organisations {
			name := organisations[index].Name
			before, now := former.Organisation(name), config.Organisation(name)
			if before == nil || now == nil || *before != *now {
				change(name)
			}
		}
	}
	for digest, name := range config.Keys {
		if former.Keys[digest] != name {
			changed := change(name)
			changed.AddedKeys = append(changed.AddedKeys, digest)
		}
	}
	for digest, name := range former.Keys {
		if config.Keys[digest] != name {
			changed := change(name)
			changed.RemovedKeys = append(changed.RemovedKeys, digest)
		}
	}
	sorted := make([]OrganisationChange, 0, len(changes))
	for _, name := range slices.Sorted(maps.Keys(changes)) {
		changed := changes[name]
		slices.SortFunc(changed.AddedKeys, compareDigests)
		slices.SortFunc(changed.RemovedKeys, compareDigests)
		sorted = append(sorted, *changed)
	}
	return sorted
}

func compareDigests(left, right KeyDigest) int {
	return bytes.Compare(left[:], right[:])
}
