package forward

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cuminfall.example/fleet/fault"
)

const (
	// MaxQuiet is the longest span that a Retry-After field can ask for. An upstream that needs longer leaves, and a
	// faulty value must not take it out of use until this process restarts.
	MaxQuiet = time.Hour
	// fallbackQuiet is assumed for a Retry-After field that cannot be read: the upstream did ask for a pause.
	fallbackQuiet = time.Second
	// maxQuotedValue bounds the part of a field's value that an error quotes.
	maxQuotedValue = 64
)

// QuietSpan returns the span of a response's Retry-After field, which holds seconds, also with a fraction, or a date. It
// returns 0 without the field, and the longest span of several fields. For a value that cannot be used it takes a bounded
// span in its place and returns an error with the value. A date counts from the response's Date field, and from now if
// that is missing.
func QuietSpan(h http.Header, now time.Time) (time.Duration, error) {
	if sent, err := http.ParseTime(h.Get("Date")); err == nil {
		now = sent
	}
	var longest time.Duration
	var firstErr error
	for _, text := range h["Retry-After"] {
		span, err := parseRetryAfter(strings.TrimSpace(text), now)
		longest = max(longest, span)
		if firstErr == nil {
			firstErr = err
		}
	}
	return longest, firstErr
}

// parseRetryAfter returns the span of one value. A date counts from now.
func parseRetryAfter(text string, now time.Time) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(seconds, 0) {
		end, dateErr := http.ParseTime(text)
		if dateErr != nil {
			return fallbackQuiet, badRetryAfter(text, "expected seconds or a date")
		}
		seconds = end.Sub(now).Seconds()
	}
	switch {
	case math.IsNaN(seconds), seconds < 0:
		return fallbackQuiet, badRetryAfter(text, "expected a time that is not in the past")
	case seconds > MaxQuiet.Seconds():
		return MaxQuiet, badRetryAfter(text, "expected at most "+MaxQuiet.String())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func badRetryAfter(text, expected string) error {
	return fault.New(fault.Upstream, "parse", "", "Retry-After %.*q: %s", maxQuotedValue, text, expected)
}
