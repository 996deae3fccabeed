package admitter

import (
	"encoding/json"
	"fmt"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/placement/accountant"
)

// checkCap rejects a job with a gang that the cap of its organisation never leaves room for. Its caller learns so at once,
// since the gang would wait until a configuration raises the cap.
func (admitter *Admitter) checkCap(name string, job *describer.Job) error {
	organisation := admitter.options.Config().Organisation(name)
	if organisation == nil {
		return nil
	}
	account := accountant.Account{
		Cap: organisation.Cap,
	}
	if admitter.options.CapOverage != nil {
		account.Overage = admitter.options.CapOverage()
	}
	for index := range job.Steps {
		step := &job.Steps[index]
		if step.Gang && !account.CanEverHold(step.Needs, step.Count) {
			return &describer.RejectedError{
				Reason:     fmt.Sprintf("step %d is a gang that is wider than the cap of its organisation", index),
				RetryAfter: capRetryAfter,
				Overload:   true,
			}
		}
	}
	return nil
}

// checkOwner returns ErrOtherJob if the job that is in the store under the ID of a submission is one that the caller may not
// see.
func checkOwner(route describer.Route, conflict *describer.ConflictError) error {
	for _, item := range conflict.Items {
		if owner := ownerOf(item.Value); !route.MaySee(owner) {
			return describer.ErrOtherJob
		}
	}
	return nil
}

// ownerOf returns the organisation of a stored job or record; empty if it has none or is neither.
func ownerOf(value []byte) string {
	var stored struct {
		Organisation string
	}
	if json.Unmarshal(value, &stored) != nil {
		// Whoever uses the entry reports that it cannot be read.
		return ""
	}
	return stored.Organisation
}
