// Package printer writes the documents of the public API as tables for people or as JSON for programs.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/work/descriptor"
)

// Printer writes documents to Writer.
type Printer struct {
	Writer io.Writer
	// JSON writes the API's own document instead of a table.
	JSON bool
}

// print writes document as JSON, or the lines of table. The cells of a line are separated by tabs.
func (printer *Printer) print(document any, table func(line func(cells ...string))) error {
	if printer.JSON {
		encoder := json.NewEncoder(printer.Writer)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return encoder.Encode(document)
	}
	const minWidth, tabWidth, padding = 0, 8, 2
	writer := tabwriter.NewWriter(printer.Writer, minWidth, tabWidth, padding, ' ', 0)
	table(func(cells ...string) {
		for i, cell := range cells {
			cells[i] = clean(cell)
		}
		// Flush reports the error of the underlying writer.
		_, _ = fmt.Fprintln(writer, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
	})
	return writer.Flush()
}

// clean keeps text from other people in its cell and away from the terminal's control.
func clean(text string) string {
	return strings.Map(func(char rune) rune {
		if char < ' ' || char == 0x7f {
			return ' '
		}
		return char
	}, text)
}

func moment(moment time.Time) string {
	if moment.IsZero() {
		return "-"
	}
	return moment.UTC().Format("2006-01-02 15:04:05Z")
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// Amount returns resources in the form 1.5 cores, 2 GiB, 1 accelerator.
func Amount(resources descriptor.Resources) string {
	var parts []string
	if resources.MilliCPU != 0 {
		parts = append(parts, fmt.Sprintf("%.4g cores", float64(resources.MilliCPU)/1000))
	}
	if resources.MemoryBytes != 0 {
		parts = append(parts, bytes(resources.MemoryBytes))
	}
	if resources.Accelerators != 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", resources.Accelerators))
	}
	return orDash(strings.Join(parts, ", "))
}

func bytes(count int64) string {
	value := float64(count)
	for _, unit := range []string{"B", "KiB", "MiB", "GiB"} {
		if value < 1024 && value > -1024 {
			return fmt.Sprintf("%.4g %s", value, unit)
		}
		value /= 1024
	}
	return fmt.Sprintf("%.4g TiB", value)
}

// Status prints a job with its tasks, and its trail when that is filled.
func (printer *Printer) Status(status descriptor.JobStatus) error {
	return printer.print(status, func(line func(cells ...string)) {
		line("ID", string(status.ID))
		line("NAME", status.Job.Name)
		line("KIND", string(status.Job.Kind))
		line("FATE", status.Fate.Fate)
		if status.Fate.Reason != "" {
			line("REASON", status.Fate.Reason)
		}
		line("ACCEPTED", moment(status.Accepted))
		if !status.Job.Deadline.IsZero() {
			line("DEADLINE", moment(status.Job.Deadline))
		}
		if len(status.Tasks) > 0 {
			line()
			line("TASK", "ATTEMPT", "FATE", "AT", "WORKER", "REASON")
		}
		for _, task := range status.Tasks {
			line(fmt.Sprint(task.Task), fmt.Sprint(task.Attempt), task.Fate.Fate, moment(task.Fate.At),
				orDash(string(task.Worker)), task.Fate.Reason)
		}
		if len(status.Trail) > 0 {
			line()
			line("AT", "DECISION", "WHY")
		}
		for _, decision := range status.Trail {
			line(moment(decision.At), decision.Code, decision.Text)
		}
	})
}

// Submitted prints the ID of an accepted job alone, for use in scripts.
func (printer *Printer) Submitted(status descriptor.JobStatus) error {
	return printer.print(status, func(line func(cells ...string)) {
		line(string(status.ID))
	})
}

// Config prints a configuration with its revision. It is JSON in both forms.
func (printer *Printer) Config(document presenter.ConfigDocument) error {
	form := *printer
	form.JSON = true
	return form.print(document, nil)
}

// Difference prints what a document would change.
func (printer *Printer) Difference(difference presenter.ConfigDiff) error {
	return printer.print(difference, func(line func(cells ...string)) {
		if len(difference.Changes) == 0 {
			line(fmt.Sprintf("no changes to revision %d", difference.Revision))
			return
		}
		changes(line, difference.Changes)
	})
}

func changes(line func(cells ...string), changes []presenter.Change) {
	line("PATH", "FROM", "TO")
	for _, change := range changes {
		line(change.Path, orDash(change.From), orDash(change.To))
	}
}

// Applied prints the result of an apply.
func (printer *Printer) Applied(applied presenter.ApplyResult) error {
	return printer.print(applied, func(line func(cells ...string)) {
		line(fmt.Sprintf("revision %d is accepted", applied.Revision))
		for _, id := range applied.Waiting {
			line(fmt.Sprintf("not yet confirmed by %s", id))
		}
	})
}

// Conflict prints both sides of a refused apply.
func (printer *Printer) Conflict(conflict *presenter.Conflict) error {
	return printer.print(conflict, func(line func(cells ...string)) {
		line(fmt.Sprintf("the document is based on revision %d; revision %d is in force", conflict.Base, conflict.Current.Revision))
		line("from the configuration in force to the refused document:")
		changes(line, conflict.Changes)
	})
}

// Instances prints the entry instances with their shards.
func (printer *Printer) Instances(instances []presenter.Instance) error {
	document := presenter.InstancesDocument{
		Instances: instances,
	}
	return printer.print(document, func(line func(cells ...string)) {
		line("ID", "REGION", "SITE", "ADDRESS", "STATE", "CONFIG", "STORE", "HEARD", "SHARDS")
		for _, instance := range instances {
			shards := make([]string, 0, len(instance.Shards))
			for _, shard := range instance.Shards {
				shards = append(shards, string(shard.ID))
			}
			store := "reachable"
			if !instance.StoreReachable {
				store = "unreachable"
			}
			line(instance.ID, instance.Region, instance.Site, instance.Address.String(), instance.State,
				fmt.Sprint(instance.ConfigRevision), store, moment(instance.Heard), orDash(strings.Join(shards, ",")))
		}
		printer.shards(line, instances)
	})
}

func (printer *Printer) shards(line func(cells ...string), instances []presenter.Instance) {
	header := false
	for _, instance := range instances {
		for _, shard := range instance.Shards {
			if !header {
				header = true
				line()
				line("SHARD", "EPOCH", "OWNER", "CAPACITY", "FREE", "WAITING")
			}
			line(string(shard.ID), fmt.Sprint(shard.Epoch), instance.ID,
				Amount(shard.Capacity), Amount(shard.Free), Amount(shard.Waiting))
		}
	}
}

// Line prints a sentence for people, or document as JSON.
func (printer *Printer) Line(document any, format string, args ...any) error {
	return printer.print(document, func(line func(cells ...string)) {
		line(fmt.Sprintf(format, args...))
	})
}

// Problem prints an error and its details.
func (printer *Printer) Problem(problem *descriptor.Problem) error {
	return printer.print(problem, func(line func(cells ...string)) {
		line(fmt.Sprintf("pomelomoor: %s: %s", problem.Code, problem.Message))
		for _, detail := range problem.Details {
			line("  " + detail)
		}
		if problem.RetryAfter.Duration > 0 {
			line(fmt.Sprintf("  try again in %s", problem.RetryAfter))
		}
	})
}
