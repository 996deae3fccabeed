package handler

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/work/descriptor"
)

// constants returns the values that the first group of pattern captures in the source file.
func constants(t *testing.T, file, pattern string) []string {
	t.Helper()
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var values []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(source), -1) {
		values = append(values, match[1])
	}
	return values
}

// TestPage guards against routes, headers and codes that differ between the API and docs/api.md.
func TestPage(t *testing.T) {
	content, err := os.ReadFile("../../../docs/api.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	var documented, served []string
	for _, match := range regexp.MustCompile("(?m)^### `([A-Z]+ /[^`]+)`$").FindAllStringSubmatch(page, -1) {
		documented = append(documented, match[1])
	}
	routes, ok := (&Handler{
		Metrics: http.NotFoundHandler(),
		Traces:  http.NotFoundHandler(),
	}).Routes().(chi.Router)
	if !ok {
		t.Fatal("the routes cannot be listed")
	}
	err = chi.Walk(routes, func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		served = append(served, method+" "+route)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(documented)
	slices.Sort(served)
	if !slices.Equal(documented, served) {
		t.Errorf("the page documents the routes\n%s\nthe API serves\n%s", strings.Join(documented, "\n"), strings.Join(served, "\n"))
	}
	for _, header := range constants(t, "../presenter/documents.go", `Header\w+ += "([^"]+)"`) {
		if !strings.Contains(page, "\n| `"+header+"` | ") {
			t.Errorf("header %s is not documented", header)
		}
	}
	codes := constants(t, "../../work/descriptor/problem.go", `Code\w+ +Code = "([^"]+)"`)
	for _, code := range codes {
		effect := "perhaps"
		switch known := descriptor.Code(code); {
		case presenter.GuaranteesNotRun(known):
			effect = "no"
		case known == descriptor.CodeUpstream:
			effect = "yes, it failed"
		}
		row := regexp.MustCompile(fmt.Sprintf("\n\\| `%s` \\| %d[0-9, ]* \\| %s \\| ", code, presenter.Status(descriptor.Code(code)), effect))
		if !row.MatchString(page) {
			t.Errorf("code %s is not documented with its status and effect", code)
		}
	}
	if rows := regexp.MustCompile("\n\\| `\\w+` \\| \\d{3}").FindAllString(page, -1); len(rows) != len(codes) {
		t.Errorf("%d codes are documented, %d exist", len(rows), len(codes))
	}
}
