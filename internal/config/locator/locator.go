// Package locator finds the lines of the fields of a JSON document.
package locator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// maxDepth limits the depth of the fields that are located, since the paths of deeper ones grow with their depth.
const maxDepth = 16

// Locator holds the places of the fields of one document. The zero value knows none.
type Locator struct {
	document []byte
	fields   []field
	// byPath holds the last field with a path in lower case, since decoders may ignore the case of names.
	byPath map[string]int
}

// field is a value of the document, with the offsets of its first byte and of the byte after it.
type field struct {
	path       string
	start, end int64
}

// New returns a locator for document. Of a document that is not valid JSON it knows the part before the fault.
func New(document []byte) *Locator {
	locator := &Locator{
		document: document,
		byPath:   map[string]int{},
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	locator.read(decoder, "", 0)
	return locator
}

// read reads one value, and reports whether the document is valid so far.
func (locator *Locator) read(decoder *json.Decoder, path string, depth int) bool {
	if depth > maxDepth {
		var skipped json.RawMessage
		return decoder.Decode(&skipped) == nil
	}
	start := locator.valueStart(decoder.InputOffset())
	index := len(locator.fields)
	locator.fields = append(locator.fields, field{
		path:  path,
		start: start,
		end:   int64(len(locator.document)),
	})
	locator.byPath[strings.ToLower(path)] = index
	token, err := decoder.Token()
	if err != nil {
		return false
	}
	valid := true
	if delimiter, isDelimiter := token.(json.Delim); isDelimiter {
		valid = locator.readMembers(decoder, path, depth, delimiter == '{')
	}
	locator.fields[index].end = decoder.InputOffset()
	return valid
}

// readMembers reads the members of an object or array and the delimiter after them.
func (locator *Locator) readMembers(decoder *json.Decoder, path string, depth int, isObject bool) bool {
	for count := 0; decoder.More(); count++ {
		member := fmt.Sprintf("%s[%d]", path, count)
		if isObject {
			token, err := decoder.Token()
			if err != nil {
				return false
			}
			member = strings.TrimPrefix(fmt.Sprintf("%s.%v", path, token), ".")
		}
		if !locator.read(decoder, member, depth+1) {
			return false
		}
	}
	_, err := decoder.Token()
	return err == nil
}

// valueStart returns the offset of the first byte of the value after offset.
func (locator *Locator) valueStart(offset int64) int64 {
	rest := locator.document[offset:]
	return offset + int64(len(rest)-len(bytes.TrimLeft(rest, " \t\r\n:,")))
}

// Line returns the line of the field with a path such as Teams[3].Name. For a field that the document lacks it is that of
// the innermost value that holds it, and 0 if the document has no value at all.
func (locator *Locator) Line(path string) int {
	path = strings.ToLower(path)
	for {
		if index, known := locator.byPath[path]; known {
			return locator.LineAt(locator.fields[index].start)
		}
		if path == "" {
			return 0
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// LineAt returns the line of the byte at an offset, counted from 1.
func (locator *Locator) LineAt(offset int64) int {
	offset = min(max(offset, 0), int64(len(locator.document)))
	return bytes.Count(locator.document[:offset], []byte("\n")) + 1
}

// PathAt returns the path of the innermost value that holds the byte before an offset, as decoders report it for a value
// of the wrong type.
func (locator *Locator) PathAt(offset int64) string {
	path := ""
	for _, field := range locator.fields {
		if field.start < offset && offset <= field.end {
			path = field.path
		}
	}
	return path
}
