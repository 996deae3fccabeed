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

// Guards against quotas that are applied to each shard separately. A team that uses its whole quota on one
// shard would also be served first on the others.
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
		shardA, shardB := newCluster(t, config, 1, teamJob("").Task), newCluster(t, config, 1, teamJob("").Task)
		var teamUsage tallier.Tallier
		exchangeUsage := func() {
			teamUsage.Set("hof-0", shardA.controller.LoadSummary().Teams)
			teamUsage.Set("lager-0", shardB.controller.LoadSummary().Teams)
			shardB.step(signaler.OtherShardsUsage{
				Teams: teamUsage.OtherShardsUsage("lager-0"),
			})
		}
		firstTeam := func() string {
			assay := shardB.submit(teamJob("assay"))
			<-time.After(time.Millisecond)
			billing := shardB.submit(teamJob("billing"))
			shardB.runUntilDone(time.Hour)
			history := shardB.workers["w0"].History()
			switch history[len(history)-2].Run.Job {
			case assay:
				return "assay"
			case billing:
				return "billing"
			}
			return "neither"
		}
		shardA.submit(teamJob("assay"))
		exchangeUsage()
		shardB.submit(teamJob("third"))
		if got := firstTeam(); got != "billing" {
			t.Errorf("%s starts first while assay uses its quota on the other shard, want billing", got)
		}
		shardA.runUntilDone(time.Hour)
		exchangeUsage()
		shardB.submit(teamJob("third"))
		if got := firstTeam(); got != "assay" {
			t.Errorf("%s starts first when assay uses nothing on the other shard any more, want assay", got)
		}
	})
}
