package reporter

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteJSON writes the report as one line of JSON.
func (report *Report) WriteJSON(writer io.Writer) error {
	return json.NewEncoder(writer).Encode(report)
}

// WriteTable writes the report as a table for people.
func (report *Report) WriteTable(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "LINE\tCOUNT\tFATES\tMEDIAN\tP99\tLONGEST\tMISSED\tIN TIME\tPROBLEMS")
	for _, line := range report.Lines {
		missed, inTime := "-", "-"
		if line.Deadlines > 0 {
			missed = fmt.Sprintf("%d of %d", line.Missed, line.Deadlines)
			inTime = formatPercent(line.InTime)
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			line.Name, line.Count, formatCounts(line.Fates),
			line.MedianWait.Round(100*time.Microsecond),
			line.P99Wait.Round(100*time.Microsecond),
			line.LongestWait.Round(100*time.Microsecond),
			missed, inTime, cmp.Or(formatCounts(line.Codes), "-"))
	}
	_, _ = fmt.Fprintln(table)
	report.writeTeams(table)
	for _, row := range report.summaryRows() {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", row[0], row[1])
	}
	return table.Flush()
}

func (report *Report) summaryRows() [][2]string {
	rows := [][2]string{
		{"Accepted", fmt.Sprintf("%d: %d done, %d not run, %d failed, %d cancelled, %d unknown, %d lost",
			report.Accepted, report.Done, report.NotRun, report.Failed, report.Cancelled, report.Unknown, report.Lost)},
		{"Violations", fmt.Sprintf("%d run twice, %d overcommitted, %d wrong answers, %d keys differ, %d stray jobs",
			report.RunTwice, report.Overcommitted, report.WrongAnswer, report.KeyDiffers, report.StrayJobs)},
		{"Packing", formatPercent(report.Packing)},
		{"Store", fmt.Sprintf("%s of its writes, %s of its reads", formatPercent(report.StoreWriteShare), formatPercent(report.StoreReadShare))},
		{"Between regions", fmt.Sprintf("%d bytes, %.0f a second", report.BytesBetweenRegions, report.BytesBetweenRegionsPerSecond)},
		{"Head of line", report.HeadOfLine.Round(100 * time.Microsecond).String()},
		{"In time", fmt.Sprintf("%s, at the crest %s", formatPercent(report.InTime), formatPercent(report.CrestInTime))},
		{"Configuration", "in force after " + report.ConfigInForce.String()},
	}
	for _, role := range slices.Sorted(maps.Keys(report.EntryBytesPerSecond)) {
		rows = append(rows, [2]string{
			"Entry to " + string(role),
			fmt.Sprintf("%.0f bytes a second", report.EntryBytesPerSecond[role]),
		})
	}
	for _, id := range slices.Sorted(maps.Keys(report.Failures)) {
		rows = append(rows, [2]string{"Failed", id + ": " + report.Failures[id]})
	}
	return rows
}

func formatPercent(share float64) string {
	return fmt.Sprintf("%.1f %%", 100*share)
}

// formatCounts formats counts sorted by key, such as "Done 10, Failed 1".
func formatCounts[Key ~string](counts map[Key]int) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", key, counts[key]))
	}
	return strings.Join(parts, ", ")
}
