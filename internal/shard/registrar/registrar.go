// Package registrar maps idempotency keys to jobs and generates job IDs.
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
	// OtherShardKeyRetention is how long the keys of jobs in other shards are kept. The registrar isn't
	// notified when such a job ends, and removing its key too early would let a retried submission run
	// the job again.
	OtherShardKeyRetention = 30 * 24 * time.Hour
)

// Binding assigns an idempotency key of a caller to a job.
type Binding struct {
	Caller string
	Key    string
	Job    descriptor.JobID
	// Digest is the hash of the job's description. It detects another description under the same key.
	Digest uint64
	At     time.Time
}

// callerKey identifies a binding; each caller has its own key space.
type callerKey struct {
	caller string
	key    string
}

// Registrar holds the bindings of one shard. The zero value is empty and ready.
type Registrar struct {
	bindings  map[callerKey]Binding
	keysByJob map[descriptor.JobID]callerKey
}

// Digest returns a hash of the job's description. Deadlines in different time zones that denote the same
// instant give the same hash.
func Digest(job *descriptor.Job) uint64 {
	normalized := *job
	normalized.Deadline = normalized.Deadline.UTC()
	// Marshalling can't fail: a job consists of strings, numbers and times only.
	encoded, _ := json.Marshal(normalized)
	return xxhash.Sum64(encoded)
}

// NewJobID returns a new ID for a job that the target shard will run. The ID contains the creation time,
// so that the target can distinguish a job that it never accepted from one past its retention.
func NewJobID(target descriptor.ShardID, job *descriptor.Job, at time.Time, nonce uint64) descriptor.JobID {
	hash := xxhash.Sum64String(fmt.Sprintf("%q %q %d %d", job.Caller, job.Key, at.UnixNano(), nonce))
	return descriptor.JobID(fmt.Sprintf("%s.%s-%016x", target, strconv.FormatInt(at.UnixMilli(), 36), hash))
}

// Target returns the shard that runs the job. It returns false if the ID is malformed.
func Target(id descriptor.JobID) (descriptor.ShardID, bool) {
	separator := strings.LastIndexByte(string(id), '.')
	if separator <= 0 {
		return "", false
	}
	return descriptor.ShardID(id[:separator]), true
}

// CreatedAt returns the time at which the ID was generated. It returns false if the ID is malformed.
func CreatedAt(id descriptor.JobID) (time.Time, bool) {
	suffix := string(id[strings.LastIndexByte(string(id), '.')+1:])
	encodedMillis, _, ok := strings.Cut(suffix, "-")
	if !ok {
		return time.Time{}, false
	}
	unixMillis, err := strconv.ParseInt(encodedMillis, 36, 64)
	return time.UnixMilli(unixMillis), err == nil
}

// Find returns the binding of a caller's key.
func (registrar *Registrar) Find(caller, key string) (Binding, bool) {
	binding, ok := registrar.bindings[callerKey{
		caller: caller,
		key:    key,
	}]
	return binding, ok
}

// Bind adds a binding. Its key must not be bound to another job.
func (registrar *Registrar) Bind(binding Binding) {
	if registrar.bindings == nil {
		registrar.bindings = map[callerKey]Binding{}
		registrar.keysByJob = map[descriptor.JobID]callerKey{}
	}
	boundKey := callerKey{
		caller: binding.Caller,
		key:    binding.Key,
	}
	registrar.bindings[boundKey] = binding
	registrar.keysByJob[binding.Job] = boundKey
}

// Forget removes the binding of a job, if any.
func (registrar *Registrar) Forget(job descriptor.JobID) {
	boundKey, ok := registrar.keysByJob[job]
	if !ok {
		return
	}
	delete(registrar.keysByJob, job)
	delete(registrar.bindings, boundKey)
}

// Expired returns the jobs of other shards whose keys are past OtherShardKeyRetention. Keys of the
// shard's own jobs are removed together with the job.
func (registrar *Registrar) Expired(own descriptor.ShardID, now time.Time) []descriptor.JobID {
	var expired []descriptor.JobID
	for job, boundKey := range registrar.keysByJob {
		target, _ := Target(job)
		if target != own && now.Sub(registrar.bindings[boundKey].At) > OtherShardKeyRetention {
			expired = append(expired, job)
		}
	}
	slices.Sort(expired)
	return expired
}

// Records returns the records from which the bindings can be rebuilt, oldest first. New bindings come
// last, so most of a snapshot is identical to the previous one.
func (registrar *Registrar) Records() []*recordpb.Record {
	bindings := slices.SortedFunc(maps.Values(registrar.bindings), func(a, b Binding) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Job, b.Job))
	})
	records := make([]*recordpb.Record, 0, len(bindings))
	for _, binding := range bindings {
		records = append(records, binding.Record())
	}
	return records
}

// Record encodes the binding as a journal record.
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

// FromRecord decodes a binding from a journal record.
func FromRecord(record *recordpb.KeyBound) Binding {
	return Binding{
		Caller: record.Caller,
		Key:    record.Key,
		Job:    descriptor.JobID(record.Job),
		Digest: record.Digest,
		At:     time.UnixMilli(record.AtUnixMillis),
	}
}
