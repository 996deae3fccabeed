package orderer_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/placement/orderer"
	"pomelomoor/internal/work/descriptor"
)

var epoch = time.Unix(1_800_000_000, 0)

var urgencies = []descriptor.Urgency{descriptor.UrgencyHigh, descriptor.UrgencyNormal, descriptor.UrgencyLow}

// model is a reference implementation of the contents of an Orderer.
type model struct {
	orderer orderer.Orderer
	now     time.Time
	entries map[descriptor.JobID]orderer.Entry
	tasks   map[descriptor.JobID]map[int]bool
	used    map[string]descriptor.Resources
}

var quota = descriptor.Resources{
	MilliCPU: 4,
}

func (model *model) add(t *rapid.T) {
	entry := orderer.Entry{
		Job:      descriptor.JobID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "job"))),
		Team:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
		Urgency:  rapid.SampledFrom(urgencies).Draw(t, "urgency"),
		Gang:     rapid.Bool().Draw(t, "gang"),
		Arrival:  model.now,
		Estimate: time.Duration(rapid.IntRange(0, 5).Draw(t, "estimate")) * time.Second,
		Need: descriptor.Resources{
			MilliCPU: rapid.Int64Range(1, 4).Draw(t, "need"),
		},
	}
	if rapid.Bool().Draw(t, "due") {
		entry.Deadline = model.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "deadline")) * time.Second)
	}
	tasks := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 4).Draw(t, "tasks")
	model.orderer.Add(entry, tasks...)
	model.entries[entry.Job] = entry
	if model.tasks[entry.Job] == nil {
		model.tasks[entry.Job] = map[int]bool{}
	}
	for _, task := range tasks {
		model.tasks[entry.Job][task] = true
	}
}

func (model *model) forget(job descriptor.JobID) {
	delete(model.entries, job)
	delete(model.tasks, job)
}

// check fails if the candidate is not waiting or another job should have come first.
func (model *model) check(t *rapid.T, candidate orderer.Candidate, skipped map[descriptor.JobID]bool) {
	waiting := model.tasks[candidate.Job]
	if len(waiting) == 0 || skipped[candidate.Job] || candidate.Entry != model.entries[candidate.Job] {
		t.Fatalf("%+v is not waiting", candidate)
	}
	for _, task := range candidate.Tasks {
		if !waiting[task] {
			t.Fatalf("task %d of %v is not waiting", task, candidate.Job)
		}
	}
	if candidate.Gang && len(candidate.Tasks) != len(waiting) || !candidate.Gang && len(candidate.Tasks) != 1 {
		t.Fatalf("%v: %d of %d tasks", candidate.Job, len(candidate.Tasks), len(waiting))
	}
	for job, other := range model.entries {
		if skipped[job] || job == candidate.Job {
			continue
		}
		if other.Urgency.Rank() < candidate.Urgency.Rank() {
			t.Fatalf("%v comes before the more urgent %v", candidate.Job, job)
		}
		if other.Urgency != candidate.Urgency {
			continue
		}
		step := 4*model.used[other.Team].MilliCPU/quota.MilliCPU - 4*model.used[candidate.Team].MilliCPU/quota.MilliCPU
		if step < 0 && !model.mayOvertake(other, candidate.Entry, skipped) {
			t.Fatalf("%v comes before %v of a team with a lower share", candidate.Job, job)
		}
		if step == 0 && model.attainable(other) && (!model.attainable(candidate.Entry) || due(other).Before(due(candidate.Entry))) {
			t.Fatalf("%v comes before %v, which has less laxity", candidate.Job, job)
		}
	}
}

func due(entry orderer.Entry) time.Time {
	return entry.Deadline.Add(-entry.Estimate / 2)
}

func (model *model) attainable(entry orderer.Entry) bool {
	return !entry.Deadline.IsZero() && !entry.Deadline.Before(model.now)
}

