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

// Maximum timeouts and waits that a caller may request.
const (
	MaxTimeout   = 10 * time.Minute
	MaxApplyWait = time.Minute
	MaxJobWait   = 30 * time.Second
)

// MaxJobDocumentBytes is the maximum size of a job description in bytes. JSON escapes can make the payload six
// times as long.
const MaxJobDocumentBytes = 6*descriptor.MaxPayloadBytes + 64<<10

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// ParseJob decodes and validates a job description. It rejects unknown fields, and its error joins all violations.
func ParseJob(document []byte) (descriptor.Job, error) {
	var job descriptor.Job
	if errs := decoder.Decode(document, &job); len(errs) > 0 {
		return descriptor.Job{}, errors.Join(errs...)
	}
	err := job.Validate()
	if _, syntaxErr := selector.Parse(job.Where); syntaxErr != nil {
		err = errors.Join(err, &descriptor.FieldError{
			Field:  "Where",
			Reason: syntaxErr.Error(),
		})
	}
	return job, err
}

// ParseHeader sets the fields of request from the header of a call. Its error joins all violations. The service
// has to be set before.
func (request *Request) ParseHeader(header http.Header, now time.Time) error {
	var errs []error
	addError := func(field, format string, args ...any) {
		errs = append(errs, &descriptor.FieldError{
			Field:  field,
			Reason: fmt.Sprintf(format, args...),
		})
	}
	if !namePattern.MatchString(request.Service) {
		addError("Service", "must be 1 to %d letters, digits, dots, underscores or hyphens", descriptor.MaxNameBytes)
	}
	request.Caller = header.Get(HeaderCaller)
	if !namePattern.MatchString(request.Caller) {
		addError(HeaderCaller, "must be 1 to %d letters, digits, dots, underscores or hyphens", descriptor.MaxNameBytes)
	}
	if text := header.Get(HeaderTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 || timeout > MaxTimeout {
			addError(HeaderTimeout, "must be a duration up to %s, such as 800ms", MaxTimeout)
		}
		request.Deadline = now.Add(timeout)
	}
	if text := header.Get(HeaderDeadline); text != "" {
		deadline, err := time.Parse(time.RFC3339, text)
		if err != nil || deadline.After(now.Add(MaxTimeout)) {
			addError(HeaderDeadline, "must be an RFC 3339 time at most %s from now", MaxTimeout)
		}
		if request.Deadline.IsZero() || deadline.Before(request.Deadline) {
			request.Deadline = deadline
		}
	}
	if text := header.Get(HeaderIdempotent); text != "" {
		idempotent, err := strconv.ParseBool(text)
		if err != nil {
			addError(HeaderIdempotent, "must be true or false")
		}
		request.Idempotent = idempotent
	}
	if reason := request.parseLabels(header.Values(HeaderLabels)); reason != "" {
		addError(HeaderLabels, "%s", reason)
	}
	return errors.Join(errs...)
}

// parseLabels sets the labels of request. It returns the reason why values are invalid, or an empty string.
func (request *Request) parseLabels(values []string) string {
	request.Labels = descriptor.Labels{}
	for _, value := range values {
		for pair := range strings.SplitSeq(value, ",") {
			key, value, found := strings.Cut(strings.TrimSpace(pair), "=")
			switch {
			case !found || !namePattern.MatchString(key) || !namePattern.MatchString(value):
				return "must be KEY=VALUE pairs of letters, digits, dots, underscores or hyphens"
			case request.Labels[key] != "":
				return "has a duplicate key"
			case len(request.Labels) == descriptor.MaxLabels:
				return fmt.Sprintf("has more than %d entries", descriptor.MaxLabels)
			}
			request.Labels[key] = value
		}
	}
	return ""
}
