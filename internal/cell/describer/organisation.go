package describer

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-faster/errors"

	"pomelomoor/internal/work/descriptor"
)

// ErrUnknownKey means that a call needs a key of an organisation and carries none that the configuration holds.
var ErrUnknownKey = errors.New("call has no valid key")

// ErrOtherJob means that the ID of a submission belongs to a job of another organisation.
var ErrOtherJob = errors.New("ID belongs to another job")

// KeyDigest is the SHA-256 digest of a key. Keys themselves are not kept, so that none can reach a log, a record or
// another instance.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// shownDigestBytes is the length of the part of a digest that is shown.
const shownDigestBytes = 6

// String returns the beginning of the digest in hexadecimal digits, enough to tell the keys of a configuration apart.
func (keyDigest KeyDigest) String() string {
	return hex.EncodeToString(keyDigest[:shownDigestBytes])
}

// Organisation is a customer whose callers share keys, a share of the cell and a cap.
type Organisation struct {
	Name string
	// Weight is the organisation's share when all is full, relative to those of the others, and the jobs a second that it
	// is entitled to. With 0 it gets only what the others leave.
	Weight float64
	// Cap limits what the organisation has running on all workers together. A component of 0 is no limit.
	Cap descriptor.Resources
}

// JobStatus is the state of a job and the organisation that it belongs to; the state is JobUnknown if there is no such
// job.
type JobStatus struct {
	State        JobState
	Organisation string
}

// Call tells where a call goes and who makes it.
type Call struct {
	// Host and Path are the host name and the path of the call.
	Host string
	Path string
	// Key is the digest of the call's key if HasKey is set.
	Key    KeyDigest
	HasKey bool
}

// Organisation returns the organisation with the given name, or nil.
func (config *Config) Organisation(name string) *Organisation {
	if config == nil {
		return nil
	}
	for index := range config.Organisations {
		if config.Organisations[index].Name == name {
			return &config.Organisations[index]
		}
	}
	return nil
}

// Identify returns the name of the organisation that makes a call to queue; it is empty where no key is needed. It
// returns ErrUnknownKey if the call needs a key and has none that is known. The time of the lookup does not depend on
// the keys.
func (config *Config) Identify(queue *Queue, call Call) (organisation string, err error) {
	if !config.KeysRequired || queue.Public {
		return "", nil
	}
	organisation, known := config.Keys[call.Key]
	if !call.HasKey || !known {
		return "", ErrUnknownKey
	}
	return organisation, nil
}