// mayOvertake reports whether the next job of other's team has so much laxity that the candidate of
// another team may go first.
func (model *model) mayOvertake(other, candidate orderer.Entry, skipped map[descriptor.JobID]bool) bool {
	if !model.attainable(candidate) || model.used[candidate.Team].MilliCPU >= 2*quota.MilliCPU {
		return false
	}
	var next []orderer.Entry
	for job, entry := range model.entries {
		if skipped[job] || entry.Team != other.Team || entry.Urgency != other.Urgency || !model.attainable(entry) {
			continue
		}
		if len(next) > 0 && due(entry).Before(due(next[0])) {
			next = nil
		}
		if len(next) == 0 || due(entry).Equal(due(next[0])) {
			next = append(next, entry)
		}
	}
	return slices.ContainsFunc(next, func(entry orderer.Entry) bool {
		return due(entry).Sub(model.now) > 2*entry.Estimate && !due(entry).Before(due(candidate))
	})
}

func (model *model) charge(candidate orderer.Candidate) {
	need := candidate.Need.Scale(int64(len(candidate.Tasks)))
	used := model.used[candidate.Team]
	model.used[candidate.Team] = used.Add(need)
	for _, task := range candidate.Tasks {
		delete(model.tasks[candidate.Job], task)
	}
	if len(model.tasks[candidate.Job]) == 0 {
		model.forget(candidate.Job)
	}
}

func (model *model) walk(t *rapid.T) {
	skipped := map[descriptor.JobID]bool{}
	stopped := false
	model.orderer.Walk(model.now, func(candidate orderer.Candidate) orderer.Decision {
		model.check(t, candidate, skipped)
		decision := rapid.SampledFrom([]orderer.Decision{orderer.Skip, orderer.Placed, orderer.Drop, orderer.Stop}).Draw(t, "decision")
		switch decision {
		case orderer.Placed:
			model.charge(candidate)
		case orderer.Drop:
			model.forget(candidate.Job)
		case orderer.Stop:
			stopped = true
		default:
			skipped[candidate.Job] = true
		}
		return decision
	})
	if !stopped && len(skipped) != len(model.entries) {
		t.Fatalf("the walk offered %d of %d waiting jobs", len(skipped), len(model.entries))
	}
}

// TestRandomOperations guards against lost or repeated tasks, removed jobs that are offered, a wrong
// order, and skipped jobs that block others.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &model{
			now:     epoch,
			entries: map[descriptor.JobID]orderer.Entry{},
			tasks:   map[descriptor.JobID]map[int]bool{},
			used:    map[string]descriptor.Resources{},
		}
		model.orderer.SetTeam("a", quota)
		model.orderer.SetTeam("b", quota)
		t.Repeat(map[string]func(*rapid.T){
			"Add":  model.add,
			"Walk": model.walk,
			"Pop": func(t *rapid.T) {
				candidate, ok := model.orderer.Pop(model.now)
				if ok != (len(model.entries) > 0) {
					t.Fatalf("pop from %d jobs: %v", len(model.entries), ok)
				}
				if ok {
					model.check(t, candidate, nil)
					model.charge(candidate)
				}
			},
			"Remove": func(t *rapid.T) {
				jobs := rapid.SliceOf(rapid.SampledFrom([]descriptor.JobID{"0", "1", "2", "3", "4", "5"})).Draw(t, "jobs")
				model.orderer.Remove(jobs...)
				for _, job := range jobs {
					model.forget(job)
				}
			},
			"RemoveTask": func(t *rapid.T) {
				job, task := descriptor.JobID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "job"))), rapid.IntRange(0, 5).Draw(t, "task")
				if model.orderer.RemoveTask(job, task) != model.tasks[job][task] {
					t.Fatal("a task was not removed or was not waiting")
				}
				delete(model.tasks[job], task)
				if len(model.tasks[job]) == 0 {
					model.forget(job)
				}
			},
			"Credit": func(*rapid.T) {
				for name, used := range model.used {
					model.orderer.Credit(name, used)
				}
				clear(model.used)
			},
			"Wait": func(t *rapid.T) {
				if model.now.Before(epoch.Add(30 * time.Minute)) {
					model.now = model.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
				}
			},
			"": func(t *rapid.T) {
				count := 0
				for job, want := range model.tasks {
					_, got, _ := model.orderer.Waiting(job)
					if !slices.Equal(got, slices.Sorted(maps.Keys(want))) {
						t.Fatalf("%v: waiting %v, want %v", job, got, want)
					}
					count += len(want)
				}
				if jobs, tasks := model.orderer.Len(); jobs != len(model.entries) || tasks != count {
					t.Fatalf("%d jobs and %d tasks, want %d and %d", jobs, tasks, len(model.entries), count)
				}
			},
		})
	})
}

