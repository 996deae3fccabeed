package loader

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

// TestPage guards against settings that docs/settings.md lacks, has in excess, or tells with another
// default, and against an example that is refused.
func TestPage(t *testing.T) {
	content, err := os.ReadFile("../../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	told := map[string]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]+) \\| [^|]+ \\|$").FindAllStringSubmatch(page, -1) {
		told[row[1]] = strings.Trim(row[2], "`")
	}
	for field, value := range fields("", reflect.ValueOf(Defaults())) {
		want, ok := told[field]
		switch {
		case !ok:
			t.Errorf("%s is not on the page", field)
		case value != "" && want != value, value == "" && !strings.HasPrefix(want, "("):
			t.Errorf("%s has the default %q, the page says %q", field, value, want)
		}
		delete(told, field)
	}
	for field := range told {
		t.Errorf("%s is on the page only", field)
	}
	_, example, _ := strings.Cut(page, "```json\n")
	example, _, _ = strings.Cut(example, "```")
	if _, err := Parse("example", []byte(example)); err != nil {
		t.Error(err)
	}
}

// fields returns the defaults of all fields by path; those of absent values are empty.
func fields(prefix string, group reflect.Value) map[string]string {
	found := map[string]string{}
	for i := range group.NumField() {
		name := prefix + group.Type().Field(i).Name
		field := group.Field(i)
		switch _, isText := field.Interface().(fmt.Stringer); {
		case isText && field.IsZero():
			found[name] = ""
		case isText:
			found[name] = fmt.Sprint(field.Interface())
		case field.Kind() == reflect.Struct:
			for path, value := range fields(name+".", field) {
				found[path] = value
			}
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct && field.Type().Elem().PkgPath() == group.Type().PkgPath():
			found[name] = ""
			for path := range fields(name+"[].", reflect.New(field.Type().Elem()).Elem()) {
				found[path] = ""
			}
		case field.IsZero():
			found[name] = ""
		default:
			found[name] = fmt.Sprint(field.Interface())
		}
	}
	return found
}
