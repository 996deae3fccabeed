package checker

import (
	"fmt"
	"slices"
	"strings"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// kindLabel is a label that all work has, with one of the values in kinds.
const kindLabel = "Kind"

var kinds = []string{"Service", "Batch", "Gang", "Interactive"}

// policies applies the rules on policies and teams, except those on differences. Selectors that cannot be parsed are
// faults that the parser reports.
func (check *check) policies(config parser.Config) {
	hidingPolicies := findHidingPolicies(config)
	for index := range config.Policies {
		policy := &config.Policies[index]
		field := fmt.Sprintf("Policies[%d]", index)
		if reason := contradiction(policy.Selector, map[string][]string{kindLabel: kinds}); reason != "" {
			check.warn("SelectorMatchesNothing", field+".Selector", "policy %q matches no work: %s", policy.Name, reason)
		}
		check.where(policy, field)
		check.effect(policy, hidingPolicies[index], field)
	}
	check.quotas(config)
}

// contradiction returns why no labels can meet a selector, or an empty text. The labels in always are never absent and have
// one of these values.
func contradiction(text string, always map[string][]string) string {
	parsed, err := selector.Parse(text)
	if err != nil {
		return ""
	}
	allowed, refused := map[string][]string{}, map[string][]string{}
	present, absent := map[string]bool{}, map[string]bool{}
	for key, values := range always {
		allowed[key], present[key] = values, true
	}
	for _, requirement := range parsed.Requirements() {
		switch requirement := requirement.(type) {
		case selector.In:
			present[requirement.Key] = true
			values, limited := allowed[requirement.Key]
			if !limited {
				allowed[requirement.Key] = requirement.Values
				continue
			}
			allowed[requirement.Key] = slices.DeleteFunc(slices.Clone(values), func(value string) bool {
				return !slices.Contains(requirement.Values, value)
			})
		case selector.NotIn:
			refused[requirement.Key] = append(refused[requirement.Key], requirement.Values...)
		case selector.Present:
			present[requirement.Key] = true
		case selector.Absent:
			absent[requirement.Key] = true
		}
	}
	for _, key := range sortedKeys(present) {
		if absent[key] {
			return fmt.Sprintf("label %s is required and excluded", key)
		}
		values, limited := allowed[key]
		if limited && !slices.ContainsFunc(values, func(value string) bool {
			return !slices.Contains(refused[key], value)
		}) {
			return fmt.Sprintf("no value of label %s meets all requirements", key)
		}
	}
	return ""
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// where warns of a policy that leaves its work no worker.
func (check *check) where(policy *parser.Policy, field string) {
	if reason := contradiction(policy.Where, nil); reason != "" {
		check.warn("WhereMatchesNothing", field+".Where", "policy %q leaves its work no worker: %s", policy.Name, reason)
		return
	}
	where, err := selector.Parse(policy.Where)
	if err != nil || where.Empty() || len(check.facts.Workers) == 0 {
		return
	}
	for _, workers := range check.facts.Workers {
		if where.Matches(workers.Labels) {
			return
		}
	}
	check.warn("WhereMatchesNoWorker", field+".Where", "policy %q leaves its work no worker: none has the labels of %q", policy.Name, policy.Where)
}

// effect warns of a policy without an effect. hidingPolicy is the one that hides it, nil if there is none.
func (check *check) effect(policy, hidingPolicy *parser.Policy, field string) {
	fields := setFields(policy)
	switch {
	case len(fields) == 0:
		check.warn("PolicyWithoutEffect", field, "policy %q sets no field", policy.Name)
	case hidingPolicy != nil:
		check.warn("PolicyHidden", field, "policy %q has no effect: policy %q after it matches the same work and sets the same fields", policy.Name, hidingPolicy.Name)
	case !canMatchRequests(policy.Selector):
		for _, name := range fields {
			if name == "Lane" || name == "Timeout" {
				check.warn("FieldWithoutEffect", field+"."+name, "policy %q matches no request, and %s applies to requests only", policy.Name, name)
			}
		}
	}
}

// findHidingPolicies returns for each policy a later one that matches the same work and sets all its fields, or nil.
// Selectors of the field Where all apply, so that none hides another.
func findHidingPolicies(config parser.Config) []*parser.Policy {
	// later holds the later policies by their selectors, one for each set of fields.
	later := map[string]map[string]*parser.Policy{}
	hidingPolicies := make([]*parser.Policy, len(config.Policies))
	for index := len(config.Policies) - 1; index >= 0; index-- {
		policy := &config.Policies[index]
		fields := setFields(policy)
		for _, matching := range []string{"", policy.Selector} {
			for _, other := range later[matching] {
				hides := !slices.Contains(fields, "Where") && isSubset(fields, setFields(other))
				if hides && (hidingPolicies[index] == nil || other.Name < hidingPolicies[index].Name) {
					hidingPolicies[index] = other
				}
			}
		}
		if later[policy.Selector] == nil {
			later[policy.Selector] = map[string]*parser.Policy{}
		}
		later[policy.Selector][strings.Join(fields, " ")] = policy
	}
	return hidingPolicies
}

func isSubset(names, others []string) bool {
	return !slices.ContainsFunc(names, func(name string) bool {
		return !slices.Contains(others, name)
	})
}

// setFields returns the names of the fields by which a policy changes the effective policy.
func setFields(policy *parser.Policy) []string {
	var fields []string
	add := func(name string, set bool) {
		if set {
			fields = append(fields, name)
		}
	}
	add("Urgency", policy.Urgency != "")
	add("Where", policy.Where != "")
	add("Spread", policy.Spread != "")
	add("Lane", policy.Lane != "")
	add("MaxAttempts", policy.MaxAttempts != 0)
	add("Preemptible", policy.Preemptible != nil)
	add("Hold", policy.Hold != nil)
	add("Timeout", policy.Timeout.Duration != 0)
	return fields
}

// canMatchRequests reports whether a selector leaves the kind of requests.
func canMatchRequests(text string) bool {
	parsed, err := selector.Parse(text)
	return err != nil || parsed.MatchesKnown(descriptor.Labels{kindLabel: "Interactive"}, kindLabel)
}

// quotas warns of quotas that cannot be guaranteed.
func (check *check) quotas(config parser.Config) {
	room := check.facts.room()
	var sum total
	var unreachable [len(componentNames)]bool
	for index, team := range config.Teams {
		sum = sum.add(team.Quota, 1)
		for component, quota := range components(team.Quota) {
			if room[component] > 0 && quota > room[component] {
				unreachable[component] = true
				check.warn("QuotaAboveRoom", fmt.Sprintf("Teams[%d].Quota.%s", index, componentNames[component]), "team %q is guaranteed %s, and all workers have %s",
					team.Name, amount(component, quota), amount(component, room[component]))
			}
		}
	}
	for component := range componentNames {
		if room[component] > 0 && sum[component] > room[component] && !unreachable[component] {
			check.warn("QuotasAboveRoom", "Teams", "all teams together are guaranteed %s, and all workers have %s",
				amount(component, sum[component]), amount(component, room[component]))
		}
	}
}
