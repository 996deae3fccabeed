package cell_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pomelomoor/platform/standin"
)

const (
	// northCap lets capTasks tasks of capWork run at a time, on workers with room for 24.
	northCap = 5 * cellCapacity / 8
	capTasks = 5
	// capJobs is the number of jobs of north, of capJobTasks tasks each.
	capJobs     = 8
	capJobTasks = 4
)

// capWork is an eighth of a worker.
var capWork = standin.Work{
	Milliseconds: 1000,
	MilliCPU:     cellCapacity / 8,
}

// cappedTenants returns north with a cap and south without.
func cappedTenants(limit int64) []standin.Tenant {
	tenants := northAndSouth()
	tenants[0].Cap = limit
	return tenants
}

// submitFor submits a job with a key of organisation and returns its path.
func (cell *cell) submitFor(organisation, key, id string, tasks int, work standin.Work) string {
	cell.t.Helper()
	cell.site.RunRecorder.SetOwner(id, organisation)
	path := plainQueue.Prefix + id
	if answer := cell.callWithKey(key, http.MethodPost, 0, path, job(tasks, work, false)); answer.status != http.StatusOK {
		cell.t.Fatalf("submission: status %d (%s)", answer.status, answer.body)
	}
	return path
}

// endLapsedRuns ends the runs whose leases are over, also on workers that no call reaches, until the test ends.
func (cell *cell) endLapsedRuns() {
	ticker := time.NewTicker(pollInterval)
	cell.t.Cleanup(ticker.Stop)
	context := cell.t.Context()
	go func() {
		for {
			select {
			case <-context.Done():
				return
			case <-ticker.C:
			}
			for _, worker := range cell.site.Workers {
				worker.EndLapsedRuns()
			}
		}
	}()
}

// TestCaps guards against starts that bring an organisation above its cap, and against a reached cap that stops others: a new
// leader does not know yet what runs, runs on a silent worker may still be alive, and a cap shrinks below what runs.
func TestCaps(t *testing.T) {
	cases := []struct {
		name string
		// inject is called once north has as much running as it may.
		inject func(cell *cell)
	}{
		{
			name:   "calm",
			inject: func(*cell) {},
		},
		{
			name: "leader killed",
			inject: func(cell *cell) {
				leader := cell.leader()
				leader.kill(syscall.SIGKILL)
				leader.start()
			},
		},
		{
			name: "leader killed beside a silent worker",
			inject: func(cell *cell) {
				cell.links[cell.site.Workers[0].ID].Cut()
				leader := cell.leader()
				leader.kill(syscall.SIGKILL)
				leader.start()
			},
		},
		{
			name: "all instances killed",
			inject: func(cell *cell) {
				for _, instance := range cell.instances {
					instance.kill(syscall.SIGKILL)
				}
				for _, instance := range cell.instances {
					instance.start()
				}
			},
		},
		{
			name: "cap shrinks",
			inject: func(cell *cell) {
				cell.site.SetTenants(cappedTenants(2 * capWork.MilliCPU)...)
				if err := cell.site.Configure(plainQueue, publicQueue); err != nil {
					cell.t.Error(err)
				}
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			cell := newTenantCell(t, 3, 3, cappedTenants(northCap), plainQueue, publicQueue)
			cell.awaitServed(publicQueue)
			cell.endLapsedRuns()
			var paths []string
			for index := range capJobs {
				paths = append(paths, cell.submitFor("north", northKey, fmt.Sprintf("%016x", index+1), capJobTasks, capWork))
			}
			cell.await(startTimeout, "north to reach its cap", func() bool {
				return cell.site.RunRecorder.Used("north") >= capTasks*capWork.MilliCPU
			})
			test.inject(cell)
			other := cell.submitUntilAccepted("south", southKey, "00000000000000f1", capJobTasks)
			cell.awaitStateWithKey(southKey, other, "completed")
			if _, state := cell.stateWithKey(northKey, 0, paths[capJobs-1]); state != "queued" {
				t.Errorf("the last job of north is %q as that of south has ended, want queued", state)
			}
			for _, path := range paths {
				cell.awaitStateWithKey(northKey, path, "completed")
			}
			if gauges := cell.organisationGauges("north"); !slices.Contains(gauges, "CapShare") || !slices.Contains(gauges, "CappedTasks") {
				t.Errorf("the metrics have %v of north", gauges)
			}
			if most := cell.site.RunRecorder.MostUsed("north"); most > northCap {
				t.Errorf("north had %d thousandths of a core running, its cap is %d", most, northCap)
			}
			cell.checkViolations()
		})
	}
}

