package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that crashes upstreams and passes the quarantine because its host is spelled in another way, by which
// it has the same route.
func TestFingerprintIsThatOfAllSpellingsOfHost(t *testing.T) {
	is := is.New(t)
	head := func(host, target string) string {
		r := httptest.NewRequest(http.MethodGet, target, nil)
		r.Host = host
		c := &call{r: r}
		return string(c.requestHead())
	}
	want := head("jepu9.example", "/x/1?q=A")
	for _, host := range []string{"JEPU9.Example", "jepu9.example.", "jepu9.example:8389"} {
		is.Equal(head(host, "/x/1?q=A"), want)
		is.Equal(head(host, "http://"+host+"/x/1?q=A"), want)
	}
	is.True(head("jepu8.example", "/x/1?q=A") != want)
	is.True(head("jepu9.example", "/x/1?q=a") != want)
}
