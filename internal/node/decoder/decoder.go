// Package decoder decodes JSON documents from outside the process strictly and reports all their errors at once.
// Unlike encoding/json it refuses unknown and repeated fields and matches field names by exact case.
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

// Document is the Field of errors that concern the document as a whole.
const Document = "(document)"

// MaxErrors is the largest number of errors that are reported for one document.
const MaxErrors = 64

// Decode decodes document into the struct that target points to and returns its errors, each a
// *descriptor.FieldError. Fields that are absent from the document or invalid keep their values.
func Decode(document []byte, target any) []error {
	if !json.Valid(document) {
		return []error{
			fieldError(Document, "%s", syntaxReason(document)),
		}
	}
	decodeState := &decodeState{}
	decodeState.decodeValue("", document, reflect.ValueOf(target).Elem())
	return decodeState.errs
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
		prefix := document[:min(int(syntax.Offset), len(document))]
		return fmt.Sprintf("is malformed JSON at line %d: %s", bytes.Count(prefix, []byte("\n"))+1, syntax)
	}
	return "is malformed JSON"
}

func fieldError(field, format string, args ...any) error {
	return &descriptor.FieldError{
		Field:  field,
		Reason: fmt.Sprintf(format, args...),
	}
}

// decodeState collects the errors of one document.
type decodeState struct {
	errs []error
}

// addError records an error of the field at path, up to MaxErrors. An empty path means the whole document.
func (decodeState *decodeState) addError(path, format string, args ...any) {
	if path == "" {
		path = Document
	}
	if len(decodeState.errs) < MaxErrors {
		decodeState.errs = append(decodeState.errs, fieldError(path, format, args...))
	}
}

// decodeValue decodes raw into target, which is addressable. path is the path of the field in the document.
func (decodeState *decodeState) decodeValue(path string, raw json.RawMessage, target reflect.Value) {
	if bytes.Equal(raw, []byte("null")) {
		switch target.Kind() {
		case reflect.Map, reflect.Slice:
			// encoding/json encodes nil maps and slices as null.
		default:
			decodeState.addError(path, "is null")
		}
		return
	}
	switch target.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		decodeState.decodeLeaf(path, raw, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		decodeState.decodeObject(path, raw, target)
	case reflect.Slice:
		decodeState.decodeArray(path, raw, target)
	default:
		decodeState.decodeLeaf(path, raw, target)
	}
}

// decodeLeaf decodes a value by encoding/json, without checks of its parts.
func (decodeState *decodeState) decodeLeaf(path string, raw json.RawMessage, target reflect.Value) {
	decoded := reflect.New(target.Type())
	err := json.Unmarshal(raw, decoded.Interface())
	var typeError *json.UnmarshalTypeError
	switch {
	case err == nil:
		target.Set(decoded.Elem())
	case errors.As(err, &typeError):
		decodeState.addError(path, "cannot be a %s", typeError.Value)
	default:
		const maxReasonLength = 200
		decodeState.addError(path, "%.*s", maxReasonLength, err.Error())
	}
}

// decodeObject decodes a JSON object into the struct target, field by field.
func (decodeState *decodeState) decodeObject(path string, raw json.RawMessage, target reflect.Value) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		decodeState.addError(path, "must be an object")
		return
	}
	seen := map[string]bool{}
	for decoder.More() {
		var rawValue json.RawMessage
		token, err := decoder.Token()
		if err == nil {
			err = decoder.Decode(&rawValue)
		}
		if err != nil {
			decodeState.addError(path, "%s", err)
			return
		}
		name, _ := token.(string)
		fieldPath := joinPath(path, name)
		field, known := target.Type().FieldByName(name)
		switch {
		case !known || !field.IsExported() || field.Anonymous:
			decodeState.addError(fieldPath, "is not known")
		case seen[name]:
			decodeState.addError(fieldPath, "is given twice")
		default:
			seen[name] = true
			decodeState.decodeValue(fieldPath, rawValue, target.FieldByIndex(field.Index))
		}
	}
}

// joinPath appends name to path. It quotes and truncates name if necessary, because name comes from the
// document and the path is printed.
func joinPath(path, name string) string {
	const maxNameBytes = 64
	if len(name) > maxNameBytes {
		name = name[:maxNameBytes]
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

// decodeArray decodes a JSON array into the slice target, element by element.
func (decodeState *decodeState) decodeArray(path string, raw json.RawMessage, target reflect.Value) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		decodeState.addError(path, "must be a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), 0, 0)
	for index := 0; decoder.More(); index++ {
		var rawElement json.RawMessage
		if err := decoder.Decode(&rawElement); err != nil {
			if !errors.Is(err, io.EOF) {
				decodeState.addError(path, "%s", err)
			}
			return
		}
		element := reflect.New(target.Type().Elem()).Elem()
		decodeState.decodeValue(fmt.Sprintf("%s[%d]", path, index), rawElement, element)
		list = reflect.Append(list, element)
	}
	target.Set(list)
}
