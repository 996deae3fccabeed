// Package printer writes the documents of the public API as text tables or as JSON.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"pomelomoor/internal/config/checker"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/work/descriptor"
)

// Printer writes documents to Writer.
type Printer struct {
	Writer io.Writer
	// JSON selects the API's JSON documents instead of tables.
	JSON bool
}

// print writes document as JSON, or the lines that table produces, with their cells aligned in columns.
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
			cells[i] = sanitize(cell)
		}
		// Errors of the underlying writer are returned by Flush.
		_, _ = fmt.Fprintln(writer, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
	})
	return writer.Flush()
}

// sanitize replaces control characters. Text that comes from other users could otherwise break the table
// or send escape sequences to the terminal.
func sanitize(text string) string {
	return strings.Map(func(char rune) rune {
		if char < ' ' || char == 0x7f {
			return ' '
		}
		return char
	}, text)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02 15:04:05Z")
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// FormatResources returns resources as text, such as "1.5 cores, 2 GiB, 1 accelerators".
func FormatResources(resources descriptor.Resources) string {
	var parts []string
	if resources.MilliCPU != 0 {
		parts = append(parts, fmt.Sprintf("%.4g cores", float64(resources.MilliCPU)/1000))
	}
	if resources.MemoryBytes != 0 {
		parts = append(parts, formatBytes(resources.MemoryBytes))
	}
	if resources.Accelerators != 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", resources.Accelerators))
	}
	return orDash(strings.Join(parts, ", "))
}

func formatBytes(count int64) string {
	value := float64(count)
	for _, unit := range []string{"B", "KiB", "MiB", "GiB"} {
		if value < 1024 && value > -1024 {
			return fmt.Sprintf("%.4g %s", value, unit)
		}
		value /= 1024
	}
	return fmt.Sprintf("%.4g TiB", value)
}

// ConfigReport prints the findings of a check of the configuration in file, and which rules were left out.
func (printer *Printer) ConfigReport(file string, report checker.Report) error {
	return printer.print(report, func(line func(cells ...string)) {
		if len(report.Findings) == 0 {
			line(file + " has no findings")
		} else {
			line("SEVERITY", "LINE", "FIELD", "RULE", "FINDING")
		}
		for _, finding := range report.Findings {
			place := "-"
			if finding.Line > 0 {
				place = strconv.Itoa(finding.Line)
			}
			line(string(finding.Severity), place, orDash(finding.Field), finding.Rule, finding.Text)
		}
		for _, leftOut := range report.LeftOut {
			line("left out: " + leftOut)
		}
	})
}

// Status prints a job with its tasks, and its trail of decisions if there is one.
func (printer *Printer) Status(status descriptor.JobStatus) error {
	return printer.print(status, func(line func(cells ...string)) {
		line("ID", string(status.ID))
		line("NAME", status.Job.Name)
		line("KIND", string(status.Job.Kind))
		line("FATE", status.Fate.Fate)
		if status.Fate.Reason != "" {
			line("REASON", status.Fate.Reason)
		}
		line("ACCEPTED", formatTime(status.Accepted))
		if !status.Job.Deadline.IsZero() {
			line("DEADLINE", formatTime(status.Job.Deadline))
		}
		if len(status.Tasks) > 0 {
			line()
			line("TASK", "ATTEMPT", "FATE", "AT", "WORKER", "REASON")
		}
		for _, task := range status.Tasks {
			line(fmt.Sprint(task.Task), fmt.Sprint(task.Attempt), task.Fate.Fate, formatTime(task.Fate.At),
				orDash(string(task.Worker)), task.Fate.Reason)
		}
		if len(status.Trail) > 0 {
			line()
			line("AT", "DECISION", "WHY")
		}
		for _, decision := range status.Trail {
			line(formatTime(decision.At), decision.Code, decision.Text)
		}
	})
}

// Submitted prints only the ID of an accepted job, for use in scripts.
func (printer *Printer) Submitted(status descriptor.JobStatus) error {
	return printer.print(status, func(line func(cells ...string)) {
		line(string(status.ID))
	})
}

// Config prints a configuration with its revision, always as JSON.
func (printer *Printer) Config(document presenter.ConfigDocument) error {
	jsonPrinter := *printer
	jsonPrinter.JSON = true
	return jsonPrinter.print(document, nil)
}

// Difference prints the changes that applying a configuration would make.
func (printer *Printer) Difference(difference presenter.ConfigDiff) error {
	return printer.print(difference, func(line func(cells ...string)) {
		if len(difference.Changes) == 0 {
			line(fmt.Sprintf("no changes to revision %d", difference.Revision))
			return
		}
		printChanges(line, difference.Changes)
	})
}

func printChanges(line func(cells ...string), changes []presenter.Change) {
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

// Conflict prints the revisions in a refused apply and the changes between the two configurations.
func (printer *Printer) Conflict(conflict *presenter.Conflict) error {
	return printer.print(conflict, func(line func(cells ...string)) {
		line(fmt.Sprintf("the document is based on revision %d; revision %d is in force", conflict.Base, conflict.Current.Revision))
		line("from the configuration in force to the refused document:")
		printChanges(line, conflict.Changes)
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
				fmt.Sprint(instance.ConfigRevision), store, formatTime(instance.Heard), orDash(strings.Join(shards, ",")))
		}
		printer.printShards(line, instances)
	})
}

func (printer *Printer) printShards(line func(cells ...string), instances []presenter.Instance) {
	headerPrinted := false
	for _, instance := range instances {
		for _, shard := range instance.Shards {
			if !headerPrinted {
				headerPrinted = true
				line()
				line("SHARD", "EPOCH", "OWNER", "CAPACITY", "FREE", "WAITING")
			}
			line(string(shard.ID), fmt.Sprint(shard.Epoch), instance.ID,
				FormatResources(shard.Capacity), FormatResources(shard.Free), FormatResources(shard.Waiting))
		}
	}
}

// Message prints a formatted line, or document as JSON.
func (printer *Printer) Message(document any, format string, args ...any) error {
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
