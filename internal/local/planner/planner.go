// Package planner reads the scenario file of a local run and turns it into a schedule of jobs and requests.
// The schedule depends only on the file.
package planner

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/work/descriptor"
)

// Limits of a scenario, because a local run must fit on one machine.
const (
	MaxEntries  = 32
	MaxWorkers  = 500
	MaxRunners  = 200
	MaxDuration = 50 * time.Second
	MaxItems    = 100_000
)

// Scenario is the document that describes a local run.
type Scenario struct {
	Name string
	// Seed initialises the random number generator of the schedule and is part of all keys.
	Seed uint64
	// Duration is how long jobs and requests are sent. Services are cancelled after that.
	Duration descriptor.Duration
	// Settle bounds how long the run waits afterwards for the fates that are not final yet.
	Settle  descriptor.Duration
	Sites   []Site
	Latency Latency
	// Entries is the number of entry instances, distributed evenly over the sites.
	Entries int
	Workers Workers
	Runners Runners
	// Config is applied before the first job.
	Config   parser.Config
	Jobs     []JobLine
	Requests []RequestLine
}

// Site is a data centre.
type Site struct {
	Region string
	Site   string
}

// Latency holds the one-way network delays.
type Latency struct {
	// Site is between sites of one region, and to the platform's store and instance list.
	Site descriptor.Duration
	// Region is between regions.
	Region descriptor.Duration
	// Client is between callers and entry instances.
	Client descriptor.Duration
}

// Workers describes the workers of the cell, which all have the same capacity apart from accelerators.
type Workers struct {
	Count    int
	Capacity descriptor.Resources
	PerRack  int
	// Faulty is the number of workers that fail every task.
	Faulty int
	// Accelerated is the number of workers that have Accelerators devices each.
	Accelerated  int
	Accelerators int64
}

// Runners describes the upstream runners.
type Runners struct {
	Service     string
	Count       int
	Slots       int
	Connections int
}

// JobLine describes a group of jobs with the same template Job.
type JobLine struct {
	// Count is the number of jobs.
	Count int
	// From is the earliest time of submission, and Over the time span that submissions are spread over.
	From descriptor.Duration
	Over descriptor.Duration
	// DeadlineAfter is added to the time of submission; 0 means no deadline.
	DeadlineAfter descriptor.Duration
	// CancelAfter is how long after its acknowledgement each of the last CancelCount jobs is cancelled.
	CancelAfter descriptor.Duration
	CancelCount int
	// Callers is the number of callers that the jobs are assigned to in turn.
	Callers int
	// Twice submits each job a second time with the same key at another site.
	Twice bool
	Job   descriptor.Job
	// Real is the actual usage of the tasks, which the payload tells the worker stand-in.
	Real ActualUsage
	// Stragglers is the number of jobs whose tasks run StragglerFactor times as long.
	Stragglers      int
	StragglerFactor int
	// Impossible marks jobs that the cell can never run, so that a refusal is the expected response.
	Impossible bool
}

// ActualUsage is the run time and the resource usage of tasks, which may differ from the declared ones.
type ActualUsage struct {
	RunTime descriptor.Duration
	Use     descriptor.Resources
}

// RequestLine describes a stream of interactive requests with random arrival times.
type RequestLine struct {
	Name string
	From descriptor.Duration
	For  descriptor.Duration
	// Rate is the mean number of requests per second. CrestFactor multiplies it between CrestFrom and CrestTo.
	Rate        float64
	CrestFrom   descriptor.Duration
	CrestTo     descriptor.Duration
	CrestFactor float64
	Caller      string
	Callers     int
	Labels      descriptor.Labels
	Idempotent  bool
	ServiceTime descriptor.Duration
	// StragglerShare is the fraction of requests that take StragglerFactor times as long.
	StragglerShare  float64
	StragglerFactor float64
	Timeout         descriptor.Duration
	// AnswerBytes is the minimum length of the text that the runner echoes.
	AnswerBytes int
}

// Submission is one job of the schedule. At is an offset from the start of the schedule, Deadline is
// relative to At, and CancelAfter to the acknowledgement. Line is an index into Scenario.Jobs.
type Submission struct {
	At          time.Duration
	CancelAfter time.Duration
	Deadline    time.Duration
	Twice       bool
	Impossible  bool
	Line        int
	Job         descriptor.Job
}

// Request is one request of the schedule. At is an offset from the start of the schedule, and Line an index
// into Scenario.Requests.
type Request struct {
	At          time.Duration
	Line        int
	Caller      string
	Key         string
	Site        int
	ServiceTime time.Duration
}

// Schedule holds the submissions and requests of a scenario, each sorted by time.
type Schedule struct {
	Submissions []Submission
	Requests    []Request
}

// ErrInvalidScenario is wrapped by the decoding errors of Parse and by the errors of Plan. It is not in the error
// chain of the validation errors of Parse, which only start with its text.
var ErrInvalidScenario = errors.New("invalid scenario")

// Parse decodes a scenario, sets its defaults and validates it.
func Parse(document []byte) (Scenario, error) {
	var scenario Scenario
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&scenario); err != nil {
		return Scenario{}, errors.Wrap(ErrInvalidScenario, err.Error())
	}
	scenario.setDefaults()
	if faults := scenario.validate(); len(faults) > 0 {
		return Scenario{}, errors.Wrap(errors.Join(faults...), ErrInvalidScenario.Error())
	}
	return scenario, nil
}

