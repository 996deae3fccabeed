// Package parser defines the operators' configuration, validates it and evaluates its policies.
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

// MaxDocumentBytes is the maximum size of a configuration document in bytes. It is below the store's limit on the
// size of a value.
const MaxDocumentBytes = 512 << 10

// Lane separates short requests from long ones. Entry instances queue the lanes separately and limit the
// runners' slots that long requests may occupy.
type Lane string

// The lanes.
const (
	LaneShort Lane = "Short"
	LaneLong  Lane = "Long"
)

// Spread is the failure domain over which the tasks of a job are distributed.
type Spread string

// The values of Spread. The empty value sets no spread.
const (
	SpreadRack   Spread = "Rack"
	SpreadWorker Spread = "Worker"
)

// Config is the operators' configuration. The zero value is valid and has no policies or teams.
type Config struct {
	// Policies are applied in order. A later policy overrides the fields that an earlier one set.
	Policies []Policy `json:",omitempty"`
	Teams    []Team   `json:",omitempty"`
}

// Policy changes the effective policy of the jobs and requests that its selector matches. The selector is
// evaluated over their labels and over Kind, Urgency, Team, Caller and, for requests, Service. Unset fields
// leave the effective policy unchanged.
type Policy struct {
	Name     string
	Selector string
	// Urgency replaces the urgency class.
	Urgency descriptor.Urgency `json:",omitempty"`
	// Where is a selector over worker labels, which applies in addition to the job's own selector.
	Where string `json:",omitempty"`
	// Spread applies to jobs with several tasks.
	Spread Spread `json:",omitempty"`
	// Lane applies to requests.
	Lane Lane `json:",omitempty"`
	// MaxAttempts bounds the runs of one task or request; 1 means no retry.
	MaxAttempts int `json:",omitempty"`
	// Preemptible allows checkpointable work to be preempted.
	Preemptible *bool `json:",omitempty"`
	// Hold keeps matched jobs in the queue.
	Hold *bool `json:",omitempty"`
	// Timeout is the time limit of a request without a deadline.
	Timeout descriptor.Duration `json:",omitzero"`
}

// Team is a group to which resource use is charged.
type Team struct {
	Name string
	// Quota is the amount of resources that the team is guaranteed in the whole cell.
	Quota descriptor.Resources
}

