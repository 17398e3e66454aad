package proxy

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against a whole upload whose connection ends without an answer when no upstream has answered by the deadline.
func TestWholeUploadIsAnsweredAtItsDeadline(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	refuse := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for name, c := range map[string]struct {
		length   int64
		handlers []http.HandlerFunc
	}{
		"length":             {halfBody, []http.HandlerFunc{hang}},
		"chunks":             {-1, []http.HandlerFunc{hang}},
		"length, sent again": {halfBody, []http.HandlerFunc{refuse, hang}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, 0, c.handlers...)
			var callers sync.WaitGroup
			statuses := make([]int, 4) // as many as an upstream has slots
			for i := range statuses {
				callers.Go(func() {
					response, _, err := fx.postBody("/once/", bytes.NewReader(make([]byte, halfBody)), c.length) // the route's timeout is 400 ms
					if err != nil {
						t.Error(err)
						return
					}
					statuses[i] = response.StatusCode
				})
			}
			callers.Wait()
			for _, status := range statuses {
				is.Equal(status, http.StatusGatewayTimeout)
			}
		})
	}
}
