package commander

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/checker"
	"pomelomoor/internal/config/locator"
	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/node/decoder"
	"pomelomoor/internal/work/descriptor"
)

type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Check a configuration before it is sent."`
}

type configCheckCommand struct {
	File    string `arg:"" help:"Configuration, or the edited output of get; - is standard input."`
	InForce string `placeholder:"FILE" help:"Configuration in force, to check what would change; current asks the instance at --server."`
	Facts   string `placeholder:"FILE" help:"What is known of the cell, in JSON: workers and work."`
	Form    string `enum:"auto,policies,cell" default:"auto" help:"Form of the configuration: policies, cell, or auto for the one that its fields show."`
}

// The values of configCheckCommand.Form.
const (
	formAuto = "auto"
	formCell = "cell"
)

// inForceCurrent is the value of --in-force that asks an instance for the configuration in force.
const inForceCurrent = "current"

// Limits of the files that config check reads. The platform's store holds larger configurations than the parser allows.
const (
	maxConfigFileBytes = 8 << 20
	maxFactsFileBytes  = 8 << 20
)

// checkedConfig is a configuration that config check has read.
type checkedConfig struct {
	configuration checker.Configuration
	// faults are what instances refuse the configuration for, and remarks what they ignore.
	faults, remarks []error
	// field returns the path in the document of a field of the configuration, faultField that of a field of a fault, and
	// locator the line of a path.
	field, faultField func(path string) string
	locator           *locator.Locator
}

// Run prints the findings. The exit code tells whether there are errors or warnings.
func (command *configCheckCommand) Run(session *session) error {
	config, err := command.read(session, command.File)
	if err != nil {
		return unreadable(err)
	}
	options := checker.Options{
		Configuration: config.configuration,
	}
	if options.InForce, err = command.inForce(session); err != nil {
		return unreadable(errors.Wrap(err, "configuration in force"))
	}
	if options.Facts, err = command.facts(session); err != nil {
		return unreadable(errors.Wrap(err, "facts of the cell"))
	}
	report := checker.Check(options)
	for index := range report.Findings {
		report.Findings[index].Field = config.field(report.Findings[index].Field)
	}
	report.Findings = config.addFormFindings(report.Findings)
	for index := range report.Findings {
		report.Findings[index].Line = config.locator.Line(report.Findings[index].Field)
	}
	if err := session.printer.ConfigReport(command.File, report); err != nil {
		return err
	}
	if !report.Clean() {
		return &exitError{
			code: ExitFindings,
		}
	}
	return nil
}

func unreadable(err error) error {
	return &exitError{
		code: ExitUnreadable,
		err:  err,
	}
}

// inForce returns the configuration in force, or nil if it is not asked for.
func (command *configCheckCommand) inForce(session *session) (checker.Configuration, error) {
	switch command.InForce {
	case "":
		return nil, nil
	case inForceCurrent:
		current, err := session.client.Config(session.ctx)
		return checker.Policies{
			Config: current.Document,
		}, err
	}
	config, err := command.read(session, command.InForce)
	if err != nil {
		return nil, err
	}
	if len(config.faults) > 0 {
		return nil, errors.Wrap(errors.Join(config.faults...), command.InForce)
	}
	return config.configuration, nil
}

// facts returns what is known of the cell, or nil.
func (command *configCheckCommand) facts(session *session) (*checker.Facts, error) {
	if command.Facts == "" {
		return nil, nil
	}
	document, err := readFile(command.Facts, session.Stdin, maxFactsFileBytes)
	if err != nil {
		return nil, err
	}
	var facts checker.Facts
	if faults := decoder.Decode(document, &facts); len(faults) > 0 {
		return nil, errors.Wrap(errors.Join(faults...), command.Facts)
	}
	return &facts, nil
}

