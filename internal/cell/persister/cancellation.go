package persister

import "encoding/json"

// Cancellation is the value of a key under CancelPrefix.
type Cancellation struct {
	// Unsubmitted means that there was no such job. While the cancellation or the record that takes its place is in the
	// store, no job is submitted under the ID.
	Unsubmitted bool `json:",omitempty"`
	// Organisation is that of the caller; empty if its call needed no key. It is set for unsubmitted jobs only.
	Organisation string `json:",omitempty"`
}

// ParseCancellation decodes a cancellation. Any other value cancels the job that is in the store under the ID, since
// earlier versions did not read the value.
func ParseCancellation(value []byte) Cancellation {
	var cancellation Cancellation
	if json.Unmarshal(value, &cancellation) != nil {
		return Cancellation{}
	}
	return cancellation
}
