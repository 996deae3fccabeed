package cell_test

import (
	"fmt"
	"net/http"
	"strings"

	"pomelomoor/platform/standin"
)

const (
	// firstKeyedSeed is the first of the seeds whose callers belong to organisations, with keys that come and go and caps.
	firstKeyedSeed = 701
	// steadyCap is the cap of one organisation. That of another one changes between variedCap and half of it.
	steadyCap = 3 * cellCapacity / 2
	variedCap = 3 * cellCapacity / 2
	// crowdOrganisation is the index of the organisation without a cap, to which the crowds belong.
	crowdOrganisation = 2
	// soakCapGrace is how long a cap that was replaced may be in force: the apply time, and two faults in a row that keep the
	// leader from the store or its orders from the workers.
	soakCapGrace = configApplyTime + 2*maxFaultDuration
)

// organisationNames are the names of the organisations; each has a key that stays.
var organisationNames = []string{"steady", "varied", "crowd"}

func stayingKey(index int) string {
	return "planted-staying-" + organisationNames[index]
}

// versionKey returns the key that only one version of the configuration has.
func versionKey(version int) string {
	return fmt.Sprintf("planted-version-%d", version)
}

// soakTenants returns the organisations of a version of the configuration.
func soakTenants(version int) []standin.Tenant {
	varied := int64(variedCap)
	if version/3%2 == 1 {
		varied /= 2
	}
	return []standin.Tenant{
		{
			Name: organisationNames[0],
			Keys: []string{stayingKey(0)},
			Cap:  steadyCap,
		},
		{
			Name:   organisationNames[1],
			Keys:   []string{versionKey(version), stayingKey(1)},
			Weight: 3,
			Cap:    varied,
		},
		{
			Name: organisationNames[2],
			Keys: []string{stayingKey(2)},
		},
	}
}

// lastSoakTenants returns the organisations after all faults: the key of the version is gone, and another one has come.
func lastSoakTenants() []standin.Tenant {
	tenants := soakTenants(0)
	tenants[1].Keys = []string{stayingKey(1), addedKey}
	return tenants
}

// key returns the staying key of an organisation; empty in earlier seeds.
func (soak *soak) key(index int) string {
	if !soak.keyed {
		return ""
	}
	return stayingKey(index % len(organisationNames))
}

// assign makes job one of an organisation.
func (soak *soak) assign(job *soakJob, index int) {
	if !soak.keyed {
		return
	}
	job.key = soak.key(index)
	soak.cell.site.RunRecorder.SetOwner(strings.Split(job.path, "/")[2], organisationNames[index%len(organisationNames)])
}

// checkAdmitted checks that a key that stays is never refused, and that its job is never taken for another organisation's.
func (soak *soak) checkAdmitted(job *soakJob, answer answer) {
	if answer.status == http.StatusUnauthorized || answer.status == http.StatusConflict || answer.status == http.StatusGone {
		soak.t.Errorf("%s: status %d (%s) for a key that stays", job.path, answer.status, answer.body)
	}
}

// checkOrganisations checks, after all faults, that no place holds a key, and that no organisation sees a job of another.
func (soak *soak) checkOrganisations() {
	soak.cell.checkNoKeys()
	for index, job := range soak.jobs {
		if !job.accepted || index%20 != 0 {
			continue
		}
		for other := range organisationNames {
			key := soak.key(other)
			answer := soak.cell.callWithKey(key, http.MethodGet, index%len(soak.cell.instances), job.path, nil)
			if visible := answer.status == http.StatusOK; visible != (key == job.key) || !visible && answer.status != http.StatusGone {
				soak.t.Errorf("%s: status %d for %s", job.path, answer.status, organisationNames[other])
			}
		}
	}
	for _, name := range organisationNames {
		soak.t.Logf("%s had up to %d thousandths of a core running", name, soak.cell.site.RunRecorder.MostUsed(name))
	}
}
