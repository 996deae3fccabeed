package commander

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// TestPage guards against commands and exit codes that docs/commands.md does not explain.
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
			t.Errorf("%s is not explained", command.Path())
		}
		for _, flag := range command.Flags {
			if !strings.Contains(string(page), "--"+flag.Name) {
				t.Errorf("%s --%s is not explained", command.Path(), flag.Name)
			}
		}
	}
	for code := ExitDone; code <= ExitDiffers; code++ {
		if !strings.Contains(string(page), fmt.Sprintf("\n| %d | ", code)) {
			t.Errorf("exit code %d is not explained", code)
		}
	}
}

// FuzzConfigFile guards against panics and against a base that no file told.
func FuzzConfigFile(f *testing.F) {
	f.Add([]byte(`{"Revision": 7, "Document": {"Teams": [{"Name": "a"}]}}`))
	f.Add([]byte(`{"Policies": null}`))
	f.Add([]byte(`{"Document": null, "Revision": -1}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		_, revision, known, err := ParseConfigFile(content)
		if err == nil && revision != 0 && !known {
			t.Errorf("revision %d", revision)
		}
		if known && !strings.Contains(string(content), "{") {
			t.Errorf("%q tells a revision", content)
		}
	})
}
