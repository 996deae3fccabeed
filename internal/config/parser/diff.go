package parser

import (
	"encoding/json"
	"fmt"
)

// Change is one difference between two configurations.
type Change struct {
	// Item names what differs, such as Policy lookups-first or Team billing.
	Item string
	// Before and After are the item's documents; empty means that it does not exist on that side.
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
}

// Diff returns the differences between two configurations, policies first.
// A change of the order of policies is a difference, since later ones override earlier ones.
func Diff(before, after Config) []Change {
	var changes []Change
	changes = append(changes, diffItems("Policy", policyItems(before), policyItems(after))...)
	changes = append(changes, diffItems("Team", teamItems(before), teamItems(after))...)
	if len(changes) == 0 && !sameOrder(before, after) {
		changes = append(changes, Change{
			Item:   "Order of policies",
			Before: policyOrder(before),
			After:  policyOrder(after),
		})
	}
	return changes
}

type item struct {
	name     string
	document string
}

func policyItems(config Config) []item {
	items := make([]item, 0, len(config.Policies))
	for _, policy := range config.Policies {
		items = append(items, item{
			name:     policy.Name,
			document: document(policy),
		})
	}
	return items
}

func teamItems(config Config) []item {
	items := make([]item, 0, len(config.Teams))
	for _, team := range config.Teams {
		items = append(items, item{
			name:     team.Name,
			document: document(team),
		})
	}
	return items
}

func document(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

func diffItems(kind string, before, after []item) []Change {
	var changes []Change
	old := map[string]string{}
	for _, item := range before {
		old[item.name] = item.document
	}
	kept := map[string]bool{}
	for _, item := range after {
		kept[item.name] = true
		if old[item.name] != item.document {
			changes = append(changes, Change{
				Item:   kind + " " + item.name,
				Before: old[item.name],
				After:  item.document,
			})
		}
	}
	for _, item := range before {
		if !kept[item.name] {
			changes = append(changes, Change{
				Item:   kind + " " + item.name,
				Before: item.document,
			})
		}
	}
	return changes
}

func sameOrder(before, after Config) bool {
	return policyOrder(before) == policyOrder(after)
}

func policyOrder(config Config) string {
	names := make([]string, 0, len(config.Policies))
	for _, policy := range config.Policies {
		names = append(names, policy.Name)
	}
	return document(names)
}
