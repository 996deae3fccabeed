package scheduler

import (
	"slices"
	"testing"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/work/descriptor"
)

// TestOrganisationLoads guards against a report that blames the cap for tasks that wait for room, or the other way round, and
// that leaves organisations out.
func TestOrganisationLoads(t *testing.T) {
	cores := func(count int64) descriptor.Resources {
		return descriptor.Resources{
			MilliCPU: 1000 * count,
		}
	}
	now := time.Unix(1000, 0)
	scheduler := New(Options{}, &describer.Config{
		Queues: []describer.Queue{{
			Name: "q",
		}},
		Organisations: []describer.Organisation{
			{
				Name:   "north",
				Weight: 1,
				Cap:    cores(4),
			},
			{
				Name:   "south",
				Weight: 3,
			},
		},
	})
	scheduler.SetWorker(now, &describer.Worker{
		ID:       "w",
		Capacity: cores(20),
	})
	for _, organisation := range []string{"", "north", "south"} {
		scheduler.Add(now, &describer.Job{
			ID:           describer.JobID("job-" + organisation),
			Queue:        "q",
			Organisation: organisation,
			Submitted:    now,
			Steps: []describer.Step{{
				Count: 5,
				Needs: cores(1),
			}},
		})
	}
	scheduler.account("north").Charge(cores(2))
	want := []OrganisationLoad{
		{
			Name:          "north",
			Weight:        1,
			Cap:           cores(4),
			Used:          cores(2),
			Share:         0.1,
			EntitledShare: 0.25,
			CapShare:      0.5,
			WaitingTasks:  5,
			CappedTasks:   3,
		},
		{
			Name:          "south",
			Weight:        3,
			EntitledShare: 0.75,
			WaitingTasks:  5,
		},
	}
	if loads := scheduler.OrganisationLoads(); !slices.Equal(loads, want) {
		t.Errorf("loads %+v, want %+v", loads, want)
	}
}
