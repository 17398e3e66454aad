package document_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/document"
)

// Guards against example documents that the current version cannot load.
func TestExamplesLoad(t *testing.T) {
	for _, deployment := range []string{"revontuli", "emberdeck"} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			var d document.Document
			for _, name := range []document.Section{
				document.TopologySection, document.ServicesSection, document.WorkspacesSection,
			} {
				text, err := os.ReadFile(filepath.Join("../../examples", deployment, string(name)+".toml"))
				is.NoErr(err)
				content, err := document.Parse(name, string(text))
				is.NoErr(err)
				d.Set(content)
			}
			is.NoErr(d.Check())
			is.Equal(len(d.Topology.Domains), 6)
			is.Equal(len(d.Services.Services), 3)
			is.Equal(len(d.Workspaces.Workspaces), 8)
		})
	}
}
