package commander

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// TestPagesCommands guards against commands in docs/ that the command line does not accept.
func TestPagesCommands(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join("..", "..", "..", "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, page := range pages {
		content, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, command := range commandsOf(string(content)) {
			checked++
			parser, err := kong.New(&grammar{}, kong.Exit(func(int) {}))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := parser.Parse(strings.Fields(command)); err != nil {
				t.Errorf("%s: %s: %v", filepath.Base(page), command, err)
			}
		}
	}
	if checked < 25 {
		t.Errorf("only %d commands were found", checked)
	}
}

// commandsOf returns the arguments of each pomelomoor command in the page's code blocks and inline code. It
// leaves out names in capitals, such as metrics and environment variables, and the synopsis with COMMAND.
func commandsOf(page string) []string {
	var commands []string
	inBlock := false
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, "```") {
			inBlock = !inBlock
			continue
		}
		spans := strings.Split(line, "`")
		if inBlock {
			spans = []string{"", line}
		}
		for i := 1; i < len(spans); i += 2 {
			arguments, ok := strings.CutPrefix(strings.TrimSpace(spans[i]), "pomelomoor ")
			if !ok || strings.ToUpper(arguments) == arguments || strings.HasPrefix(arguments, "COMMAND") {
				continue
			}
			arguments, _, _ = strings.Cut(arguments, " > ")
			commands = append(commands, arguments)
		}
	}
	return commands
}
