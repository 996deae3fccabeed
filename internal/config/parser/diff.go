package parser

import (
	"encoding/json"
	"fmt"
)

// Change is one difference between two configurations.
type Change struct {
	// Item is the kind and name of the changed item, such as Policy lookups-first or Team billing.
	Item string
	// Before and After are the item's JSON documents. An empty one means that the item does not exist in that
	// configuration.
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
}

// Diff returns the differences between two configurations, policies first. If the items are equal but the
// order of the policies is not, the order is reported, since later policies override earlier ones.
func Diff(before, after Config) []Change {
	var changes []Change
	changes = append(changes, diffItems("Policy", policyItems(before), policyItems(after))...)
	changes = append(changes, diffItems("Team", teamItems(before), teamItems(after))...)
	if len(changes) == 0 && !samePolicyOrder(before, after) {
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
			document: encode(policy),
		})
	}
	return items
}

func teamItems(config Config) []item {
	items := make([]item, 0, len(config.Teams))
	for _, team := range config.Teams {
		items = append(items, item{
			name:     team.Name,
			document: encode(team),
		})
	}
	return items
}

func encode(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

func diffItems(kind string, before, after []item) []Change {
	var changes []Change
	oldDocuments := map[string]string{}
	for _, item := range before {
		oldDocuments[item.name] = item.document
	}
	remaining := map[string]bool{}
	for _, item := range after {
		remaining[item.name] = true
		if oldDocuments[item.name] != item.document {
			changes = append(changes, Change{
				Item:   kind + " " + item.name,
				Before: oldDocuments[item.name],
				After:  item.document,
			})
		}
	}
	for _, item := range before {
		if !remaining[item.name] {
			changes = append(changes, Change{
				Item:   kind + " " + item.name,
				Before: item.document,
			})
		}
	}
	return changes
}

func samePolicyOrder(before, after Config) bool {
	return policyOrder(before) == policyOrder(after)
}

func policyOrder(config Config) string {
	names := make([]string, 0, len(config.Policies))
	for _, policy := range config.Policies {
		names = append(names, policy.Name)
	}
	return encode(names)
}
