package simulator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

// Report is the outcome of a play.
type Report struct {
	// Crashes counts the crashes of workers.
	Crashes int
	// Deadly counts the jobs with a task that crashes its workers, and Kept those that have not failed in the end,
	// without lasting ones.
	Deadly, Kept int
	// MostStarts is the greatest number of starts of one such task, without lasting ones.
	MostStarts int
	// GivenUp counts the lasting jobs that have failed. ShortestPause is the shortest time between two starts of a lasting
	// task that has crashed manyCrashes workers, 0 if there is none, and RunsLostLate counts the runs of other jobs that
	// were lost with the last of these workers and later ones.
	GivenUp       int
	ShortestPause time.Duration
	RunsLostLate  int
	// Others counts the other jobs. Of these, RunsLost runs were lost with their worker, Unfinished jobs did not
	// complete, without lasting ones, and Failed jobs were given up.
	Others, RunsLost, Unfinished, Failed int
	// Overcommitted describes the starts that brought a worker over its capacity.
	Overcommitted []string
}

// judge reports what became of the jobs.
func (simulation *simulation) judge() {
	report := &simulation.report
	for id, job := range simulation.jobs {
		state := simulation.scheduler.State(id)
		if job.class.Lasting && state == describer.JobFailed {
			report.GivenUp++
		}
		if job.deadly {
			report.Deadly++
			if state != describer.JobFailed && !job.class.Lasting {
				report.Kept++
			}
			continue
		}
		report.Others++
		if state == describer.JobFailed {
			report.Failed++
		}
		if state != describer.JobCompleted && !job.class.Lasting {
			report.Unfinished++
		}
	}
	for task, starts := range simulation.starts {
		if !simulation.jobs[task.Job].class.Lasting {
			report.MostStarts = max(report.MostStarts, len(starts))
			continue
		}
		for index := manyCrashes; index < len(starts); index++ {
			if pause := starts[index].Sub(starts[index-1]); report.ShortestPause == 0 || pause < report.ShortestPause {
				report.ShortestPause = pause
			}
		}
	}
}

// WriteTable writes one line for each report, under the names of the fleets.
func WriteTable(output io.Writer, names []string, reports []Report) error {
	var text strings.Builder
	text.WriteString("FLEET\tCRASHES\tDEADLY\tKEPT\tMOST STARTS\tGIVEN UP\tSHORTEST PAUSE\tLOST LATE\tOTHERS\tRUNS LOST\tUNFINISHED\tFAILED\tOVERCOMMITTED\n")
	for index, report := range reports {
		fmt.Fprintf(&text, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", names[index], report.Crashes, report.Deadly, report.Kept,
			report.MostStarts, report.GivenUp, report.ShortestPause, report.RunsLostLate, report.Others, report.RunsLost, report.Unfinished, report.Failed, len(report.Overcommitted))
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return errors.Wrap(err, "write table")
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return nil
}
