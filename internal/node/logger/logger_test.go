package logger

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write docs/events.md")

// TestPage guards against a docs/events.md that is out of date.
func TestPage(t *testing.T) {
	const file = "../../../docs/events.md"
	if *update {
		if err := os.WriteFile(file, []byte(Page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Page() {
		t.Error("docs/events.md differs from the catalogue; run go test ./internal/node/logger -update")
	}
}

// TestCatalogue guards against event constants without a catalogue entry, and against duplicate names and
// numbers.
func TestCatalogue(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	constants := map[string]bool{}
	ast.Inspect(file, func(node ast.Node) bool {
		if spec, ok := node.(*ast.ValueSpec); ok {
			constants[spec.Names[0].Name] = true
		}
		return true
	})
	previous := Event(0)
	for _, entry := range catalogue {
		if !constants["Event"+entry.Name] {
			t.Errorf("%s has no constant of its name or is a duplicate", entry.Name)
		}
		delete(constants, "Event"+entry.Name)
		if entry.Event <= previous {
			t.Errorf("%s is out of order", entry.Name)
		}
		previous = entry.Event
		if entry.Event.Describe() != entry || entry.Text == "" || entry.Meaning == "" || strings.Contains(entry.Meaning, "|") {
			t.Errorf("%s is incomplete", entry.Name)
		}
	}
	for name := range constants {
		t.Errorf("%s has no catalogue entry", name)
	}
}

// TestEventsInPages guards against pages that cite an event under a wrong number or name, and against pages
// that cite an event that no code logs.
func TestEventsInPages(t *testing.T) {
	logged := map[string]bool{}
	err := filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range regexp.MustCompile(`logger\.Event(\w+)`).FindAllStringSubmatch(string(source), -1) {
			logged[match[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	cited := 0
	for _, page := range []string{"OPERATIONS", "failures", "settings", "traces", "metrics"} {
		content, err := os.ReadFile("../../../docs/" + page + ".md")
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range regexp.MustCompile("\\b(\\d{3}) `([A-Z]\\w+)`").FindAllStringSubmatch(string(content), -1) {
			cited++
			number, _ := strconv.Atoi(match[1])
			if name := Event(number).String(); name != match[2] || !logged[name] {
				t.Errorf("%s.md cites %s as %s; its name is %s, logged: %t", page, match[1], match[2], name, logged[name])
			}
		}
	}
	if cited < 15 {
		t.Errorf("only %d events are cited", cited)
	}
}

// TestLog guards against log lines whose keys are not in Pascal case, against lines below the level and against
// a panic for a nil logger.
func TestLog(t *testing.T) {
	var output bytes.Buffer
	log := New(&output, slog.LevelInfo)
	Log(context.Background(), log, EventJobAccepted)
	Log(context.Background(), log, EventShardLost, slog.String("Shard", "a-0"))
	Log(context.Background(), nil, EventShardLost)
	var line map[string]any
	if err := json.Unmarshal(output.Bytes(), &line); err != nil {
		t.Fatalf("want one JSON line, got %s: %q", err, output.String())
	}
	delete(line, "Time")
	got, _ := json.Marshal(line)
	want := `{"Event":304,"Level":"WARN","Message":"shard lost","Name":"ShardLost","Shard":"a-0"}`
	if string(got) != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
