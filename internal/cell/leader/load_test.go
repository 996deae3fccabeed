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
	// LeastWorth is the least share of the work's worth that has to be earned. Source: the users' targets for the
	// grown sites.
	LeastWorth float64
}

// Class is one kind of request. Spreads are the standard deviations of the logarithm; times are in seconds where
// a name tells no other unit.
type Class struct {
	Name      string
	PerSecond float64
	// Work is the mean run time of a task. TailShare of the steps take TailFactor as long, and the tasks of a
	// step that is no gang differ by Uneven. The caller's estimate is off by EstimateError.
	Work, WorkSpread      float64
	TailShare, TailFactor float64
	Uneven, EstimateError float64
	// FailedShare is the share of the runs that fail on the way.
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
	// AdviceMs is the time of a question, to which AdviceEach milliseconds are added for each worker named. Good is
	// the share of the workers that may run a step; tickets last AdviceSeconds.
	AdviceMs, AdviceEach float64
	AdviceSeconds, Good  float64
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
	jobs    []*submission
}

// submission is a job and what its caller sees of it.
type submission struct {
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
		Journal: discard{},
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
	seen := &submission{
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
		behaviour := trial.workers.addStep(job.ID, number, step, class.FailedShare)
		longest := 0.0
		for range step.Count {
			own := work
			if !step.Gang {
				own = trial.spread(work, class.Uneven)
			}
			behaviour.work = append(behaviour.work, seconds(own))
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

const (
	// lateWorth is the share of its worth that a late job earns, up to lateLimit times its objective.
	// Source: the rules of the platform's users.
	lateWorth = 0.2
	lateLimit = 3
	// mostWorth bounds the worth of a large job in multiples of the mean of its class; the least is leastShare.
	mostWorth  = 4
	leastShare = 0.3
	// answerTime is the time from the end of a job until its caller has asked for it.
	answerTime = 60 * time.Millisecond
	// worstWeight weighs the worst class against all jobs. Source: the users' goals, without data centres and
	// the worst seconds.
	worstWeight = 0.45
)

// tally sums what jobs are worth and what they earned.
type tally struct {
	jobs, inTime, late int
	owed, earned       float64
}

func (tally *tally) add(worth, share float64) {
	tally.jobs++
	tally.owed += worth
	tally.earned += share * worth
	switch share {
	case 1:
		tally.inTime++
	case lateWorth:
		tally.late++
	}
}

func (tally *tally) share() float64 {
	if tally.owed == 0 {
		return 1
	}
	return tally.earned / tally.owed
}

// earned is the share of its worth that a job earned.
func (submission *submission) earned() float64 {
	took := submission.ended.Sub(submission.at) + answerTime
	switch {
	case submission.ended.IsZero() || took > lateLimit*submission.objective:
		return 0
	case took > submission.objective:
		return lateWorth
	default:
		return 1
	}
}

// judge compares what was earned with the bound. The largest tenth of the first class, whose jobs are gangs,
// counts as a class of its own.
func (trial *trial) judge() {
	works := make([][]float64, len(trial.load.Classes))
	for _, job := range trial.jobs {
		works[job.class] = append(works[job.class], job.work)
	}
	means := make([]float64, len(works))
	for class, work := range works {
		slices.Sort(work)
		for _, one := range work {
			means[class] += one / float64(len(work))
		}
	}
	large := works[0][len(works[0])*9/10]
	classes := make([]tally, len(works))
	var all, largest tally
	for _, job := range trial.jobs {
		if job.hopeless {
			continue
		}
		worth := trial.load.Classes[job.class].Worth * min(leastShare+(1-leastShare)*job.work/means[job.class], mostWorth)
		all.add(worth, job.earned())
		classes[job.class].add(worth, job.earned())
		if job.class == 0 && job.work >= large {
			largest.add(worth, job.earned())
		}
	}
	worst := largest.share()
	for index := range classes {
		tally := &classes[index]
		worst = min(worst, tally.share())
		trial.t.Logf("%s: %d jobs, %d in time, %d late, share %.3f", trial.load.Classes[index].Name, tally.jobs, tally.inTime, tally.late,
			tally.share())
	}
	worth := (1-worstWeight)*all.share() + worstWeight*worst
	trial.t.Logf("all %.3f, largest of the first class %.3f, worth %.3f; %+v", all.share(), largest.share(), worth, trial.leader.planner.Stats())
	if worth < trial.load.LeastWorth {
		trial.t.Errorf("worth %.3f, want at least %.3f", worth, trial.load.LeastWorth)
	}
}
