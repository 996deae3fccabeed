package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/shard/tallier"
	"pomelomoor/internal/work/descriptor"
)

func teamJob(team string) descriptor.Job {
	return descriptor.Job{
		Name:       team,
		Caller:     "yard",
		Team:       team,
		Kind:       descriptor.KindBatch,
		Idempotent: true,
		Task: descriptor.Resources{
			MilliCPU: 4000,
		},
		Payload: `{"RunTime":"20s"}`,
	}
}

// Guards against quotas that hold for each shard by itself: a team that uses all its quota on one shard
// would go first on the others as well.
func TestQuotaHoldsForTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := &parser.Compiled{}
		for _, team := range []string{"assay", "billing"} {
			config.Config.Teams = append(config.Config.Teams, parser.Team{
				Name: team,
				Quota: descriptor.Resources{
					MilliCPU: 4000,
				},
			})
		}
		one, other := newPlant(t, config, 1, teamJob("").Task), newPlant(t, config, 1, teamJob("").Task)
		var tally tallier.Tallier
		inform := func() {
			tally.Set("hof-0", one.controller.Load().Teams)
			tally.Set("lager-0", other.controller.Load().Teams)
			other.step(signaler.UseElsewhere{
				Teams: tally.Elsewhere("lager-0"),
			})
		}
		first := func() string {
			assay := other.submit(teamJob("assay"))
			<-time.After(time.Millisecond)
			billing := other.submit(teamJob("billing"))
			other.run(time.Hour)
			history := other.workers["w0"].History()
			switch history[len(history)-2].Run.Job {
			case assay:
				return "assay"
			case billing:
				return "billing"
			}
			return "neither"
		}
		one.submit(teamJob("assay"))
		inform()
		other.submit(teamJob("third"))
		if got := first(); got != "billing" {
			t.Errorf("%s goes first while assay uses its quota on the other shard, want billing", got)
		}
		one.run(time.Hour)
		inform()
		other.submit(teamJob("third"))
		if got := first(); got != "assay" {
			t.Errorf("%s goes first when assay uses nothing elsewhere any more, want assay", got)
		}
	})
}
