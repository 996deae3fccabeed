// Package parser holds the operators' configuration: its types, validation and policy lookup.
package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// MaxDocument is the largest configuration in bytes. It is below the store's limit on a value.
const MaxDocument = 512 << 10

// Lane separates short requests from long ones at the entry instances.
type Lane string

// The lanes.
const (
	LaneShort Lane = "Short"
	LaneLong  Lane = "Long"
)

// Spread tells over what the tasks of a job are distributed.
type Spread string

// The kinds of spread. Empty means none.
const (
	SpreadRack   Spread = "Rack"
	SpreadWorker Spread = "Worker"
)

// Config is the operators' configuration. The zero value is valid and sets nothing.
type Config struct {
	// Policies are applied in order; a later one overrides what an earlier one set.
	Policies []Policy `json:",omitempty"`
	Teams    []Team   `json:",omitempty"`
}

// Policy changes the treatment of the work that its selector matches.
// Jobs and requests are matched by their labels and by Kind, Urgency, Team, Caller and, for
// requests, Service. Unset fields leave the treatment as it is.
type Policy struct {
	Name     string
	Selector string
	// Urgency replaces the urgency class.
	Urgency descriptor.Urgency `json:",omitempty"`
	// Where is a selector over worker labels, required in addition to the job's own.
	Where string `json:",omitempty"`
	// Spread applies to jobs with several tasks.
	Spread Spread `json:",omitempty"`
	// Lane applies to requests.
	Lane Lane `json:",omitempty"`
	// MaxAttempts bounds the runs of one task or request, 1 meaning no retry.
	MaxAttempts int `json:",omitempty"`
	// Preemptible allows checkpointable work to be displaced.
	Preemptible *bool `json:",omitempty"`
	// Hold keeps matched jobs waiting.
	Hold *bool `json:",omitempty"`
	// Timeout bounds a request that carries no deadline.
	Timeout descriptor.Duration `json:",omitzero"`
}

// Team is a group that is charged for resources.
type Team struct {
	Name string
	// Quota is the team's guaranteed amount over the whole cell.
	Quota descriptor.Resources
}

// Treatment is what the policies make of one piece of work.
type Treatment struct {
	Urgency     descriptor.Urgency
	Where       []selector.Selector
	Spread      Spread
	Lane        Lane
	MaxAttempts int
	Preemptible bool
	Hold        bool
	Timeout     time.Duration
	// Policies names the policies that matched, in order.
	Policies []string
}

// Defaults of a Treatment.
const (
	DefaultMaxAttempts = 3
	DefaultTimeout     = 5 * time.Second
)

// Compiled is a checked configuration, ready for lookups. The zero value sets nothing.
type Compiled struct {
	// Revision is the store's order of configurations; 0 means that none was ever applied.
	Revision uint64
	Config   Config

	policies []compiledPolicy
	teams    map[string]Team
}

type compiledPolicy struct {
	Policy
	selector selector.Selector
	where    selector.Selector
}

