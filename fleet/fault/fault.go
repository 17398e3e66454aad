package fault

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
)

// Code classifies an error. It determines the HTTP status, the twirp code and the process exit code.
type Code string

// Error codes.
const (
	Usage             Code = "usage"       // invalid command line or settings
	Invalid           Code = "invalid"     // malformed input
	Deadline          Code = "deadline"    // missing or invalid timeout, or the deadline has passed
	InvalidKey        Code = "key"         // missing, unknown or withdrawn workspace key
	InvalidCredential Code = "credential"  // unknown operator or wrong credential
	NotOwner          Code = "owner"       // the operator does not own the section
	Conflict          Code = "conflict"    // the change is based on an old version, or its id is in use
	Mismatch          Code = "mismatch"    // the idempotency key was used for another request
	Pending           Code = "pending"     // the outcome of an earlier attempt of the same request is unknown
	TooLarge          Code = "toolarge"    // the body exceeds the size limit
	NotFound          Code = "notfound"    // no route, service, section or member of this name
	RateExceeded      Code = "rate"        // the workspace exceeds its rate
	Busy              Code = "busy"        // no free capacity before the deadline
	Stale             Code = "stale"       // the local copy of the configuration is too old to use
	NotLeader         Code = "leader"      // this control member is not the leader
	Isolated          Code = "cut_off"     // this control member has no contact with a majority
	Unreachable       Code = "unreachable" // the peer could not be reached
	Upstream          Code = "upstream"    // the upstream failed
	Stopping          Code = "stopping"    // the process is shutting down
	Internal          Code = "internal"    // a bug or an I/O error
)

// Execution says whether an upstream executed a request that failed.
type Execution string

// Values of Execution.
const (
	NotExecuted      Execution = "not-run" // no byte reached an upstream, or the upstream reported that it did not execute the request
	ExecutionUnknown Execution = "unknown" // an upstream may have executed the request
)

// Error is an error with the step that failed and the peer involved; Peer is empty where there is none.
type Error struct {
	Code      Code      `json:"code"`
	Step      string    `json:"step"`
	Peer      string    `json:"peer"`
	Message   string    `json:"message"`
	Execution Execution `json:"run,omitempty"`
	// RetryAfter is when the request can succeed, from now; 0 if that is not known.
	RetryAfter time.Duration `json:"-"`
	cause      error         // that Wrap converted, in this process
}

// New returns an error with a formatted message; peer may be empty.
func New(code Code, step, peer, format string, args ...any) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Message: fmt.Sprintf(format, args...)}
}

// Wrap converts cause to an Error with the given code, step and peer. It returns cause itself if that already
// contains an Error, and nil if cause is nil.
func Wrap(cause error, code Code, step, peer string) error {
	if cause == nil {
		return nil
	}
	var inner *Error
	if errors.As(cause, &inner) {
		return cause
	}
	return &Error{Code: code, Step: step, Peer: peer, Message: cause.Error(), cause: cause}
}

// Unwrap returns the error that Wrap converted, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s (%s)", e.Step, e.Message, e.Code)
	}
	return fmt.Sprintf("%s with %s: %s (%s)", e.Step, e.Peer, e.Message, e.Code)
}

// Of returns the Error that err contains, or converts err to one: twirp errors by their code, others to Internal.
// It returns nil if err is nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	var t twirp.Error
	if errors.As(err, &t) {
		return fromTwirp(t)
	}
	return &Error{Code: Internal, Message: err.Error()}
}

// HTTPStatus returns the HTTP status code for an error code.
func (c Code) HTTPStatus() int {
	switch c {
	case Usage, Invalid, Deadline:
		return http.StatusBadRequest
	case InvalidKey, InvalidCredential:
		return http.StatusUnauthorized
	case NotOwner:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case Conflict, Pending:
		return http.StatusConflict
	case Mismatch:
		return http.StatusUnprocessableEntity
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case RateExceeded:
		return http.StatusTooManyRequests
	case Busy, Stale, NotLeader, Isolated, Unreachable, Stopping:
		return http.StatusServiceUnavailable
	case Upstream:
		return http.StatusBadGateway
	case Internal:
		return http.StatusInternalServerError
	}
	return http.StatusInternalServerError
}

// ExitCode returns the process exit code for an error code.
func (c Code) ExitCode() int {
	switch c {
	case Usage:
		return 2
	case Invalid, InvalidKey, InvalidCredential, NotOwner, NotFound, Mismatch, TooLarge, RateExceeded, Deadline:
		return 3
	case Conflict, Pending:
		return 4
	case NotLeader, Isolated, Unreachable, Busy, Stale, Stopping:
		return 5
	case Upstream, Internal:
		return 1
	}
	return 1
}

const twirpMetaKey = "fault"

// Twirp converts err to a twirp error whose metadata holds all fields of the Error that Of returns for it.
func Twirp(err error) error {
	e := Of(err)
	if e == nil {
		return nil
	}
	text, jsonErr := json.Marshal(e)
	if jsonErr != nil {
		return twirp.InternalErrorWith(jsonErr)
	}
	return twirp.NewError(twirpCode(e.Code), e.Message).WithMeta(twirpMetaKey, string(text))
}

func twirpCode(c Code) twirp.ErrorCode {
	switch c {
	case Invalid, Usage, Deadline, TooLarge:
		return twirp.InvalidArgument
	case InvalidKey, InvalidCredential:
		return twirp.Unauthenticated
	case NotOwner:
		return twirp.PermissionDenied
	case NotFound:
		return twirp.NotFound
	case Conflict, Pending, Mismatch:
		return twirp.Aborted
	case RateExceeded:
		return twirp.ResourceExhausted
	case Busy, Stale, NotLeader, Isolated, Unreachable, Stopping, Upstream:
		return twirp.Unavailable
	case Internal:
		return twirp.Internal
	}
	return twirp.Internal
}

func fromTwirp(t twirp.Error) *Error {
	var e Error
	if text := t.Meta(twirpMetaKey); text != "" && json.Unmarshal([]byte(text), &e) == nil {
		return &e
	}
	code := Unreachable
	if t.Code() == twirp.InvalidArgument || t.Code() == twirp.Malformed || t.Code() == twirp.BadRoute {
		code = Invalid
	}
	return &Error{Code: code, Message: t.Msg()}
}
