package workspace

import (
	"fmt"
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
)

// benchmarkWorkspaces is the number of workspaces in the benchmarks.
const benchmarkWorkspaces = 2000

func fullCatalog() *Catalog {
	objects := []api.Object{object(objectstore.KindTemplate, "city", 1, testTemplate())}
	for i, group := range testGroups(5) {
		objects = append(objects, object(objectstore.KindGroup, group.Name, uint64(2+i), group))
	}
	for i := range benchmarkWorkspaces {
		w := testWorkspace()
		w.Name = fmt.Sprintf("workspace-%d", i)
		objects = append(objects, object(objectstore.KindWorkspace, w.Name, uint64(10+i), w))
	}
	c := NewCatalog()
	c.Apply(objects, 10+benchmarkWorkspaces)
	return c
}

// BenchmarkApply measures applying one change of one workspace.
func BenchmarkApply(b *testing.B) {
	c := fullCatalog()
	w := testWorkspace()
	w.Name = "workspace-7"
	changed := object(objectstore.KindWorkspace, w.Name, c.Revision(), w)
	b.ReportAllocs()
	for b.Loop() {
		changed.Version++
		c.Apply([]api.Object{changed}, changed.Version)
	}
}

// BenchmarkCredential measures the lookup of one user.
func BenchmarkCredential(b *testing.B) {
	c := fullCatalog()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Credential("workspace-7", "rounds-1", "map"); err != nil {
			b.Fatal(err)
		}
	}
}