func (scenario *Scenario) setDefaults() {
	scenario.Entries = cmp.Or(scenario.Entries, 8)
	scenario.Workers.PerRack = cmp.Or(scenario.Workers.PerRack, 8)
	scenario.Runners.Slots = cmp.Or(scenario.Runners.Slots, 8)
	scenario.Runners.Connections = cmp.Or(scenario.Runners.Connections, 64)
	scenario.Settle.Duration = cmp.Or(scenario.Settle.Duration, 20*time.Second)
	scenario.Duration.Duration = cmp.Or(scenario.Duration.Duration, 20*time.Second)
}

func (scenario *Scenario) validate() []error {
	var errs []error
	checkRange := func(field string, value, minimum, maximum int) {
		if value < minimum || value > maximum {
			errs = append(errs, &descriptor.FieldError{
				Field:  field,
				Reason: fmt.Sprintf("must be between %d and %d", minimum, maximum),
			})
		}
	}
	checkRange("Sites", len(scenario.Sites), 1, 10)
	checkRange("Entries", scenario.Entries, 1, MaxEntries)
	checkRange("Workers.Count", scenario.Workers.Count, 1, MaxWorkers)
	checkRange("Runners.Count", scenario.Runners.Count, 0, MaxRunners)
	checkRange("Duration", int(scenario.Duration.Seconds()), 1, int(MaxDuration.Seconds()))
	if _, err := parser.Compile(0, scenario.Config); err != nil {
		errs = append(errs, errors.Wrap(err, "Config"))
	}
	items := 0
	for i, line := range scenario.Jobs {
		items += line.Count
		if err := line.Job.Validate(); err != nil {
			errs = append(errs, errors.Wrapf(err, "Jobs[%d].Job", i))
		}
	}
	for _, line := range scenario.Requests {
		items += int(line.Rate * line.For.Seconds() * max(line.CrestFactor, 1))
	}
	checkRange("Jobs and Requests", items, 0, MaxItems)
	return errs
}

// Plan returns the schedule of the scenario.
func (scenario *Scenario) Plan() (Schedule, error) {
	random := rand.New(rand.NewPCG(scenario.Seed, scenario.Seed))
	var schedule Schedule
	for i := range scenario.Jobs {
		submissions, err := scenario.planJobs(random, i)
		if err != nil {
			return Schedule{}, err
		}
		schedule.Submissions = append(schedule.Submissions, submissions...)
	}
	for i := range scenario.Requests {
		schedule.Requests = append(schedule.Requests, scenario.planRequests(random, i)...)
	}
	slices.SortStableFunc(schedule.Submissions, func(a, b Submission) int {
		return cmp.Compare(a.At, b.At)
	})
	slices.SortStableFunc(schedule.Requests, func(a, b Request) int {
		return cmp.Compare(a.At, b.At)
	})
	return schedule, nil
}

// payload is the task payload that the worker stand-in decodes.
type payload struct {
	RunTime descriptor.Duration
	Use     descriptor.Resources `json:",omitzero"`
}

func (scenario *Scenario) planJobs(random *rand.Rand, index int) ([]Submission, error) {
	line := &scenario.Jobs[index]
	submissions := make([]Submission, 0, line.Count)
	for i := range line.Count {
		job := line.Job
		job.Name = fmt.Sprintf("%s-%d", job.Name, i)
		job.Caller = fmt.Sprintf("%s-%d", job.Caller, i%max(line.Callers, 1))
		job.Key = fmt.Sprintf("%s-%d", job.Name, scenario.Seed)
		actual := payload(line.Real)
		if i < line.Stragglers {
			actual.RunTime.Duration *= time.Duration(line.StragglerFactor)
		}
		encoded, err := json.Marshal(actual)
		if err != nil {
			return nil, errors.Wrap(ErrInvalidScenario, err.Error())
		}
		job.Payload = string(encoded)
		submission := Submission{
			At:         line.From.Duration + time.Duration(random.Float64()*float64(line.Over.Duration)),
			Deadline:   line.DeadlineAfter.Duration,
			Twice:      line.Twice,
			Impossible: line.Impossible,
			Line:       index,
			Job:        job,
		}
		if i >= line.Count-line.CancelCount {
			submission.CancelAfter = line.CancelAfter.Duration
		}
		submissions = append(submissions, submission)
	}
	return submissions, nil
}

// planRequests draws exponentially distributed gaps between requests, which gives bursts like real traffic.
func (scenario *Scenario) planRequests(random *rand.Rand, index int) []Request {
	line := &scenario.Requests[index]
	var requests []Request
	end := line.From.Duration + line.For.Duration
	for at := line.From.Duration; line.Rate > 0; {
		rate := line.Rate
		if line.CrestFactor > 0 && at >= line.CrestFrom.Duration && at < line.CrestTo.Duration {
			rate *= line.CrestFactor
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= end {
			break
		}
		serviceTime := line.ServiceTime.Duration
		if random.Float64() < line.StragglerShare {
			serviceTime = time.Duration(float64(serviceTime) * line.StragglerFactor)
		}
		requests = append(requests, Request{
			At:          at,
			Line:        index,
			Caller:      fmt.Sprintf("%s-%d", line.Caller, random.IntN(max(line.Callers, 1))),
			Key:         fmt.Sprintf("%s-%d-%d", line.Name, scenario.Seed, len(requests)),
			Site:        random.IntN(len(scenario.Sites)),
			ServiceTime: serviceTime,
		})
	}
	return requests
}