// read reads a configuration of either form. It returns an error if the file is not JSON.
func (command *configCheckCommand) read(session *session, file string) (*checkedConfig, error) {
	document, err := readFile(file, session.Stdin, maxConfigFileBytes)
	if err != nil {
		return nil, err
	}
	if !utf8.Valid(document) {
		return nil, errors.Errorf("%s: is not text", file)
	}
	var content json.RawMessage
	if err := json.Unmarshal(document, &content); err != nil {
		line := 1
		var syntaxError *json.SyntaxError
		if errors.As(err, &syntaxError) {
			line = locator.New(document).LineAt(syntaxError.Offset)
		}
		return nil, errors.Wrapf(err, "%s: line %d", file, line)
	}
	cell := session.CellForm
	if command.Form == formCell && cell == nil {
		return nil, errUnsupportedCommand
	}
	if command.Form == formCell || command.Form == formAuto && cell != nil && cell.Recognise(document) {
		configuration, faults := cell.Parse(document)
		return &checkedConfig{
			configuration: configuration,
			faults:        faults,
			field:         cell.Field,
			faultField:    unchanged,
			locator:       locator.New(document),
		}, nil
	}
	return readPolicies(document), nil
}

// readPolicies reads a configuration of policies, or the output of get.
func readPolicies(document []byte) *checkedConfig {
	config := &checkedConfig{
		field:      unchanged,
		faultField: unchanged,
		locator:    locator.New(document),
	}
	var file configFile
	if faults := decoder.Decode(document, &file); len(faults) == 0 && file.Document != nil {
		document = file.Document
		config.field = inDocument
		config.faultField = inDocument
	}
	var decoded parser.Config
	strict := decoder.Decode(document, &decoded)
	parsed, err := parser.Parse(bytes.TrimSpace(document))
	if err == nil {
		config.configuration = checker.Policies{
			Config: parsed,
		}
		config.remarks = strict
		return config
	}
	// The decoder names the field of each fault, and the parser what it refuses beyond that.
	_, compileErr := parser.Compile(0, decoded)
	config.configuration = checker.Policies{
		Config: decoded,
	}
	config.faults = append(strict, splitErrors(compileErr)...)
	if len(config.faults) == 0 {
		config.faults = splitErrors(err)
	}
	return config
}

func unchanged(path string) string {
	return path
}

// inDocument returns the path of a field of a configuration in the output of get.
func inDocument(path string) string {
	if path == "" || path == decoder.Document {
		return "Document"
	}
	return "Document." + path
}

// splitErrors returns the errors that are joined in err.
func splitErrors(err error) []error {
	joined, isJoined := err.(interface{ Unwrap() []error })
	switch {
	case err == nil:
		return nil
	case isJoined:
		return joined.Unwrap()
	default:
		return []error{err}
	}
}

// addFormFindings returns the findings on the form of the document and those of the rules. A finding on a field in which
// a fault lies is left out, since it may only follow from the fault.
func (checkedConfig *checkedConfig) addFormFindings(findings []checker.Finding) []checker.Finding {
	all := []checker.Finding{}
	add := func(severity checker.Severity, rule string, errs []error) {
		for _, err := range errs {
			finding := checker.Finding{
				Severity: severity,
				Rule:     rule,
				Text:     err.Error(),
			}
			var fieldError *descriptor.FieldError
			if errors.As(err, &fieldError) {
				finding.Field, finding.Text = checkedConfig.faultField(fieldError.Field), fieldError.Reason
			}
			all = append(all, finding)
		}
	}
	add(checker.SeverityError, checker.RuleRefused, checkedConfig.faults)
	faults := all
	add(checker.SeverityWarning, checker.RuleForm, checkedConfig.remarks)
	for _, finding := range findings {
		if !slices.ContainsFunc(faults, func(fault checker.Finding) bool {
			return strings.HasPrefix(fault.Field+".", finding.Field+".") || strings.HasPrefix(fault.Field, finding.Field+"[")
		}) {
			all = append(all, finding)
		}
	}
	return all
}
