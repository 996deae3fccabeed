// Package registrar keeps the bindings of idempotency keys to jobs and forms job IDs.
package registrar

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/work/descriptor"
)

const (
	// Retention is how long ended jobs and their keys are kept.
	Retention = 24 * time.Hour
	// ForeignRetention is how long keys of jobs in other shards are kept. The registrar is not told
	// when such a job ends, and a key that is forgotten too early would let the job run again.
	ForeignRetention = 30 * 24 * time.Hour
)

// Binding is a key with its job.
type Binding struct {
	Caller string
	Key    string
	Job    descriptor.JobID
	// Digest is that of the job's description.
	Digest uint64
	At     time.Time
}

type name struct {
	caller string
	key    string
}

// Registrar holds the bindings of one shard. The zero value is empty and ready.
type Registrar struct {
	bindings map[name]Binding
	jobs     map[descriptor.JobID]name
}

// Digest returns a hash of the description, equal for equal descriptions.
func Digest(job *descriptor.Job) uint64 {
	copied := *job
	copied.Deadline = copied.Deadline.UTC()
	// A job of strings, numbers and times can always be encoded.
	text, _ := json.Marshal(copied)
	return xxhash.Sum64(text)
}

// NewJobID returns the ID of a job that shard target is to run. It contains the time, so that the
// target can tell a job that it never accepted from one that it has forgotten.
func NewJobID(target descriptor.ShardID, job *descriptor.Job, at time.Time, nonce uint64) descriptor.JobID {
	hash := xxhash.Sum64String(fmt.Sprintf("%q %q %d %d", job.Caller, job.Key, at.UnixNano(), nonce))
	return descriptor.JobID(fmt.Sprintf("%s.%s-%016x", target, strconv.FormatInt(at.UnixMilli(), 36), hash))
}

// Target returns the shard that runs the job, and false if the ID is malformed.
func Target(id descriptor.JobID) (descriptor.ShardID, bool) {
	at := strings.LastIndexByte(string(id), '.')
	if at <= 0 {
		return "", false
	}
	return descriptor.ShardID(id[:at]), true
}

// BoundAt returns when the ID was formed, and false if the ID is malformed.
func BoundAt(id descriptor.JobID) (time.Time, bool) {
	text := string(id[strings.LastIndexByte(string(id), '.')+1:])
	millis, _, ok := strings.Cut(text, "-")
	if !ok {
		return time.Time{}, false
	}
	number, err := strconv.ParseInt(millis, 36, 64)
	return time.UnixMilli(number), err == nil
}

// Find returns the binding of a caller's key.
func (registrar *Registrar) Find(caller, key string) (Binding, bool) {
	binding, ok := registrar.bindings[name{
		caller: caller,
		key:    key,
	}]
	return binding, ok
}

// Bind adds a binding.
func (registrar *Registrar) Bind(binding Binding) {
	if registrar.bindings == nil {
		registrar.bindings = map[name]Binding{}
		registrar.jobs = map[descriptor.JobID]name{}
	}
	bound := name{
		caller: binding.Caller,
		key:    binding.Key,
	}
	registrar.bindings[bound] = binding
	registrar.jobs[binding.Job] = bound
}

// Forget removes the binding of a job, if there is one.
func (registrar *Registrar) Forget(job descriptor.JobID) {
	bound, ok := registrar.jobs[job]
	if !ok {
		return
	}
	delete(registrar.jobs, job)
	delete(registrar.bindings, bound)
}

// Expired returns the jobs in other shards than own whose keys are past their retention. Keys of own
// jobs are forgotten together with the job.
func (registrar *Registrar) Expired(own descriptor.ShardID, now time.Time) []descriptor.JobID {
	var expired []descriptor.JobID
	for job, bound := range registrar.jobs {
		target, _ := Target(job)
		if target != own && now.Sub(registrar.bindings[bound].At) > ForeignRetention {
			expired = append(expired, job)
		}
	}
	slices.Sort(expired)
	return expired
}

// Records returns records that rebuild the bindings, the oldest first, so that most of a snapshot is the
// same as in the one before.
func (registrar *Registrar) Records() []*recordpb.Record {
	bindings := slices.SortedFunc(maps.Values(registrar.bindings), func(one, other Binding) int {
		return cmp.Or(one.At.Compare(other.At), cmp.Compare(one.Job, other.Job))
	})
	records := make([]*recordpb.Record, 0, len(bindings))
	for _, binding := range bindings {
		records = append(records, binding.Record())
	}
	return records
}

// Record returns the binding's record.
func (binding Binding) Record() *recordpb.Record {
	return &recordpb.Record{
		Change: &recordpb.Record_KeyBound{
			KeyBound: &recordpb.KeyBound{
				Caller:       binding.Caller,
				Key:          binding.Key,
				Job:          string(binding.Job),
				Digest:       binding.Digest,
				AtUnixMillis: binding.At.UnixMilli(),
			},
		},
	}
}

// FromRecord returns the binding of a record.
func FromRecord(bound *recordpb.KeyBound) Binding {
	return Binding{
		Caller: bound.Caller,
		Key:    bound.Key,
		Job:    descriptor.JobID(bound.Job),
		Digest: bound.Digest,
		At:     time.UnixMilli(bound.AtUnixMillis),
	}
}
