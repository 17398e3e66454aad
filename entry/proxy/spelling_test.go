package proxy

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/ident"
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

// Guards against a workspace, accepted by an earlier build, whose name adds a header field to its requests.
func TestNameOfWorkspaceAddsNoHeaderField(t *testing.T) {
	is := is.New(t)
	var forged atomic.Int32
	fx := newFixture(t, 100, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Forged") != "" {
			forged.Add(1)
		}
	})
	next := *fx.catalog
	next.Workspaces = map[ident.Workspace]catalog.Workspace{}
	for key, name := range map[string]ident.Workspace{"key": "w\r\nX-Forged: 1", "other": "w"} {
		next.Workspaces[name] = catalog.Workspace{Name: name, Keys: []string{key}}
	}
	fx.registry.Catalog = &next
	fx.Update(fx.registry)
	response, _ := fx.post("/safe/x", "", "key")
	is.Equal(forged.Load(), int32(0))
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	_, _ = fx.post("/safe/x", "", "other")
	is.Equal(fx.upstreamRequests.Load(), int32(1))
}
