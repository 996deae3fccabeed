package leader

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/elector"
	"pomelomoor/internal/cell/planner"
	"pomelomoor/internal/work/descriptor"
)

// Load is a pattern of work that a cell has to carry. Its file tells in Guards which failure it guards against.
type Load struct {
	Guards string
	Seed   uint64
	// Seconds is how long work comes. Jobs have as long again to end.
	Seconds   float64
	Workers   int
	Capacity  descriptor.Resources
	Instances int
	// Phases are the phases of the waves in which the data centres' callers come.
	Phases  []float64
	Swing   float64
	Period  float64
	Classes []Class
	Bursts  []Burst
	// LeastWorth is the least share of the work's worth that has to be earned, as the users weigh it:
	// all jobs by 0.55, the worst class by 0.45.
	LeastWorth float64
}

// Class is one kind of request.
type Class struct {
	Name      string
	PerSecond float64
	// Work is the mean run time of a task in seconds, WorkSpread its spread, TailShare the share of steps that
	// take TailFactor as long.
	Work, WorkSpread      float64
	TailShare, TailFactor float64
	Uneven, EstimateError float64
	FailedShare           float64
	Steps, StepsSpread    float64
	Width, WidthSpread    float64
	MostWidth             int
	MilliCPU, MegaBytes   float64
	CPUSpread, MegaSpread float64
	GangShare             float64
	Worth                 float64
	Priority              int
	SlackFactor           float64
	Objective             float64
	Attempts              int
	AdviceMs, AdviceEach  float64
	AdviceSeconds, Good   float64
}

// Burst multiplies the rate of a class for a while.
type Burst struct {
	Class        string
	At, Duration float64
	Factor       float64
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// TestLoads plays the files of testdata/loads against a leader with imitated workers, in virtual time.
func TestLoads(t *testing.T) {
	files, err := filepath.Glob("testdata/loads/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no loads: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			document, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var load Load
			if err := json.Unmarshal(document, &load); err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) {
				newTrial(t, load).play()
			})
		})
	}
}

// trial is one play of a load.
type trial struct {
	t       *testing.T
	load    Load
	random  *rand.Rand
	config  *describer.Config
	leader  *Leader
	workers *workers
	store   *store
	jobs    []*submitted
}

// submitted is a job and what its caller sees of it.
type submitted struct {
	class     int
	id        describer.JobID
	at        time.Time
	objective time.Duration
	work      float64
	hopeless  bool
	ended     time.Time
}

func newTrial(t *testing.T, load Load) *trial {
	trial := &trial{
		t:      t,
		load:   load,
		random: rand.New(rand.NewPCG(load.Seed, 1)),
		config: &describer.Config{
			Version: 1,
		},
		store: newStore(),
	}
	for _, class := range load.Classes {
		trial.config.Queues = append(trial.config.Queues, describer.Queue{
			Name:         class.Name,
			Service:      "service",
			Priority:     class.Priority,
			MostAttempts: class.Attempts,
			SlackFactor:  class.SlackFactor,
			Objective:    seconds(class.Objective),
			Advice: &describer.AdvicePolicy{
				Base:      seconds(class.AdviceMs / 1000),
				PerWorker: seconds(class.AdviceEach / 1000),
				Validity:  seconds(class.AdviceSeconds),
			},
		})
	}
	trial.workers = newWorkers(t, load)
	return trial
}

func (trial *trial) play() {
	ctx, cancel := context.WithCancel(trial.t.Context())
	trial.leader = New(Options{
		Store:   trial.store,
		Workers: trial.workers,
		Planner: planner.Options{
			LongestLease:    6 * time.Second,
			StatusRetention: 120 * time.Second,
			RemoteFactor:    2,
		},
		WorkerPrefix: "worker/",
		ParseWorker: func(key string, _ []byte) (*describer.Worker, error) {
			return trial.workers.describe(describer.WorkerID(strings.TrimPrefix(key, "worker/"))), nil
		},
		Config: func() *describer.Config {
			return trial.config
		},
		Ask:     newAdvice(trial.load, trial.config).ask,
		Journal: silence{},
	}, elector.Term{
		Fence: 1,
		Key: describer.Expectation{
			Key:      "leader",
			Revision: 1,
		},
	})
	for index := range trial.load.Workers {
		trial.store.put("worker/" + string(workerName(index)))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = trial.leader.Run(ctx)
	}()
	time.Sleep(time.Second)
	names := make([]string, trial.load.Instances)
	for index := range names {
		names[index] = string(workerName(index))
	}
	trial.leader.SetInstances(ctx, names)
	trial.submit()
	trial.await(seconds(trial.load.Seconds))
	cancel()
	<-done
	// Calls to workers that are on their way end before the trial does.
	time.Sleep(time.Second)
	trial.judge()
}

// submit has the jobs of the load come in.
func (trial *trial) submit() {
	began := time.Now()
	const slice = 10 * time.Millisecond
	for time.Since(began) < seconds(trial.load.Seconds) {
		for index := range trial.load.Classes {
			if trial.random.Float64() < trial.rate(index, time.Since(began).Seconds())*slice.Seconds() {
				trial.arrive(index)
			}
		}
		time.Sleep(slice)
		trial.poll()
	}
}

func (trial *trial) rate(index int, at float64) float64 {
	class := trial.load.Classes[index]
	rate := 0.0
	for _, phase := range trial.load.Phases {
		wave := 1 + trial.load.Swing*math.Sin(2*math.Pi*(at/trial.load.Period+phase))
		rate += class.PerSecond * wave / float64(len(trial.load.Phases))
	}
	for _, burst := range trial.load.Bursts {
		if burst.Class == class.Name && at >= burst.At && at < burst.At+burst.Duration {
			rate *= burst.Factor
		}
	}
	return rate
}