// Parse reads a configuration document strictly and returns all its faults at once.
func Parse(document []byte) (Config, error) {
	var config Config
	if len(document) > MaxDocument {
		return config, &descriptor.FieldError{
			Field:  "(document)",
			Reason: fmt.Sprintf("is larger than %d bytes", MaxDocument),
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&config); err != nil {
		return Config{}, &descriptor.FieldError{
			Field:  "(document)",
			Reason: err.Error(),
		}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Config{}, &descriptor.FieldError{
			Field:  "(document)",
			Reason: "has text after its end",
		}
	}
	_, err := Compile(0, config)
	return config, err
}

// Compile checks config and prepares it for lookups.
func Compile(revision uint64, config Config) (*Compiled, error) {
	compiled := &Compiled{
		Revision: revision,
		Config:   config,
		teams:    map[string]Team{},
	}
	var faults []error
	names := map[string]bool{}
	for i, policy := range config.Policies {
		path := fmt.Sprintf("Policies[%d]", i)
		entry, errs := compilePolicy(path, policy)
		faults = append(faults, errs...)
		if names[policy.Name] {
			faults = append(faults, fieldError(path+".Name", "is used twice"))
		}
		names[policy.Name] = true
		compiled.policies = append(compiled.policies, entry)
	}
	for i, team := range config.Teams {
		path := fmt.Sprintf("Teams[%d]", i)
		if team.Name == "" {
			faults = append(faults, fieldError(path+".Name", "is missing"))
		}
		if _, ok := compiled.teams[team.Name]; ok {
			faults = append(faults, fieldError(path+".Name", "is used twice"))
		}
		if team.Quota.Negative() {
			faults = append(faults, fieldError(path+".Quota", "has a negative amount"))
		}
		compiled.teams[team.Name] = team
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return compiled, nil
}

func fieldError(field, reason string) error {
	return &descriptor.FieldError{
		Field:  field,
		Reason: reason,
	}
}

func compilePolicy(path string, policy Policy) (compiledPolicy, []error) {
	var faults []error
	entry := compiledPolicy{
		Policy: policy,
	}
	var err error
	if policy.Name == "" {
		faults = append(faults, fieldError(path+".Name", "is missing"))
	}
	if entry.selector, err = selector.Parse(policy.Selector); err != nil {
		faults = append(faults, fieldError(path+".Selector", err.Error()))
	}
	if entry.where, err = selector.Parse(policy.Where); err != nil {
		faults = append(faults, fieldError(path+".Where", err.Error()))
	}
	switch policy.Urgency {
	case "", descriptor.UrgencyHigh, descriptor.UrgencyNormal, descriptor.UrgencyLow:
	default:
		faults = append(faults, fieldError(path+".Urgency", "is none of High, Normal, Low"))
	}
	switch policy.Spread {
	case "", SpreadRack, SpreadWorker:
	default:
		faults = append(faults, fieldError(path+".Spread", "is none of Rack, Worker"))
	}
	switch policy.Lane {
	case "", LaneShort, LaneLong:
	default:
		faults = append(faults, fieldError(path+".Lane", "is none of Short, Long"))
	}
	if policy.MaxAttempts < 0 {
		faults = append(faults, fieldError(path+".MaxAttempts", "is negative"))
	}
	if policy.Timeout.Duration < 0 {
		faults = append(faults, fieldError(path+".Timeout", "is negative"))
	}
	return entry, faults
}

// Team returns the team of that name and whether it is configured.
func (compiled *Compiled) Team(name string) (Team, bool) {
	team, ok := compiled.teams[name]
	return team, ok
}

// JobTreatment returns what the policies make of job.
func (compiled *Compiled) JobTreatment(job *descriptor.Job) Treatment {
	labels := merge(job.Labels, descriptor.Labels{
		"Kind":    string(job.Kind),
		"Urgency": string(job.Urgency),
		"Team":    job.Team,
		"Caller":  job.Caller,
	})
	treatment := compiled.treatment(labels)
	if treatment.Urgency == "" {
		treatment.Urgency = job.Urgency
	}
	return treatment
}

// RequestTreatment returns what the policies make of a request with these labels.
// Labels must contain Service and Caller.
func (compiled *Compiled) RequestTreatment(labels descriptor.Labels) Treatment {
	treatment := compiled.treatment(merge(labels, descriptor.Labels{
		"Kind": "Interactive",
	}))
	if treatment.Urgency == "" {
		treatment.Urgency = descriptor.Urgency(labels["Urgency"])
	}
	return treatment
}

func merge(labels, fixed descriptor.Labels) descriptor.Labels {
	merged := make(descriptor.Labels, len(labels)+len(fixed))
	for key, value := range labels {
		merged[key] = value
	}
	for key, value := range fixed {
		if value != "" {
			merged[key] = value
		}
	}
	return merged
}

func (compiled *Compiled) treatment(labels descriptor.Labels) Treatment {
	treatment := Treatment{
		Lane:        LaneShort,
		MaxAttempts: DefaultMaxAttempts,
		Preemptible: true,
		Timeout:     DefaultTimeout,
	}
	for i := range compiled.policies {
		policy := &compiled.policies[i]
		if policy.selector.Matches(labels) {
			treatment.apply(policy)
		}
	}
	return treatment
}

func (treatment *Treatment) apply(policy *compiledPolicy) {
	treatment.Policies = append(treatment.Policies, policy.Name)
	if policy.Urgency != "" {
		treatment.Urgency = policy.Urgency
	}
	if !policy.where.Empty() {
		treatment.Where = append(treatment.Where, policy.where)
	}
	if policy.Spread != "" {
		treatment.Spread = policy.Spread
	}
	if policy.Lane != "" {
		treatment.Lane = policy.Lane
	}
	if policy.MaxAttempts != 0 {
		treatment.MaxAttempts = policy.MaxAttempts
	}
	if policy.Preemptible != nil {
		treatment.Preemptible = *policy.Preemptible
	}
	if policy.Hold != nil {
		treatment.Hold = *policy.Hold
	}
	if policy.Timeout.Duration != 0 {
		treatment.Timeout = policy.Timeout.Duration
	}
}
