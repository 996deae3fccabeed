package loader

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

// TestPage guards against a docs/settings.md that lacks a setting, lists an unknown one, or gives another default,
// and against an example on the page that is invalid.
func TestPage(t *testing.T) {
	content, err := os.ReadFile("../../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	documented := map[string]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]+) \\| [^|]+ \\|$").FindAllStringSubmatch(page, -1) {
		documented[row[1]] = strings.Trim(row[2], "`")
	}
	for field, value := range defaultsByPath("", reflect.ValueOf(Defaults())) {
		want, ok := documented[field]
		switch {
		case !ok:
			t.Errorf("%s is not on the page", field)
		case value != "" && want != value, value == "" && !strings.HasPrefix(want, "("):
			t.Errorf("%s has the default %q, the page says %q", field, value, want)
		}
		delete(documented, field)
	}
	for field := range documented {
		t.Errorf("%s is on the page only", field)
	}
	_, example, _ := strings.Cut(page, "```json\n")
	example, _, _ = strings.Cut(example, "```")
	if _, err := Parse("example", []byte(example)); err != nil {
		t.Error(err)
	}
}

// defaultsByPath returns the defaults of all fields of the struct group as text, by path with prefix. A field
// without a default has an empty text.
func defaultsByPath(prefix string, group reflect.Value) map[string]string {
	defaults := map[string]string{}
	for i := range group.NumField() {
		name := prefix + group.Type().Field(i).Name
		field := group.Field(i)
		switch _, isStringer := field.Interface().(fmt.Stringer); {
		case isStringer && field.IsZero():
			defaults[name] = ""
		case isStringer:
			defaults[name] = fmt.Sprint(field.Interface())
		case field.Kind() == reflect.Struct:
			for path, value := range defaultsByPath(name+".", field) {
				defaults[path] = value
			}
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct && field.Type().Elem().PkgPath() == group.Type().PkgPath():
			defaults[name] = ""
			for path := range defaultsByPath(name+"[].", reflect.New(field.Type().Elem()).Elem()) {
				defaults[path] = ""
			}
		case field.IsZero():
			defaults[name] = ""
		default:
			defaults[name] = fmt.Sprint(field.Interface())
		}
	}
	return defaults
}
