package descriptor

import (
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time.Duration that JSON encodes as text such as "1m30s".
// Only fields of documents have this type; functions take a time.Duration.
type Duration struct {
	time.Duration
}

// MarshalText returns the duration as time.Duration.String formats it.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(duration.String()), nil
}

// UnmarshalText parses any text that time.ParseDuration accepts.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration such as 1m30s", text)
	}
	duration.Duration = parsed
	return nil
}