// organisationGauges returns the names of the metrics that the instances have of an organisation.
func (cell *cell) organisationGauges(organisation string) []string {
	var names []string
	for _, instance := range cell.instances {
		for line := range strings.Lines(string(instance.metrics())) {
			name, _, found := strings.Cut(line, `{Organisation="`+organisation+`"`)
			if found {
				names = append(names, strings.TrimPrefix(name, "Organisations."))
			}
		}
	}
	return names
}

// submitUntilAccepted submits a job again and again, by all instances in turn, until it is accepted.
func (cell *cell) submitUntilAccepted(organisation, key, id string, tasks int) string {
	cell.t.Helper()
	cell.site.RunRecorder.SetOwner(id, organisation)
	path := plainQueue.Prefix + id
	attempt := 0
	cell.await(settleTimeout, path+" to be accepted", func() bool {
		attempt++
		return cell.callWithKey(key, http.MethodPost, attempt%len(cell.instances), path, job(tasks, capWork, false)).status == http.StatusOK
	})
	return path
}

// TestGangWiderThanCap guards against a gang that waits for ever, or that runs, though the cap of its organisation never has
// room for it: its caller learns so at once, and the same gang of an organisation without a cap runs.
func TestGangWiderThanCap(t *testing.T) {
	cell := newTenantCell(t, 3, 3, cappedTenants(northCap), plainQueue, publicQueue)
	cell.awaitServed(publicQueue)
	const refused, narrow, other = "00000000000000d1", "00000000000000d2", "00000000000000d3"
	answer := cell.callWithKey(northKey, http.MethodPost, 1, plainQueue.Prefix+refused, job(capTasks+1, capWork, true))
	seconds, err := strconv.Atoi(answer.header.Get("Retry-After"))
	if answer.status != http.StatusTooManyRequests || err != nil || seconds < 1 {
		t.Errorf("status %d, Retry-After %q (%s)", answer.status, answer.header.Get("Retry-After"), answer.body)
	}
	for id, key := range map[string]string{
		narrow: northKey,
		other:  southKey,
	} {
		tasks := capTasks
		if id == other {
			tasks++
		}
		if answer := cell.callWithKey(key, http.MethodPost, 2, plainQueue.Prefix+id, job(tasks, capWork, true)); answer.status != http.StatusOK {
			t.Errorf("%s: status %d (%s)", id, answer.status, answer.body)
		}
		cell.awaitStateWithKey(key, plainQueue.Prefix+id, "completed")
	}
	if cell.site.RunRecorder.Started(refused) {
		t.Error("the refused gang has run")
	}
	if status, _ := cell.stateWithKey(northKey, 0, plainQueue.Prefix+refused); status != http.StatusGone {
		t.Errorf("state of the refused gang: status %d, want 410", status)
	}
	if strings.Contains(string(answer.body), "planted-") {
		t.Errorf("the answer holds a key: %s", answer.body)
	}
	const refusal = `Organisations.Refused{Organisation="north",Reason="Overload"} 1`
	cell.await(startTimeout, "the refusal in the metrics", func() bool {
		return strings.Contains(string(cell.instances[1].metrics()), refusal)
	})
	cell.checkNoKeys()
	cell.checkViolations()
}
