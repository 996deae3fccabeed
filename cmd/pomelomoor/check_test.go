package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"pomelomoor/internal/config/checker"
	"pomelomoor/internal/config/parser"
	"pomelomoor/platform"
)

// check runs config check with the arguments and returns its exit code and its report, if it prints one.
func check(t *testing.T, stdin []byte, arguments ...string) (int, checker.Report) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	program := newProgram()
	program.Stdin, program.Stdout, program.Stderr = bytes.NewReader(stdin), &stdout, &stderr
	code := program.Run(t.Context(), append([]string{"config", "check", "-o", "json"}, arguments...))
	var report checker.Report
	if code == 2 {
		if stderr.Len() == 0 || stdout.Len() > 0 {
			t.Errorf("exit code 2 with the output %q and the error %q", stdout.String(), stderr.String())
		}
	} else if err := json.Unmarshal(stdout.Bytes(), &report); err != nil {
		t.Errorf("exit code %d with the output %q: %v", code, stdout.String(), err)
	}
	return code, report
}

// TestConfigCheck guards against findings that are missed, have the wrong place or are not there. Each file of
// testdata/check holds a configuration and what is found in it, and names the mistake.
func TestConfigCheck(t *testing.T) {
	files, err := filepath.Glob("testdata/check/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test files: %v", err)
	}
	page, err := os.ReadFile("../../docs/design/config-check.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			directory := t.TempDir()
			arguments := []string{filepath.Join(directory, "config.json")}
			want := ""
			for _, part := range archive.Files {
				if part.Name == "want" {
					want = string(part.Data)
					continue
				}
				path := filepath.Join(directory, part.Name)
				if err := os.WriteFile(path, part.Data, 0o600); err != nil {
					t.Fatal(err)
				}
				if flag := strings.TrimSuffix(part.Name, ".json"); flag != "config" {
					arguments = append(arguments, "--"+flag, path)
				}
			}
			code, report := check(t, nil, arguments...)
			got := fmt.Sprintf("exit code %d\n", code)
			for _, finding := range report.Findings {
				got += fmt.Sprintf("%s, line %d, %s: %s: %s\n", finding.Severity, finding.Line, finding.Field, finding.Rule, finding.Text)
				if !strings.Contains(string(page), "`"+finding.Rule+"`") {
					t.Errorf("rule %s is not on the page", finding.Rule)
				}
			}
			if strings.Contains(want, "left out: ") {
				got += "left out: " + strings.Join(report.LeftOut, "\nleft out: ") + "\n"
			}
			if got != want {
				t.Errorf("got:\n%swant:\n%s", got, want)
			}
		})
	}
}

// plantedMistake is a change of one field of the large configuration, and the finding that it has to lead to.
type plantedMistake struct {
	// List, Index and Field are where Value is put; an empty field replaces the whole element.
	List  string
	Index int
	Field string
	Value any
	// Rule and Place are those of the finding, and Line is a part of the line that it names.
	Rule  string
	Place string
	Line  string
}

// largeConfig returns a configuration without mistakes, and facts of a cell that fit it.
func largeConfig() (config map[string][]any, facts checker.Facts) {
	const queues, organisations = 1000, 40
	config = map[string][]any{}
	for index := range queues {
		config["routes"] = append(config["routes"], map[string]any{
			"name":        fmt.Sprintf("queue-%d", index),
			"host":        fmt.Sprintf("host-%d", index%7),
			"prefix":      fmt.Sprintf("/queue/%d/", index),
			"service":     fmt.Sprintf("service-%d", index%5),
			"priority":    index % 3,
			"maxAttempts": 4,
			"slackFactor": 2,
			"sloMs":       500,
		})
	}
	for index := range 5 {
		name := fmt.Sprintf("service-%d", index)
		config["services"] = append(config["services"], map[string]any{"name": name})
		facts.Workers = append(facts.Workers, checker.Workers{
			Service: name,
			Count:   100,
		})
		facts.Workers[index].Capacity.MilliCPU = 16000
	}
	for index := range organisations {
		name := fmt.Sprintf("organisation-%d", index)
		config["tenants"] = append(config["tenants"], map[string]any{
			"name":    name,
			"apiKeys": []any{"secret-" + name},
			"weight":  index%4 + 1,
			"cap":     map[string]any{"cpu": 180_000},
		})
		work := checker.Work{
			Queue:        fmt.Sprintf("queue-%d", index),
			Organisation: name,
		}
		work.Task.MilliCPU = 4000
		work.Gang.Task, work.Gang.Tasks = work.Task, 20
		work.LongestChain.Duration = 5e9
		facts.Work = append(facts.Work, work)
	}
	delete(config["tenants"][organisations-1].(map[string]any), "cap")
	return config, facts
}

