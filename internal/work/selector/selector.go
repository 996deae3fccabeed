// Package selector parses and matches label selectors.
//
// A selector is a list of requirements separated by commas, all of which have to hold:
//
//	Kind=Batch            the label has this value
//	Kind!=Batch           the label is absent or has another value
//	Urgency in (High,Low) the label has one of these values
//	Urgency notin (Low)   the label is absent or has none of these values
//	Pilot                 the label is present
//	!Pilot                the label is absent
//
// The empty selector matches everything.
package selector

import (
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"pomelomoor/internal/work/descriptor"
)

// MaxRequirements bounds the length of a selector.
const MaxRequirements = 32

// ErrSyntax is wrapped by all errors of Parse.
var ErrSyntax = errors.New("selector syntax")

// Requirement is one condition on a label. It is one of In, NotIn, Present and Absent.
type Requirement interface {
	isRequirement()
}

// In holds when the label has one of the values.
type In struct {
	Key    string
	Values []string
}

// NotIn holds when the label is absent or has none of the values.
type NotIn struct {
	Key    string
	Values []string
}

// Present holds when the label exists.
type Present struct {
	Key string
}

// Absent holds when the label does not exist.
type Absent struct {
	Key string
}

func (In) isRequirement()      {}
func (NotIn) isRequirement()   {}
func (Present) isRequirement() {}
func (Absent) isRequirement()  {}

// Selector is a parsed selector. The zero value matches everything.
type Selector struct {
	requirements []Requirement
}

var (
	wordPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]*$`)
	setPattern  = regexp.MustCompile(`^(\S+)\s+(in|notin)\s*\(([^()]*)\)$`)
)

// Parse reads a selector.
func Parse(text string) (Selector, error) {
	var selector Selector
	if strings.TrimSpace(text) == "" {
		return selector, nil
	}
	parts, err := split(text)
	if err != nil {
		return Selector{}, err
	}
	if len(parts) > MaxRequirements {
		return Selector{}, errors.Wrapf(ErrSyntax, "more than %d requirements", MaxRequirements)
	}
	for _, part := range parts {
		requirement, err := parseRequirement(strings.TrimSpace(part))
		if err != nil {
			return Selector{}, err
		}
		selector.requirements = append(selector.requirements, requirement)
	}
	return selector, nil
}

// split cuts text at the commas outside of parentheses.
func split(text string) ([]string, error) {
	var parts []string
	depth, start := 0, 0
	for i, char := range text {
		switch char {
		case '(':
			depth++
		case ')':
			depth--
		case ',':
			if depth == 0 {
				parts = append(parts, text[start:i])
				start = i + 1
			}
		}
		if depth < 0 || depth > 1 {
			return nil, errors.Wrapf(ErrSyntax, "parentheses do not match in %q", text)
		}
	}
	if depth != 0 {
		return nil, errors.Wrapf(ErrSyntax, "parentheses do not match in %q", text)
	}
	return append(parts, text[start:]), nil
}

func parseRequirement(text string) (Requirement, error) {
	if match := setPattern.FindStringSubmatch(text); match != nil {
		return parseSet(match[1], match[2], match[3])
	}
	if key, value, ok := strings.Cut(text, "!="); ok {
		key, value, err := checkPair(key, value)
		return NotIn{
			Key:    key,
			Values: []string{value},
		}, err
	}
	if key, value, ok := strings.Cut(text, "="); ok {
		key, value, err := checkPair(key, value)
		return In{
			Key:    key,
			Values: []string{value},
		}, err
	}
	if key, ok := strings.CutPrefix(text, "!"); ok {
		key, err := checkWord(key)
		return Absent{
			Key: key,
		}, err
	}
	key, err := checkWord(text)
	return Present{
		Key: key,
	}, err
}

func parseSet(key, operator, list string) (Requirement, error) {
	key, err := checkWord(key)
	if err != nil {
		return nil, err
	}
	var values []string
	for value := range strings.SplitSeq(list, ",") {
		value, err := checkWord(value)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	if operator == "notin" {
		return NotIn{
			Key:    key,
			Values: values,
		}, nil
	}
	return In{
		Key:    key,
		Values: values,
	}, nil
}

func checkPair(key, value string) (string, string, error) {
	key, err := checkWord(key)
	if err != nil {
		return "", "", err
	}
	value, err = checkWord(value)
	return key, value, err
}

func checkWord(word string) (string, error) {
	word = strings.TrimSpace(word)
	if !wordPattern.MatchString(word) {
		return "", errors.Wrapf(ErrSyntax, "%q is no label key or value", word)
	}
	return word, nil
}

// Matches reports whether labels meet all requirements.
func (selector Selector) Matches(labels descriptor.Labels) bool {
	for _, requirement := range selector.requirements {
		if !matches(requirement, labels) {
			return false
		}
	}
	return true
}

func matches(requirement Requirement, labels descriptor.Labels) bool {
	switch requirement := requirement.(type) {
	case In:
		value, ok := labels[requirement.Key]
		return ok && slices.Contains(requirement.Values, value)
	case NotIn:
		value, ok := labels[requirement.Key]
		return !ok || !slices.Contains(requirement.Values, value)
	case Present:
		_, ok := labels[requirement.Key]
		return ok
	case Absent:
		_, ok := labels[requirement.Key]
		return !ok
	default:
		return false
	}
}

// Admits reports whether labels could meet all requirements when only the keys in known are decided
// by labels and every other label may have any value.
func (selector Selector) Admits(labels descriptor.Labels, known ...string) bool {
	for _, requirement := range selector.requirements {
		if slices.Contains(known, key(requirement)) && !matches(requirement, labels) {
			return false
		}
	}
	return true
}

func key(requirement Requirement) string {
	switch requirement := requirement.(type) {
	case In:
		return requirement.Key
	case NotIn:
		return requirement.Key
	case Present:
		return requirement.Key
	case Absent:
		return requirement.Key
	default:
		return ""
	}
}

// Empty reports whether the selector matches everything.
func (selector Selector) Empty() bool {
	return len(selector.requirements) == 0
}

// String returns a form that Parse reads.
func (selector Selector) String() string {
	var parts []string
	for _, requirement := range selector.requirements {
		switch requirement := requirement.(type) {
		case In:
			parts = append(parts, requirement.Key+" in ("+strings.Join(requirement.Values, ",")+")")
		case NotIn:
			parts = append(parts, requirement.Key+" notin ("+strings.Join(requirement.Values, ",")+")")
		case Present:
			parts = append(parts, requirement.Key)
		case Absent:
			parts = append(parts, "!"+requirement.Key)
		}
	}
	return strings.Join(parts, ",")
}
