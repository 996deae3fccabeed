// Package presenter holds the documents, headers and codes of the public API, which the server
// and its clients share.
package presenter

import (
	"net/netip"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/work/descriptor"
)

// Headers of the public API.
const (
	// HeaderCaller names the caller of a request.
	HeaderCaller = "Pomelomoor-Caller"
	// HeaderTimeout is how long the caller waits from now, such as 800ms.
	HeaderTimeout = "Pomelomoor-Timeout"
	// HeaderDeadline is when the caller stops waiting, as RFC 3339. The earlier of both counts.
	HeaderDeadline = "Pomelomoor-Deadline"
	// HeaderIdempotent is true when a request may run more than once.
	HeaderIdempotent = "Pomelomoor-Idempotent"
	// HeaderLabels holds labels as KEY=VALUE, separated by commas. It may be repeated.
	HeaderLabels = "Pomelomoor-Labels"
	// HeaderRequest is the ID of the request, in its answer.
	HeaderRequest = "Pomelomoor-Request"
	// HeaderFate is the fate of the request, in its answer.
	HeaderFate = "Pomelomoor-Fate"
	// HeaderCode is the code of a Problem. It tells problems from answers of upstreams.
	HeaderCode = "Pomelomoor-Code"
	// HeaderTrace is the trace of the call, for /v1/traces.
	HeaderTrace = "Pomelomoor-Trace"
)

// Request is one interactive request.
type Request struct {
	// ID is made by the entry instance that took the call.
	ID      string
	Service string
	Caller  string
	// Deadline is zero when the caller gave none; then policy decides.
	Deadline   time.Time
	Idempotent bool
	Labels     descriptor.Labels
	// Body is valid until the call returns.
	Body []byte
}

// Response is the complete answer of an upstream.
type Response struct {
	// Status is the upstream's HTTP status.
	Status int
	Body   []byte
	// Fate is Done, or Failed for an answer that reports a failure.
	Fate descriptor.Fate
}

// ConfigDocument is a configuration with its revision. Revision 0 means that none was ever applied.
type ConfigDocument struct {
	Revision uint64
	Document parser.Config
}

// Change is one difference between two configurations.
type Change struct {
	// Path names the field, such as Policies[assay].Urgency.
	Path string
	// From and To are JSON. From is empty for an added value and To for a removed one.
	From string `json:",omitempty"`
	To   string `json:",omitempty"`
}

// Difference tells what a document would change.
type Difference struct {
	// Revision is that of the configuration in force, to which the document was compared.
	Revision uint64
	Changes  []Change
}

// Applied is the result of an apply.
type Applied struct {
	Revision uint64
	// Waiting names the instances that had not confirmed the revision when the wait ended.
	Waiting []string `json:",omitempty"`
}

// Conflict is the error of an apply that was based on an older revision. It shows both sides.
type Conflict struct {
	descriptor.Problem
	Base     uint64
	Current  ConfigDocument
	Proposed parser.Config
	// Changes lead from Current to Proposed.
	Changes []Change
}

// Instance describes an entry instance as the answering one sees it.
type Instance struct {
	ID      string
	Region  string
	Site    string
	Address netip.AddrPort
	// State is Live, Suspected or Leaving.
	State string
	// Self marks the instance that answers.
	Self           bool `json:",omitempty"`
	ConfigRevision uint64
	StoreReachable bool
	// Heard is when the instance's state was last heard.
	Heard  time.Time
	Shards []Shard `json:",omitempty"`
	// FreeSlots counts free slots of runners by service.
	FreeSlots map[string]int `json:",omitempty"`
}

// Shard describes a shard as its owner told it.
type Shard struct {
	ID       descriptor.ShardID
	Epoch    uint64
	Capacity descriptor.Resources
	Free     descriptor.Resources
	Waiting  descriptor.Resources
}

// InstancesDocument is the answer of /v1/instances.
type InstancesDocument struct {
	Instances []Instance
}

// StateDocument is the answer of /v1/ready, /v1/live and /v1/drain.
type StateDocument struct {
	// State is Ready, Live or Draining.
	State string
}

// Unwrap lets errors.As find the Problem of a Conflict.
func (conflict *Conflict) Unwrap() error {
	return &conflict.Problem
}
