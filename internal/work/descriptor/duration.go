package descriptor

import (
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time.Duration whose JSON form is text such as "1m30s".
// It is used in documents only; functions take time.Duration.
type Duration struct {
	time.Duration
}

// MarshalText returns the form of time.Duration.String.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(duration.String()), nil
}

// UnmarshalText reads the form that time.ParseDuration accepts.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration such as 1m30s", text)
	}
	duration.Duration = parsed
	return nil
}
