// Package decoder reads JSON documents from outside strictly and reports all their faults at once.
// Unlike encoding/json it refuses unknown and repeated fields, and names match exactly.
package decoder

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"

	"github.com/go-faster/errors"

	"pomelomoor/internal/work/descriptor"
)

// Document is the Field of faults that concern the whole document.
const Document = "(document)"

// MaxFaults bounds how many faults of one document are reported.
const MaxFaults = 64

// Decode reads document into the struct that target points to and returns its faults.
// Fields that the document lacks keep their values. Fields with a fault are left as they are.
func Decode(document []byte, target any) []error {
	if !json.Valid(document) {
		return []error{
			fault(Document, "%s", syntaxReason(document)),
		}
	}
	state := &state{}
	state.value("", document, reflect.ValueOf(target).Elem())
	return state.faults
}

// syntaxReason describes why document is not valid JSON.
func syntaxReason(document []byte) string {
	if len(bytes.TrimSpace(document)) == 0 {
		return "is empty"
	}
	var discard json.RawMessage
	err := json.Unmarshal(document, &discard)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		before := document[:min(int(syntax.Offset), len(document))]
		return fmt.Sprintf("is malformed JSON at line %d: %s", bytes.Count(before, []byte("\n"))+1, syntax)
	}
	return "is malformed JSON"
}

func fault(field, format string, args ...any) error {
	return &descriptor.FieldError{
		Field:  field,
		Reason: fmt.Sprintf(format, args...),
	}
}

type state struct {
	faults []error
}

func (state *state) fault(path, format string, args ...any) {
	if path == "" {
		path = Document
	}
	if len(state.faults) < MaxFaults {
		state.faults = append(state.faults, fault(path, format, args...))
	}
}

func (state *state) value(path string, raw json.RawMessage, target reflect.Value) {
	if bytes.Equal(raw, []byte("null")) {
		switch target.Kind() {
		case reflect.Map, reflect.Slice:
			// encoding/json writes empty maps and slices as null.
		default:
			state.fault(path, "is null")
		}
		return
	}
	switch target.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		state.leaf(path, raw, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		state.object(path, raw, target)
	case reflect.Slice:
		state.array(path, raw, target)
	default:
		state.leaf(path, raw, target)
	}
}

func (state *state) leaf(path string, raw json.RawMessage, target reflect.Value) {
	decoded := reflect.New(target.Type())
	err := json.Unmarshal(raw, decoded.Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case err == nil:
		target.Set(decoded.Elem())
	case errors.As(err, &mismatch):
		state.fault(path, "cannot be a %s", mismatch.Value)
	default:
		const maxReason = 200
		state.fault(path, "%.*s", maxReason, err.Error())
	}
}

func (state *state) object(path string, raw json.RawMessage, target reflect.Value) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		state.fault(path, "must be an object")
		return
	}
	seen := map[string]bool{}
	for decoder.More() {
		var part json.RawMessage
		token, err := decoder.Token()
		if err == nil {
			err = decoder.Decode(&part)
		}
		if err != nil {
			state.fault(path, "%s", err)
			return
		}
		name, _ := token.(string)
		full := join(path, name)
		field, known := target.Type().FieldByName(name)
		switch {
		case !known || !field.IsExported() || field.Anonymous:
			state.fault(full, "is not known")
		case seen[name]:
			state.fault(full, "is given twice")
		default:
			seen[name] = true
			state.value(full, part, target.FieldByIndex(field.Index))
		}
	}
}

// join appends name, which comes from the document, to path in printable and bounded form.
func join(path, name string) string {
	const maxName = 64
	if len(name) > maxName {
		name = name[:maxName]
	}
	quoted := strconv.QuoteToASCII(name)
	if name == "" || quoted != `"`+name+`"` {
		name = quoted
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func (state *state) array(path string, raw json.RawMessage, target reflect.Value) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		state.fault(path, "must be a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), 0, 0)
	for index := 0; decoder.More(); index++ {
		var part json.RawMessage
		if err := decoder.Decode(&part); err != nil {
			if !errors.Is(err, io.EOF) {
				state.fault(path, "%s", err)
			}
			return
		}
		element := reflect.New(target.Type().Elem()).Elem()
		state.value(fmt.Sprintf("%s[%d]", path, index), part, element)
		list = reflect.Append(list, element)
	}
	target.Set(list)
}
