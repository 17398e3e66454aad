package fault

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
)

// Code classifies a failure.
type Code string

// Codes of failures.
const (
	Usage       Code = "usage"       // bad command line
	Invalid     Code = "invalid"     // malformed input
	Deadline    Code = "deadline"    // no time-out given, or it has passed
	Key         Code = "key"         // missing, unknown or withdrawn key
	Credential  Code = "credential"  // unknown operator or wrong credential
	Owner       Code = "owner"       // the operator does not own the section
	Conflict    Code = "conflict"    // the base revision is stale, or the change id is taken
	Mismatch    Code = "mismatch"    // idempotency key used for another request
	Pending     Code = "pending"     // an earlier run of the same request has no known outcome
	TooLarge    Code = "toolarge"    // body over the limit
	NotFound    Code = "notfound"    // no route, service, section or member of that name
	Rate        Code = "rate"        // over the workspace's rate
	Busy        Code = "busy"        // no capacity before the deadline
	Stale       Code = "stale"       // configuration too old to act on
	Leader      Code = "leader"      // this member does not lead
	Isolated    Code = "cut_off"     // no contact with a majority
	Unreachable Code = "unreachable" // peer not reached
	Upstream    Code = "upstream"    // upstream failed
	Stopping    Code = "stopping"    // planned stop in progress
	Internal    Code = "internal"    // a defect or a failed disk
)

// Execution says whether a refused request ran on an upstream.
type Execution string

// States of a refused request.
const (
	NotExecuted      Execution = "not-run" // no byte reached an upstream, or the upstream said so
	ExecutionUnknown Execution = "unknown" // it may have run
)

// Error is a failure with the step and peer at which it arose.
type Error struct {
	Code      Code      `json:"code"`
	Step      string    `json:"step"`
	Peer      string    `json:"peer"`
	Message   string    `json:"message"`
	Execution Execution `json:"run,omitempty"`
}

// New returns an error for a step and the peer that it dealt with.
func New(code Code, step, peer, format string, args ...any) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with the message of cause, or nil where cause is nil.
func Wrap(cause error, code Code, step, peer string) error {
	if cause == nil {
		return nil
	}
	var inner *Error
	if errors.As(cause, &inner) {
		return cause
	}
	return &Error{Code: code, Step: step, Peer: peer, Message: cause.Error()}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s (%s)", e.Step, e.Message, e.Code)
	}
	return fmt.Sprintf("%s with %s: %s (%s)", e.Step, e.Peer, e.Message, e.Code)
}

// Of returns the Error within err, or one with code Internal; nil stays nil.
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

// HTTPStatus returns the HTTP status for a code.
func (c Code) HTTPStatus() int {
	switch c {
	case Usage, Invalid, Deadline:
		return http.StatusBadRequest
	case Key, Credential:
		return http.StatusUnauthorized
	case Owner:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case Conflict, Pending:
		return http.StatusConflict
	case Mismatch:
		return http.StatusUnprocessableEntity
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case Rate:
		return http.StatusTooManyRequests
	case Busy, Stale, Leader, Isolated, Unreachable, Stopping:
		return http.StatusServiceUnavailable
	case Upstream:
		return http.StatusBadGateway
	case Internal:
		return http.StatusInternalServerError
	}
	return http.StatusInternalServerError
}

// ExitCode returns the process exit code for a failure code.
func (c Code) ExitCode() int {
	switch c {
	case Usage:
		return 2
	case Invalid, Key, Credential, Owner, NotFound, Mismatch, TooLarge, Rate, Deadline:
		return 3
	case Conflict, Pending:
		return 4
	case Leader, Isolated, Unreachable, Busy, Stale, Stopping:
		return 5
	case Upstream, Internal:
		return 1
	}
	return 1
}

const twirpMetaKey = "fault"

// Twirp converts err to a twirp error that carries all fields of the Error in it.
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
	case Key, Credential:
		return twirp.Unauthenticated
	case Owner:
		return twirp.PermissionDenied
	case NotFound:
		return twirp.NotFound
	case Conflict, Pending, Mismatch:
		return twirp.Aborted
	case Rate:
		return twirp.ResourceExhausted
	case Busy, Stale, Leader, Isolated, Unreachable, Stopping, Upstream:
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
