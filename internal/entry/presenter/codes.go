package presenter

import (
	"net/http"

	"pomelomoor/internal/work/descriptor"
)

// Status returns the HTTP status of a response with the given code.
func Status(code descriptor.Code) int {
	switch code {
	case descriptor.CodeInvalid:
		return http.StatusBadRequest
	case descriptor.CodeImpossible:
		return http.StatusUnprocessableEntity
	case descriptor.CodeNotFound:
		return http.StatusNotFound
	case descriptor.CodeKeyConflict, descriptor.CodeConflict:
		return http.StatusConflict
	case descriptor.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case descriptor.CodeWrongType:
		return http.StatusUnsupportedMediaType
	case descriptor.CodeOverloaded:
		return http.StatusTooManyRequests
	case descriptor.CodeUnavailable, descriptor.CodeNoOwner, descriptor.CodeDraining:
		return http.StatusServiceUnavailable
	case descriptor.CodeDeadline:
		return http.StatusGatewayTimeout
	case descriptor.CodeUpstream:
		return http.StatusBadGateway
	default:
		// Uncertain and Internal do not map to 503, because load balancers may retry calls after a 503.
		return http.StatusInternalServerError
	}
}

// GuaranteesNotRun reports whether a code guarantees that no work was accepted or run.
func GuaranteesNotRun(code descriptor.Code) bool {
	switch code {
	case descriptor.CodeUncertain, descriptor.CodeInternal, descriptor.CodeUpstream:
		return false
	default:
		return true
	}
}

// CombineWithUncertain returns the problem to report for a call whose last attempt ended with problem and of which
// an earlier attempt may have taken effect. The later refusal says nothing about the earlier attempt, so the
// outcome is uncertain. It returns problem itself if its code already leaves the outcome uncertain, and for a key
// conflict: if the key is bound to another job description, no attempt of this call took effect.
func CombineWithUncertain(problem *descriptor.Problem) *descriptor.Problem {
	if !GuaranteesNotRun(problem.Code) || problem.Code == descriptor.CodeKeyConflict {
		return problem
	}
	return descriptor.NewProblem(descriptor.CodeUncertain, problem.RetryAfter.Duration,
		"an earlier attempt may have taken effect; the last one ended with %s: %s", problem.Code, problem.Message)
}

// Transient reports whether a code is transient, so that a retry may succeed.
func Transient(code descriptor.Code) bool {
	switch code {
	case descriptor.CodeOverloaded, descriptor.CodeUnavailable, descriptor.CodeDraining:
		return true
	default:
		return false
	}
}

// FateOf returns the fate of a request that ended with the given code.
func FateOf(code descriptor.Code) descriptor.Fate {
	switch {
	case GuaranteesNotRun(code):
		return descriptor.NotRun{}
	case code == descriptor.CodeUpstream:
		return descriptor.Failed{}
	default:
		return descriptor.Unknown{}
	}
}
