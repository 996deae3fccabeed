// Package checker holds the rules by which a configuration is checked: before it is sent, and at the instances when it
// arrives. It does no I/O. Its findings never keep an instance from using a configuration.
package checker

import (
	"fmt"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/config/parser"
)

// Severity tells what a finding means for the configuration.
type Severity string

// The severities.
const (
	// SeverityError is a fault for which instances refuse the configuration.
	SeverityError Severity = "Error"
	// SeverityWarning is a part that has no effect, or that contradicts another part or what is known of the cell.
	SeverityWarning Severity = "Warning"
	// SeverityNote is a difference from the configuration in force, or a remark that asks for no change.
	SeverityNote Severity = "Note"
)

// The rules on the form of a document. Its reader applies them.
const (
	// RuleRefused is what instances refuse the configuration for.
	RuleRefused = "Refused"
	// RuleForm is what instances read otherwise than it may be meant, such as a field that is given twice.
	RuleForm = "Form"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	// Rule names the rule, as listed in docs/design/config-check.md.
	Rule string
	// Field is the path of the field, such as Organisations[3].Cap. Line is its line in the document, 0 if unknown.
	Field string
	Line  int `json:",omitempty"`
	Text  string
}

// Configuration is a configuration of one of the known forms: Cell or Policies.
type Configuration interface {
	isConfiguration()
}

// Cell is the configuration of a cell on the users' platform.
type Cell struct {
	*describer.Config
}

// Policies is the configuration of labels, policies and teams.
type Policies struct {
	parser.Config
}

func (Cell) isConfiguration()     {}
func (Policies) isConfiguration() {}

// Options are what a check is given.
type Options struct {
	Configuration Configuration
	// InForce, if set, is the configuration that Configuration would replace.
	InForce Configuration
	// Facts, if set, are what is known of the cell.
	Facts *Facts
}

// Report is the outcome of a check.
type Report struct {
	Findings []Finding
	// LeftOut names the rules that were not applied, and why.
	LeftOut []string `json:",omitempty"`
}

// Clean reports whether there is neither an error nor a warning.
func (report *Report) Clean() bool {
	for _, finding := range report.Findings {
		if finding.Severity != SeverityNote {
			return false
		}
	}
	return true
}

// Check applies all rules for which options hold what they need.
func Check(options Options) Report {
	check := &check{
		facts: options.Facts,
	}
	if check.facts == nil {
		check.facts = &Facts{}
	}
	if len(check.facts.Workers) == 0 {
		check.leaveOut("rules on workers: no workers are known")
	}
	if len(check.facts.Work) == 0 {
		check.leaveOut("rules on gangs, tasks and what runs: no work is known")
	}
	switch configuration := options.Configuration.(type) {
	case Cell:
		inForce, known := options.InForce.(Cell)
		check.cell(configuration.Config)
		check.compare(known, options.InForce, func() { check.compareCells(inForce.Config, configuration.Config) })
	case Policies:
		inForce, known := options.InForce.(Policies)
		check.policies(configuration.Config)
		check.compare(known, options.InForce, func() { check.comparePolicies(inForce.Config, configuration.Config) })
	}
	return check.report
}

// check is one check in progress.
type check struct {
	facts  *Facts
	report Report
}

// compare applies the rules on differences if the configuration in force is known and of the same form.
func (check *check) compare(sameForm bool, inForce Configuration, rules func()) {
	switch {
	case inForce == nil:
		check.leaveOut("differences: the configuration in force is not known")
	case !sameForm:
		check.leaveOut("differences: the configuration in force has another form")
	default:
		rules()
	}
}

func (check *check) leaveOut(rules string) {
	check.report.LeftOut = append(check.report.LeftOut, rules)
}

func (check *check) add(severity Severity, rule, field, format string, args ...any) {
	check.report.Findings = append(check.report.Findings, Finding{
		Severity: severity,
		Rule:     rule,
		Field:    field,
		Text:     fmt.Sprintf(format, args...),
	})
}

func (check *check) warn(rule, field, format string, args ...any) {
	check.add(SeverityWarning, rule, field, format, args...)
}

func (check *check) note(rule, field, format string, args ...any) {
	check.add(SeverityNote, rule, field, format, args...)
}
