package commander

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// TestPage guards against commands, flags and exit codes that docs/commands.md does not document.
func TestPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "commands.md"))
	if err != nil {
		t.Fatal(err)
	}
	application, err := kong.New(&grammar{})
	if err != nil {
		t.Fatal(err)
	}
	for _, command := range application.Model.Leaves(false) {
		if !strings.Contains(string(page), "`"+command.Path()) {
			t.Errorf("%s is not documented", command.Path())
		}
		for _, flag := range command.Flags {
			if !strings.Contains(string(page), "--"+flag.Name) {
				t.Errorf("%s --%s is not documented", command.Path(), flag.Name)
			}
		}
	}
	for code := ExitDone; code <= ExitDiffers; code++ {
		if !strings.Contains(string(page), fmt.Sprintf("\n| %d | ", code)) {
			t.Errorf("exit code %d is not documented", code)
		}
	}
}

// FuzzConfigFile guards against panics and against a revision that is not in the file.
func FuzzConfigFile(f *testing.F) {
	f.Add([]byte(`{"Revision": 7, "Document": {"Teams": [{"Name": "a"}]}}`))
	f.Add([]byte(`{"Policies": null}`))
	f.Add([]byte(`{"Document": null, "Revision": -1}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		_, revision, hasRevision, err := ParseConfigFile(content)
		if err == nil && revision != 0 && !hasRevision {
			t.Errorf("got revision %d, but no revision in the file", revision)
		}
		if hasRevision && !strings.Contains(string(content), "{") {
			t.Errorf("got a revision from %q", content)
		}
	})
}
