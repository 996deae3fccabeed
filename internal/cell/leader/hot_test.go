package leader

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"

	"pomelomoor/internal/cell/describer"
)

// hotLoad is a load of several organisations, the first of which sends Factor times its usual from At for Duration seconds.
type hotLoad struct {
	Load

	Organisations []describer.Organisation
	// Shares are the shares of the organisations in what is usually sent.
	Shares       []float64
	At, Duration float64
	Factor       float64
	// MaxLoss is how much less of their worth the other organisations may earn. Source: issue 41.
	MaxLoss float64
}

// TestHotOrganisation guards against one organisation that sends several times its usual and takes the room of the others.
// The others send the same jobs in both plays.
func TestHotOrganisation(t *testing.T) {
	document, err := os.ReadFile("testdata/hot-organisation.json")
	if err != nil {
		t.Fatal(err)
	}
	var load hotLoad
	if err := json.Unmarshal(document, &load); err != nil {
		t.Fatal(err)
	}
	earned := map[float64]float64{}
	for _, factor := range []float64{1, load.Factor} {
		synctest.Test(t, func(t *testing.T) {
			simulation := newSimulation(t, load.Load)
			simulation.config.Organisations = load.Organisations
			simulation.hot = &hotCallers{
				hotLoad: load,
				factor:  factor,
				random:  rand.New(rand.NewPCG(load.Seed, 2)),
			}
			simulation.run()
			earned[factor] = simulation.othersShare()
		})
	}
	t.Logf("the others earn %.3f of their worth, %.3f beside the hot organisation", earned[1], earned[load.Factor])
	if earned[1]-earned[load.Factor] > load.MaxLoss {
		t.Errorf("the others earn %.3f of their worth beside an organisation that sends %g times its usual, %.3f without, want a loss of at most %.3f",
			earned[load.Factor], load.Factor, earned[1], load.MaxLoss)
	}
}

// hotCallers assign the jobs of a simulation to organisations and submit those that the hot one sends beyond its usual.
type hotCallers struct {
	hotLoad

	factor float64
	// random draws what the hot organisation sends beyond its usual, so that all else stays the same.
	random *rand.Rand
	// extra means that the job being submitted is beyond the usual.
	extra bool
}

// organisation returns the organisation of the next job; empty without organisations.
func (hot *hotCallers) organisation(random *rand.Rand) string {
	if hot == nil {
		return ""
	}
	if hot.extra {
		return hot.Organisations[0].Name
	}
	left := random.Float64()
	for index, share := range hot.Shares {
		if left -= share; left < 0 {
			return hot.Organisations[index].Name
		}
	}
	return hot.Organisations[len(hot.Organisations)-1].Name
}

// submitExtra submits what the hot organisation sends beyond its usual in a slice of time in which expected jobs of a class
// are usual.
func (hot *hotCallers) submitExtra(simulation *simulation, class int, at, expected float64) {
	if hot == nil || at < hot.At || at >= hot.At+hot.Duration {
		return
	}
	usual := simulation.random
	simulation.random, hot.extra = hot.random, true
	for left := expected * hot.Shares[0] * (hot.factor - 1); simulation.random.Float64() < left; left-- {
		simulation.submitJob(class)
	}
	simulation.random, hot.extra = usual, false
}

// othersShare returns the share of its worth that the jobs of all organisations but the hot one earned.
func (simulation *simulation) othersShare() float64 {
	means, _ := simulation.meanWork()
	var others score
	for _, job := range simulation.jobs {
		if job.organisation != simulation.hot.Organisations[0].Name && !job.failed {
			others.add(simulation.worth(job, means), job.earnedShare())
		}
	}
	return others.share()
}