// TestPlantedMistakes guards against a mistake in a large configuration that is not named with its place, and against
// findings where there is no mistake.
func TestPlantedMistakes(t *testing.T) {
	var planted []plantedMistake
	content, err := os.ReadFile("testdata/planted.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(content, &planted); err != nil {
		t.Fatal(err)
	}
	if len(planted) != 30 {
		t.Fatalf("%d mistakes, want 30", len(planted))
	}
	config, facts := largeConfig()
	if code, report := checkLarge(t, config, facts); code != 0 || len(report.Findings) > 0 {
		t.Fatalf("exit code %d without a mistake: %+v", code, report.Findings)
	}
	want := map[string]string{}
	for _, mistake := range planted {
		element := config[mistake.List][mistake.Index]
		if mistake.Field == "" {
			config[mistake.List][mistake.Index] = mistake.Value
		} else {
			element.(map[string]any)[mistake.Field] = mistake.Value
		}
		want[mistake.Rule+" at "+mistake.Place] = mistake.Line
	}
	code, report := checkLarge(t, config, facts)
	if code != 1 {
		t.Errorf("exit code %d", code)
	}
	lines := strings.Split(string(encodeLarge(t, config)), "\n")
	for _, finding := range report.Findings {
		id := finding.Rule + " at " + finding.Field
		line, known := want[id]
		switch {
		case !known:
			t.Errorf("%s: %s: no such mistake", id, finding.Text)
		case finding.Line < 1 || !strings.Contains(lines[finding.Line-1], line):
			t.Errorf("%s: line %d, want one with %s", id, finding.Line, line)
		}
		if strings.Contains(finding.Text, "secret-") {
			t.Errorf("%s: %s tells a key", id, finding.Text)
		}
		delete(want, id)
	}
	for id := range want {
		t.Errorf("%s is not found", id)
	}
}

func encodeLarge(t *testing.T, config map[string][]any) []byte {
	t.Helper()
	document := map[string]any{"version": 7, "limits": map[string]any{"maxBodyBytes": 65536}}
	for name, list := range config {
		document[name] = list
	}
	encoded, err := json.MarshalIndent(document, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func checkLarge(t *testing.T, config map[string][]any, facts checker.Facts) (int, checker.Report) {
	t.Helper()
	encoded, err := json.Marshal(facts)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "facts.json")
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
	return check(t, encodeLarge(t, config), "-", "--facts", file)
}

// FuzzConfigCheck guards against panics of the check, and against a document that it passes and an instance refuses, or
// the other way round.
func FuzzConfigCheck(f *testing.F) {
	files, err := filepath.Glob("testdata/check/*.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			f.Fatal(err)
		}
		for _, part := range archive.Files {
			if strings.HasSuffix(part.Name, ".json") {
				f.Add(part.Data, archive.Files[len(archive.Files)/2].Data)
			}
		}
	}
	_, facts := largeConfig()
	f.Fuzz(func(t *testing.T, document, inForce []byte) {
		_, cellErr := platform.ParseConfig(document)
		_, policiesErr := parser.Parse(document)
		for form, err := range map[string]error{"cell": cellErr, "policies": policiesErr} {
			code, report := check(t, document, "-", "--form", form)
			refused := code == 2
			for _, finding := range report.Findings {
				refused = refused || finding.Severity == checker.SeverityError
			}
			if refused != (err != nil) && (form == "cell" || !isGetOutput(document)) {
				t.Errorf("form %s: exit code %d, findings %+v, but the error of an instance is %v", form, code, report.Findings, err)
			}
			if refused && code == 0 {
				t.Errorf("form %s: exit code 0 with errors", form)
			}
		}
		after, _ := platform.InspectConfig(document)
		before, _ := platform.InspectConfig(inForce)
		checker.Check(checker.Options{
			Configuration: checker.Cell{
				Config: after,
			},
			InForce: checker.Cell{
				Config: before,
			},
			Facts: &facts,
		})
	})
}

// isGetOutput reports whether a document may be the output of get, which holds a configuration and is none itself.
func isGetOutput(document []byte) bool {
	return bytes.Contains(document, []byte("Document"))
}
