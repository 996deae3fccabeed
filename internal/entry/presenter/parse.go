package presenter

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/node/decoder"
	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// Longest waits that a caller may ask for.
const (
	MaxTimeout   = 10 * time.Minute
	MaxApplyWait = time.Minute
	MaxJobWait   = 30 * time.Second
)

// MaxJobDocument is the largest job description in bytes. Escapes may make the payload six times as long.
const MaxJobDocument = 6*descriptor.MaxPayload + 64<<10

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// ParseJob reads a job description strictly and returns all its faults joined.
func ParseJob(document []byte) (descriptor.Job, error) {
	var job descriptor.Job
	if faults := decoder.Decode(document, &job); len(faults) > 0 {
		return descriptor.Job{}, errors.Join(faults...)
	}
	err := job.Validate()
	if _, syntax := selector.Parse(job.Where); syntax != nil {
		err = errors.Join(err, &descriptor.FieldError{
			Field:  "Where",
			Reason: syntax.Error(),
		})
	}
	return job, err
}

// ParseHeader fills request from the header of a call and returns all its faults joined.
func (request *Request) ParseHeader(header http.Header, now time.Time) error {
	var faults []error
	fault := func(field, format string, args ...any) {
		faults = append(faults, &descriptor.FieldError{
			Field:  field,
			Reason: fmt.Sprintf(format, args...),
		})
	}
	if !namePattern.MatchString(request.Service) {
		fault("Service", "must be 1 to %d letters, digits, dots, underscores or hyphens", descriptor.MaxNameLength)
	}
	request.Caller = header.Get(HeaderCaller)
	if !namePattern.MatchString(request.Caller) {
		fault(HeaderCaller, "must be 1 to %d letters, digits, dots, underscores or hyphens", descriptor.MaxNameLength)
	}
	if text := header.Get(HeaderTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 || timeout > MaxTimeout {
			fault(HeaderTimeout, "must be a duration up to %s, such as 800ms", MaxTimeout)
		}
		request.Deadline = now.Add(timeout)
	}
	if text := header.Get(HeaderDeadline); text != "" {
		deadline, err := time.Parse(time.RFC3339, text)
		if err != nil || deadline.After(now.Add(MaxTimeout)) {
			fault(HeaderDeadline, "must be an RFC 3339 time at most %s from now", MaxTimeout)
		}
		if request.Deadline.IsZero() || deadline.Before(request.Deadline) {
			request.Deadline = deadline
		}
	}
	if text := header.Get(HeaderIdempotent); text != "" {
		idempotent, err := strconv.ParseBool(text)
		if err != nil {
			fault(HeaderIdempotent, "must be true or false")
		}
		request.Idempotent = idempotent
	}
	if reason := request.parseLabels(header.Values(HeaderLabels)); reason != "" {
		fault(HeaderLabels, "%s", reason)
	}
	return errors.Join(faults...)
}

// parseLabels returns the reason why values are no labels, or an empty string.
func (request *Request) parseLabels(values []string) string {
	request.Labels = descriptor.Labels{}
	for _, value := range values {
		for pair := range strings.SplitSeq(value, ",") {
			key, value, found := strings.Cut(strings.TrimSpace(pair), "=")
			switch {
			case !found || !namePattern.MatchString(key) || !namePattern.MatchString(value):
				return "must be KEY=VALUE pairs of letters, digits, dots, underscores or hyphens"
			case request.Labels[key] != "":
				return "has a key twice"
			case len(request.Labels) == descriptor.MaxLabels:
				return fmt.Sprintf("has more than %d entries", descriptor.MaxLabels)
			}
			request.Labels[key] = value
		}
	}
	return ""
}
