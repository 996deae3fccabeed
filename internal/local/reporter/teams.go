package reporter

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

// Team is what the jobs of one team got. The waits are those of Line.
type Team struct {
	Name  string
	Jobs  int
	Fates map[string]int
	// Quota is guaranteed to the team. MostUsed is the most processor time that its runs had declared at a time: above
	// Quota while others left some idle.
	Quota      descriptor.Resources
	MostUsed   int64
	MedianWait descriptor.Duration
	P99Wait    descriptor.Duration
}

// analyzeTeams adds up the jobs of each team of the configuration.
func (analyzer *analyzer) analyzeTeams() {
	teams := analyzer.history.Scenario.Config.Teams
	indices := make(map[string]int, len(teams))
	waits := make([]*hdrhistogram.Histogram, len(teams))
	for index, team := range teams {
		indices[team.Name] = index
		waits[index] = hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
		analyzer.report.Teams = append(analyzer.report.Teams, Team{
			Name:  team.Name,
			Fates: make(map[string]int),
			Quota: team.Quota,
		})
	}
	jobs := make(map[descriptor.JobID]int)
	for position := range analyzer.history.Callers.Jobs {
		job := &analyzer.history.Callers.Jobs[position]
		index, known := indices[analyzer.history.Scenario.Jobs[job.Line].Job.Team]
		if !known {
			continue
		}
		team := &analyzer.report.Teams[index]
		team.Jobs++
		team.Fates[analyzer.jobClass(job)]++
		if job.ID != "" {
			jobs[job.ID] = index
		}
		if first, started := analyzer.firstStarts[job.ID]; started && job.Accepted {
			recordDuration(waits[index], first.Sub(job.Acknowledged))
		}
	}
	runs := make([][]worker.Record, len(teams))
	for _, run := range analyzer.history.Runs {
		if index, known := jobs[run.Run.Job]; known {
			runs[index] = append(runs[index], run)
		}
	}
	for index := range analyzer.report.Teams {
		team := &analyzer.report.Teams[index]
		team.MostUsed = analyzer.mostUsed(runs[index])
		team.MedianWait = percentile(waits[index], 50)
		team.P99Wait = percentile(waits[index], 99)
	}
}

// mostUsed returns the most processor time that runs had declared at a time.
func (analyzer *analyzer) mostUsed(runs []worker.Record) int64 {
	type change struct {
		at       time.Time
		milliCPU int64
	}
	changes := make([]change, 0, 2*len(runs))
	for index := range runs {
		run := &runs[index]
		changes = append(changes,
			change{
				at:       run.Started,
				milliCPU: run.Declared.MilliCPU,
			},
			change{
				at:       analyzer.runEnd(run),
				milliCPU: -run.Declared.MilliCPU,
			})
	}
	slices.SortFunc(changes, func(left, right change) int {
		// Of two changes at a time the end comes first.
		return cmp.Or(left.at.Compare(right.at), cmp.Compare(left.milliCPU, right.milliCPU))
	})
	var used, most int64
	for _, change := range changes {
		used += change.milliCPU
		most = max(most, used)
	}
	return most
}

// writeTeams writes a row for each team.
func (report *Report) writeTeams(table io.Writer) {
	if len(report.Teams) == 0 {
		return
	}
	_, _ = fmt.Fprintln(table, "TEAM\tJOBS\tFATES\tMEDIAN\tP99\tMOST CORES\tQUOTA")
	for index := range report.Teams {
		team := &report.Teams[index]
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%.0f\t%.0f\n",
			team.Name, team.Jobs, cmp.Or(formatCounts(team.Fates), "-"),
			team.MedianWait.Round(100*time.Microsecond),
			team.P99Wait.Round(100*time.Microsecond),
			float64(team.MostUsed)/1000, float64(team.Quota.MilliCPU)/1000)
	}
	_, _ = fmt.Fprintln(table)
}
