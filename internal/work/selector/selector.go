// Package selector parses and matches label selectors.
//
// A selector is a comma-separated list of requirements that must all be met:
//
//	Kind=Batch            the label has the value
//	Kind!=Batch           the label is absent or has another value
//	Urgency in (High,Low) the label has one of these values
//	Urgency notin (Low)   the label is absent or has none of these values
//	Pilot                 the label is present, with any value
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

// MaxRequirements is the maximum number of requirements in a selector.
const MaxRequirements = 32

// ErrSyntax is wrapped by every error that Parse returns.
var ErrSyntax = errors.New("selector syntax")

// Requirement is a condition on a label: In, NotIn, Present or Absent.
type Requirement interface {
	isRequirement()
}

// In requires that the label has one of the values.
type In struct {
	Key    string
	Values []string
}

// NotIn requires that the label is absent or has none of the values.
type NotIn struct {
	Key    string
	Values []string
}

// Present requires that the label is set.
type Present struct {
	Key string
}

// Absent requires that the label is not set.
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
	tokenPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]*$`)
	setPattern   = regexp.MustCompile(`^(\S+)\s+(in|notin)\s*\(([^()]*)\)$`)
)

// Parse parses a selector.
func Parse(text string) (Selector, error) {
	var selector Selector
	if strings.TrimSpace(text) == "" {
		return selector, nil
	}
	parts, err := splitRequirements(text)
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

// splitRequirements splits text at the commas outside of parentheses, which must be balanced and not nested.
func splitRequirements(text string) ([]string, error) {
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
			return nil, errors.Wrapf(ErrSyntax, "parentheses are nested or unbalanced in %q", text)
		}
	}
	if depth != 0 {
		return nil, errors.Wrapf(ErrSyntax, "parentheses are unbalanced in %q", text)
	}
	return append(parts, text[start:]), nil
}

func parseRequirement(text string) (Requirement, error) {
	if match := setPattern.FindStringSubmatch(text); match != nil {
		return parseSetRequirement(match[1], match[2], match[3])
	}
	if key, value, ok := strings.Cut(text, "!="); ok {
		key, value, err := parsePair(key, value)
		return NotIn{
			Key:    key,
			Values: []string{value},
		}, err
	}
	if key, value, ok := strings.Cut(text, "="); ok {
		key, value, err := parsePair(key, value)
		return In{
			Key:    key,
			Values: []string{value},
		}, err
	}
	if key, ok := strings.CutPrefix(text, "!"); ok {
		key, err := parseToken(key)
		return Absent{
			Key: key,
		}, err
	}
	key, err := parseToken(text)
	return Present{
		Key: key,
	}, err
}

func parseSetRequirement(key, operator, list string) (Requirement, error) {
	key, err := parseToken(key)
	if err != nil {
		return nil, err
	}
	var values []string
	for value := range strings.SplitSeq(list, ",") {
		value, err := parseToken(value)
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

func parsePair(key, value string) (string, string, error) {
	key, err := parseToken(key)
	if err != nil {
		return "", "", err
	}
	value, err = parseToken(value)
	return key, value, err
}

func parseToken(token string) (string, error) {
	token = strings.TrimSpace(token)
	if !tokenPattern.MatchString(token) {
		return "", errors.Wrapf(ErrSyntax, "%q is not a valid label key or value: it must start with an ASCII letter or digit, followed only by ASCII letters, digits and . _ / -", token)
	}
	return token, nil
}

// Matches reports whether labels meet every requirement.
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

// MatchesKnown reports whether labels meet every requirement on the keys in knownKeys. Requirements on other keys
// are ignored, because the values of those labels are unknown.
func (selector Selector) MatchesKnown(labels descriptor.Labels, knownKeys ...string) bool {
	for _, requirement := range selector.requirements {
		if slices.Contains(knownKeys, requirementKey(requirement)) && !matches(requirement, labels) {
			return false
		}
	}
	return true
}

func requirementKey(requirement Requirement) string {
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

// Requirements returns the requirements, which the caller must not change.
func (selector Selector) Requirements() []Requirement {
	return selector.requirements
}

// Empty reports whether the selector has no requirements and so matches everything.
func (selector Selector) Empty() bool {
	return len(selector.requirements) == 0
}

// String returns the selector in a form that Parse accepts.
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
