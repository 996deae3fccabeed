// Package presenter defines the documents and headers of the public API and the meaning of its codes. Servers and
// clients share it.
package presenter

import (
	"net/netip"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/work/descriptor"
)

// Headers of the public API.
const (
	// HeaderCaller is the name of the caller of a request.
	HeaderCaller = "Pomelomoor-Caller"
	// HeaderTimeout is how long the caller waits, counted from the arrival of the request, such as 800ms.
	HeaderTimeout = "Pomelomoor-Timeout"
	// HeaderDeadline is the RFC 3339 time at which the caller stops waiting. If HeaderTimeout is also present,
	// the earlier time applies.
	HeaderDeadline = "Pomelomoor-Deadline"
	// HeaderIdempotent is true if the request may run more than once.
	HeaderIdempotent = "Pomelomoor-Idempotent"
	// HeaderLabels contains labels as KEY=VALUE pairs separated by commas. The header may be repeated.
	HeaderLabels = "Pomelomoor-Labels"
	// HeaderRequest is a response header with the ID of the request.
	HeaderRequest = "Pomelomoor-Request"
	// HeaderFate is a response header with the fate of the request.
	HeaderFate = "Pomelomoor-Fate"
	// HeaderCode is a response header with the code of a Problem. Responses of upstreams do not have it.
	HeaderCode = "Pomelomoor-Code"
	// HeaderTrace is a response header with the trace ID of the call, for use with /v1/traces.
	HeaderTrace = "Pomelomoor-Trace"
)

// Request is one interactive request.
type Request struct {
	// ID is assigned by the entry instance that received the call.
	ID      string
	Service string
	Caller  string
	// Deadline is zero if the caller set none. The timeout of the policies applies then.
	Deadline   time.Time
	Idempotent bool
	Labels     descriptor.Labels
	// Body is valid until the call returns.
	Body []byte
}

// Response is the complete response of an upstream.
type Response struct {
	// Status is the HTTP status sent by the upstream.
	Status int
	Body   []byte
	// Fate is Done, or Failed if the response reports a failure.
	Fate descriptor.Fate
}

// ConfigDocument is a configuration and its revision. Revision 0 means that none was ever applied.
type ConfigDocument struct {
	Revision uint64
	Document parser.Config
}

// Change is one difference between two configurations.
type Change struct {
	// Path names the field, such as Policies[assay].Urgency.
	Path string
	// From and To are JSON values. From is empty if the value was added, To if it was removed.
	From string `json:",omitempty"`
	To   string `json:",omitempty"`
}

// ConfigDiff lists the changes that applying a document would make.
type ConfigDiff struct {
	// Revision is the revision of the configuration in force, with which the document was compared.
	Revision uint64
	Changes  []Change
}

// ApplyResult is the result of applying a configuration.
type ApplyResult struct {
	Revision uint64
	// Waiting lists the instances that had not confirmed the revision when the wait ended.
	Waiting []string `json:",omitempty"`
}

// Conflict is the error of an apply whose base revision is not the current one. It contains the current and the
// proposed configuration.
type Conflict struct {
	descriptor.Problem
	Base     uint64
	Current  ConfigDocument
	Proposed parser.Config
	// Changes are the differences from Current to Proposed.
	Changes []Change
}

// Instance describes an entry instance from the view of the instance that responds.
type Instance struct {
	ID      string
	Region  string
	Site    string
	Address netip.AddrPort
	// State is Live, Suspected or Leaving.
	State string
	// Self is true for the instance that responds.
	Self           bool `json:",omitempty"`
	ConfigRevision uint64
	StoreReachable bool
	// Heard is when the instance's member record was last received.
	Heard  time.Time
	Shards []Shard `json:",omitempty"`
	// FreeSlots is the number of free runner slots by service.
	FreeSlots map[string]int `json:",omitempty"`
}

// Shard describes a shard as last reported by its owner.
type Shard struct {
	ID       descriptor.ShardID
	Epoch    uint64
	Capacity descriptor.Resources
	Free     descriptor.Resources
	Waiting  descriptor.Resources
}

// InstancesDocument is the response of /v1/instances.
type InstancesDocument struct {
	Instances []Instance
}

// StateDocument is the response of /v1/ready, /v1/live and /v1/drain.
type StateDocument struct {
	// State is Ready, Live or Draining.
	State string
}

// Unwrap lets errors.As find the Problem of a Conflict.
func (conflict *Conflict) Unwrap() error {
	return &conflict.Problem
}