// TestReservation guards against two reservations at once, a reservation without a time limit, and a
// job that reserves again before others had as much time without its reservation.
func TestReservation(t *testing.T) {
	var queue orderer.Orderer
	for _, job := range []descriptor.JobID{"a", "b"} {
		queue.Add(orderer.Entry{
			Job: job,
		}, 0)
	}
	start := epoch.Add(time.Minute)
	expiry := epoch.Add(orderer.DefaultMaxReservationTime)
	steps := []struct {
		at   time.Time
		job  descriptor.JobID
		want bool
	}{
		{epoch, "unknown", false},
		{epoch, "a", true},
		{start, "b", false},
		{expiry.Add(-1), "a", true},
		{expiry, "a", false},
		{expiry, "b", true},
		{expiry.Add(orderer.DefaultMaxReservationTime), "a", true},
	}
	for i, step := range steps {
		if got := queue.Reserve(step.at, step.job, start); got != step.want {
			t.Fatalf("step %d: reserved %v, want %v", i, got, step.want)
		}
	}
	now := expiry.Add(orderer.DefaultMaxReservationTime)
	for end, want := range map[time.Time]bool{
		{}:                     false,
		start:                  true,
		start.Add(time.Second): false,
	} {
		if got := queue.MayBackfill(now, end); got != want {
			t.Errorf("backfill until %v: %v, want %v", end, got, want)
		}
	}
	queue.Remove("a")
	if _, ok := queue.Reservation(now); ok {
		t.Error("the reservation of a removed job is still there")
	}
}

// TestDeferral guards against strict order by share, which misses deadlines, and against a team far
// above its quota that overtakes others because its jobs have little laxity.
func TestDeferral(t *testing.T) {
	for _, test := range []struct {
		used    int64
		laxity  time.Duration
		tighter bool
	}{
		{used: 7, laxity: time.Minute, tighter: true},
		{used: 8, laxity: time.Minute, tighter: false},
		{used: 7, laxity: 15 * time.Second, tighter: false},
	} {
		var queue orderer.Orderer
		queue.SetTeam("a", quota)
		queue.SetTeam("b", quota)
		queue.Charge("a", descriptor.Resources{MilliCPU: test.used})
		queue.Add(orderer.Entry{Job: "tight", Team: "a", Deadline: epoch.Add(time.Second)}, 0)
		queue.Add(orderer.Entry{Job: "ample", Team: "b", Estimate: 10 * time.Second, Deadline: epoch.Add(test.laxity)}, 0)
		if first, _ := queue.Pop(epoch); (first.Job == "tight") != test.tighter {
			t.Errorf("%+v: %v goes first", test, first.Job)
		}
	}
}

// TestDeprioritized guards against a job that was moved behind the others but starts before later work
// of its own team, or before teams with higher shares, and against one that is overtaken for longer than
// the aging time.
func TestDeprioritized(t *testing.T) {
	begin := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	entry := func(job, team string, arrival time.Duration) orderer.Entry {
		return orderer.Entry{
			Job:     descriptor.JobID(job),
			Team:    team,
			Urgency: descriptor.UrgencyNormal,
			Arrival: begin.Add(arrival),
		}
	}
	var queue orderer.Orderer
	queue.AgingTime = time.Hour
	for _, team := range []string{"idle", "busy"} {
		queue.SetTeam(team, descriptor.Resources{
			MilliCPU: 1000,
		})
	}
	queue.Charge("busy", descriptor.Resources{
		MilliCPU: 5000,
	})
	deprioritized := entry("deprioritized", "idle", 0)
	deprioritized.DeprioritizedAt = begin
	queue.Add(deprioritized, 0)
	queue.Add(entry("own", "idle", 30*time.Minute), 0)
	queue.Add(entry("other", "busy", 30*time.Minute), 0)
	for _, want := range []descriptor.JobID{"own", "other", "deprioritized"} {
		if got, _ := queue.Pop(begin.Add(31 * time.Minute)); got.Job != want {
			t.Errorf("%s goes first, want %s", got.Job, want)
		}
	}
	queue.Add(deprioritized, 0)
	queue.Add(entry("own", "idle", 61*time.Minute), 0)
	if got, _ := queue.Pop(begin.Add(62 * time.Minute)); got.Job != "deprioritized" {
		t.Errorf("%s goes first after the aging time, want deprioritized", got.Job)
	}
}