// spread draws a value with a mean and a relative spread.
func (trial *trial) spread(mean, spread float64) float64 {
	return mean * math.Exp(spread*trial.random.NormFloat64()-spread*spread/2)
}

func (trial *trial) arrive(index int) {
	class := trial.load.Classes[index]
	job := &describer.Job{
		ID:        describer.JobID(workerName(len(trial.jobs))),
		Queue:     class.Name,
		Submitted: time.Now(),
	}
	seen := &submitted{
		class: index,
		id:    job.ID,
		at:    job.Submitted,
	}
	var chain time.Duration
	steps := max(int(math.Round(trial.spread(class.Steps, class.StepsSpread))), 1)
	for number := range steps {
		work := trial.spread(class.Work, class.WorkSpread)
		if trial.random.Float64() < class.TailShare {
			work *= class.TailFactor
		}
		step := describer.Step{
			Count: min(max(int(trial.spread(class.Width, class.WidthSpread)), 1), class.MostWidth),
			Needs: descriptor.Resources{
				MilliCPU:    min(int64(trial.spread(class.MilliCPU, class.CPUSpread)), 30000),
				MemoryBytes: min(int64(trial.spread(class.MegaBytes, class.MegaSpread)), 130000) << 20,
			},
			Estimate: seconds(trial.spread(work, class.EstimateError)),
			Gang:     trial.random.Float64() < class.GangShare,
		}
		if number > 0 {
			step.After = []int{number - 1}
		}
		job.Steps = append(job.Steps, step)
		truth := trial.workers.addStep(job.ID, number, step, class.FailedShare)
		longest := 0.0
		for range step.Count {
			own := work
			if !step.Gang {
				own = trial.spread(work, class.Uneven)
			}
			truth.work = append(truth.work, seconds(own))
			longest = max(longest, own)
			seen.work += own * float64(step.Needs.MilliCPU)
		}
		chain += seconds(longest) + seconds((class.AdviceMs+30*class.AdviceEach)/1000)
	}
	seen.objective = time.Duration(class.SlackFactor*float64(chain)) + seconds(class.Objective)
	trial.jobs = append(trial.jobs, seen)
	document, err := json.Marshal(job)
	if err != nil {
		trial.t.Fatal(err)
	}
	trial.leader.Announce(document, "")
}

// poll asks for the states of the jobs that have not ended.
func (trial *trial) poll() {
	for _, job := range trial.jobs {
		if !job.ended.IsZero() {
			continue
		}
		state, _ := trial.leader.State(job.id)
		if state.Final() {
			job.ended = time.Now()
			job.hopeless = state == describer.JobFailed
		}
	}
}

func (trial *trial) await(longest time.Duration) {
	until := time.Now().Add(longest)
	for time.Now().Before(until) {
		time.Sleep(20 * time.Millisecond)
		trial.poll()
	}
}

// lateWorth is the share of its worth that a late job earns, up to lateLimit times its objective.
const (
	lateWorth = 0.2
	lateLimit = 3
	// answerTime is the time from the end of a job until its caller has asked for it.
	answerTime = 60 * time.Millisecond
)

func (trial *trial) judge() {
	owed := make([]float64, len(trial.load.Classes))
	earned := make([]float64, len(trial.load.Classes))
	counts := make([][3]int, len(trial.load.Classes))
	means := make([]float64, len(trial.load.Classes))
	largest := make([][]float64, len(trial.load.Classes))
	for _, job := range trial.jobs {
		means[job.class] += job.work
		counts[job.class][0]++
		largest[job.class] = append(largest[job.class], job.work)
	}
	var owedLargest, earnedLargest, allOwed, allEarned float64
	for _, job := range trial.jobs {
		if job.hopeless {
			continue
		}
		class := trial.load.Classes[job.class]
		mean := means[job.class] / float64(counts[job.class][0])
		worth := class.Worth * min(0.3+0.7*job.work/mean, 4)
		share := 0.0
		took := job.ended.Sub(job.at) + answerTime
		switch {
		case job.ended.IsZero() || took > lateLimit*job.objective:
		case took > job.objective:
			share = lateWorth
			counts[job.class][2]++
		default:
			share = 1
			counts[job.class][1]++
		}
		owed[job.class] += worth
		earned[job.class] += share * worth
		sorted := largest[job.class]
		if !slices.IsSorted(sorted) {
			slices.Sort(sorted)
		}
		if job.class == 0 && job.work >= sorted[len(sorted)*9/10] {
			owedLargest += worth
			earnedLargest += share * worth
		}
	}
	worst := earnedLargest / owedLargest
	for index, class := range trial.load.Classes {
		allOwed += owed[index]
		allEarned += earned[index]
		worst = min(worst, earned[index]/owed[index])
		trial.t.Logf("%s: %d jobs, %d in time, %d late, share %.3f", class.Name, counts[index][0], counts[index][1], counts[index][2],
			earned[index]/owed[index])
	}
	worth := 0.55*allEarned/allOwed + 0.45*worst
	trial.t.Logf("all %.3f, largest of the first class %.3f, worth %.3f; %+v", allEarned/allOwed, earnedLargest/owedLargest, worth,
		trial.leader.planner.Stats())
	if worth < trial.load.LeastWorth {
		trial.t.Errorf("worth %.3f, want at least %.3f", worth, trial.load.LeastWorth)
	}
}