// EffectivePolicy is what all matching policies together decide for one job or request.
type EffectivePolicy struct {
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

// Defaults of an EffectivePolicy.
const (
	DefaultMaxAttempts = 3
	DefaultTimeout     = 5 * time.Second
)

// Compiled is a validated configuration with parsed selectors. The zero value has no policies or teams.
type Compiled struct {
	// Revision increases by one with each configuration that is applied; 0 means that none was ever applied.
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

// Parse decodes and validates a configuration document. It rejects unknown fields, and its error joins all
// violations that validation finds.
func Parse(document []byte) (Config, error) {
	var config Config
	if len(document) > MaxDocumentBytes {
		return config, &descriptor.FieldError{
			Field:  "(document)",
			Reason: fmt.Sprintf("is larger than %d bytes", MaxDocumentBytes),
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
			Reason: "has data after the end of the JSON value",
		}
	}
	_, err := Compile(0, config)
	return config, err
}

// Compile validates config and parses its selectors. Its error joins all violations.
func Compile(revision uint64, config Config) (*Compiled, error) {
	compiled := &Compiled{
		Revision: revision,
		Config:   config,
		teams:    map[string]Team{},
	}
	var errs []error
	names := map[string]bool{}
	for i, policy := range config.Policies {
		path := fmt.Sprintf("Policies[%d]", i)
		result, policyErrs := compilePolicy(path, policy)
		errs = append(errs, policyErrs...)
		if names[policy.Name] {
			errs = append(errs, fieldError(path+".Name", "is used twice"))
		}
		names[policy.Name] = true
		compiled.policies = append(compiled.policies, result)
	}
	for i, team := range config.Teams {
		path := fmt.Sprintf("Teams[%d]", i)
		if team.Name == "" {
			errs = append(errs, fieldError(path+".Name", "is missing"))
		}
		if _, ok := compiled.teams[team.Name]; ok {
			errs = append(errs, fieldError(path+".Name", "is used twice"))
		}
		if team.Quota.Negative() {
			errs = append(errs, fieldError(path+".Quota", "has a negative amount"))
		}
		compiled.teams[team.Name] = team
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
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
	var errs []error
	compiled := compiledPolicy{
		Policy: policy,
	}
	var err error
	if policy.Name == "" {
		errs = append(errs, fieldError(path+".Name", "is missing"))
	}
	if compiled.selector, err = selector.Parse(policy.Selector); err != nil {
		errs = append(errs, fieldError(path+".Selector", err.Error()))
	}
	if compiled.where, err = selector.Parse(policy.Where); err != nil {
		errs = append(errs, fieldError(path+".Where", err.Error()))
	}
	switch policy.Urgency {
	case "", descriptor.UrgencyHigh, descriptor.UrgencyNormal, descriptor.UrgencyLow:
	default:
		errs = append(errs, fieldError(path+".Urgency", "is none of High, Normal, Low"))
	}
	switch policy.Spread {
	case "", SpreadRack, SpreadWorker:
	default:
		errs = append(errs, fieldError(path+".Spread", "is none of Rack, Worker"))
	}
	switch policy.Lane {
	case "", LaneShort, LaneLong:
	default:
		errs = append(errs, fieldError(path+".Lane", "is none of Short, Long"))
	}
	if policy.MaxAttempts < 0 {
		errs = append(errs, fieldError(path+".MaxAttempts", "is negative"))
	}
	if policy.Timeout.Duration < 0 {
		errs = append(errs, fieldError(path+".Timeout", "is negative"))
	}
	return compiled, errs
}

// Team returns the team with the given name and whether it is configured.
func (compiled *Compiled) Team(name string) (Team, bool) {
	team, ok := compiled.teams[name]
	return team, ok
}

// EffectiveJobPolicy evaluates the policies for job.
func (compiled *Compiled) EffectiveJobPolicy(job *descriptor.Job) EffectivePolicy {
	labels := mergeLabels(job.Labels, descriptor.Labels{
		"Kind":    string(job.Kind),
		"Urgency": string(job.Urgency),
		"Team":    job.Team,
		"Caller":  job.Caller,
	})
	effectivePolicy := compiled.effectivePolicy(labels)
	if effectivePolicy.Urgency == "" {
		effectivePolicy.Urgency = job.Urgency
	}
	return effectivePolicy
}

// EffectiveRequestPolicy evaluates the policies for a request with the given labels, which must contain Service
// and Caller.
func (compiled *Compiled) EffectiveRequestPolicy(labels descriptor.Labels) EffectivePolicy {
	effectivePolicy := compiled.effectivePolicy(mergeLabels(labels, descriptor.Labels{
		"Kind": "Interactive",
	}))
	if effectivePolicy.Urgency == "" {
		effectivePolicy.Urgency = descriptor.Urgency(labels["Urgency"])
	}
	return effectivePolicy
}

func mergeLabels(labels, attributes descriptor.Labels) descriptor.Labels {
	merged := make(descriptor.Labels, len(labels)+len(attributes))
	for key, value := range labels {
		merged[key] = value
	}
	for key, value := range attributes {
		if value != "" {
			merged[key] = value
		}
	}
	return merged
}

func (compiled *Compiled) effectivePolicy(labels descriptor.Labels) EffectivePolicy {
	effectivePolicy := EffectivePolicy{
		Lane:        LaneShort,
		MaxAttempts: DefaultMaxAttempts,
		Preemptible: true,
		Timeout:     DefaultTimeout,
	}
	for i := range compiled.policies {
		policy := &compiled.policies[i]
		if policy.selector.Matches(labels) {
			effectivePolicy.apply(policy)
		}
	}
	return effectivePolicy
}

func (effectivePolicy *EffectivePolicy) apply(policy *compiledPolicy) {
	effectivePolicy.Policies = append(effectivePolicy.Policies, policy.Name)
	if policy.Urgency != "" {
		effectivePolicy.Urgency = policy.Urgency
	}
	if !policy.where.Empty() {
		effectivePolicy.Where = append(effectivePolicy.Where, policy.where)
	}
	if policy.Spread != "" {
		effectivePolicy.Spread = policy.Spread
	}
	if policy.Lane != "" {
		effectivePolicy.Lane = policy.Lane
	}
	if policy.MaxAttempts != 0 {
		effectivePolicy.MaxAttempts = policy.MaxAttempts
	}
	if policy.Preemptible != nil {
		effectivePolicy.Preemptible = *policy.Preemptible
	}
	if policy.Hold != nil {
		effectivePolicy.Hold = *policy.Hold
	}
	if policy.Timeout.Duration != 0 {
		effectivePolicy.Timeout = policy.Timeout.Duration
	}
}
