package parser

import (
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// tableRows returns the cells of the table rows in section that have the given number of columns and a first
// cell in backquotes.
func tableRows(section string, columns int) [][]string {
	var found [][]string
	for line := range strings.Lines(section) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != columns || !strings.HasPrefix(cells[0], " `") {
			continue
		}
		for i, cell := range cells {
			cells[i] = strings.ReplaceAll(strings.TrimSpace(cell), "`", "")
		}
		found = append(found, cells)
	}
	return found
}

func parseLabels(text string) descriptor.Labels {
	pairs := descriptor.Labels{}
	for pair := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(pair, "=")
		pairs[key] = value
	}
	return pairs
}

// formatEffectivePolicy returns the effective policy in the notation of docs/selectors.md.
func formatEffectivePolicy(effectivePolicy EffectivePolicy, request bool) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+" "+value)
		}
	}
	add("Urgency", string(effectivePolicy.Urgency))
	for _, where := range effectivePolicy.Where {
		add("Where", where.String())
	}
	add("Spread", string(effectivePolicy.Spread))
	if request {
		add("Lane", string(effectivePolicy.Lane))
	}
	add("MaxAttempts", strconv.Itoa(effectivePolicy.MaxAttempts))
	if request {
		add("Timeout", effectivePolicy.Timeout.String())
	}
	if effectivePolicy.Hold {
		parts = append(parts, "Hold")
	}
	if !effectivePolicy.Preemptible {
		parts = append(parts, "not Preemptible")
	}
	return strings.Join(parts, ", ")
}

// TestPage guards against examples in docs/selectors.md whose documented result differs from the actual one,
// and against policy fields that the page does not list.
func TestPage(t *testing.T) {
	content, err := os.ReadFile("../../../docs/selectors.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	sections := strings.Split(page, "\n## ")
	checked := 0
	for _, section := range sections {
		if _, document, ok := strings.Cut(section, "```json\n"); ok {
			document, _, _ = strings.Cut(document, "```")
			checked += checkExamples(t, section, document)
		}
		if strings.HasPrefix(section, "Selectors") {
			for _, row := range tableRows(section, 3) {
				checked++
				parsed, err := selector.Parse(row[0])
				if got := parsed.Matches(parseLabels(row[1])); err != nil || got != (row[2] == "yes") {
					t.Errorf("%q on %q: %v, %v", row[0], row[1], got, err)
				}
			}
		}
		if strings.HasPrefix(section, "Policies") {
			checkPolicyFields(t, section)
		}
	}
	if checked < 20 {
		t.Errorf("only %d examples were found", checked)
	}
}

func checkExamples(t *testing.T, section, document string) (checked int) {
	config, err := Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	compiled, err := Compile(1, config)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range tableRows(section, 3) {
		checked++
		work := parseLabels(row[0])
		request := work["Kind"] == "Interactive"
		effectivePolicy := compiled.EffectiveJobPolicy(&descriptor.Job{
			Kind:    descriptor.Kind(work["Kind"]),
			Urgency: descriptor.Urgency(work["Urgency"]),
			Labels:  work,
		})
		if request {
			effectivePolicy = compiled.EffectiveRequestPolicy(work)
		}
		if got := strings.Join(effectivePolicy.Policies, ","); got != row[1] {
			t.Errorf("%s matches %q, the page says %q", row[0], got, row[1])
		}
		if got := formatEffectivePolicy(effectivePolicy, request); got != row[2] {
			t.Errorf("%s has the effective policy %q, the page says %q", row[0], got, row[2])
		}
	}
	return checked
}

func checkPolicyFields(t *testing.T, section string) {
	source, err := os.ReadFile("parser.go")
	if err != nil {
		t.Fatal(err)
	}
	_, policy, _ := strings.Cut(string(source), "type Policy struct {")
	policy, _, _ = strings.Cut(policy, "\n}")
	var want, got []string
	for _, field := range regexp.MustCompile(`(?m)^\t([A-Z]\w+) `).FindAllStringSubmatch(policy, -1) {
		want = append(want, field[1])
	}
	for _, row := range tableRows(section, 3) {
		got = append(got, row[0])
	}
	if !slices.Equal(got, want) {
		t.Errorf("the page lists the fields %v, Policy has %v", got, want)
	}
}
