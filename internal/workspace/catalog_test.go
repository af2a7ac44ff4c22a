package workspace

import (
	"reflect"
	"strconv"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
)

func loadedCatalog() *Catalog {
	c := NewCatalog()
	objects := []api.Object{object(objectstore.KindTemplate, "city", 1, testTemplate())}
	for i, group := range testGroups(5) {
		objects = append(objects, object(objectstore.KindGroup, group.Name, uint64(2+i), group))
	}
	objects = append(objects, object(objectstore.KindWorkspace, "kelani", 4, testWorkspace()))
	c.Apply(objects, 4)
	return c
}

func TestCredential(t *testing.T) {
	c := loadedCatalog()
	credential, err := c.Credential("kelani", "rounds-1", "map")
	if err != nil || credential.MaxAge != 5*time.Second || credential.Verifier != testVerifier {
		t.Errorf("got credential with maximum age %v, error %v, want 5s and the verifier of the user", credential.MaxAge, err)
	}
	cases := map[[3]string]result.Code{
		{"acme", "rounds-1", "map"}:      result.UnknownWorkspace,
		{"kelani", "rounds-3", "map"}:    result.UnknownGroup,
		{"kelani", "rounds-1", "nobody"}: result.AuthenticationFailed,
	}
	for names, want := range cases {
		if _, err := c.Credential(names[0], names[1], names[2]); result.CodeOf(err) != want {
			t.Errorf("Credential(%v): got error %v, want %v", names, err, want)
		}
	}
}

func TestInvalidWorkspaceKeepsLastValidVersion(t *testing.T) {
	c := loadedCatalog()
	broken := testWorkspace()
	broken.Values["connections"] = "1000"
	c.Apply([]api.Object{object(objectstore.KindWorkspace, "kelani", 5, broken)}, 5)
	if e, found := c.Workspace("kelani"); !found || e.Revision != 4 {
		t.Errorf("got workspace in force %+v, want revision 4", e)
	}
	statuses := c.Statuses()
	if len(statuses) != 1 || statuses[0].Version != 5 || statuses[0].InForce != 4 {
		t.Errorf("got statuses %v, want version 5 refused and 4 in force", statuses)
	}
	garbled := api.Object{Kind: objectstore.KindWorkspace, Name: "kelani", Version: 6, Data: []byte(`{`)}
	c.Apply([]api.Object{garbled}, 6)
	if e, found := c.Workspace("kelani"); !found || e.Revision != 4 {
		t.Errorf("got workspace in force %+v, want revision 4", e)
	}
	c.Apply([]api.Object{object(objectstore.KindWorkspace, "kelani", 7, testWorkspace())}, 7)
	if e, _ := c.Workspace("kelani"); e.Revision != 7 || len(c.Statuses()) != 0 {
		t.Errorf("after a valid version: got revision %d and statuses %v, want 7 and none", e.Revision, c.Statuses())
	}
}

func TestNewCatalogServesWorkspaceThatNoLongerFitsItsGroups(t *testing.T) {
	w := testWorkspace()
	w.Values["slots"] = "5"
	objects := []api.Object{
		object(objectstore.KindTemplate, "city", 1, testTemplate()),
		object(objectstore.KindWorkspace, "kelani", 2, w),
	}
	for i, group := range testGroups(4) {
		objects = append(objects, object(objectstore.KindGroup, group.Name, uint64(3+i), group))
	}
	c := NewCatalog()
	c.Apply(objects, 4)
	if e, found := c.Workspace("kelani"); !found || e.Revision != 2 {
		t.Errorf("got workspace in force %+v, %v, want revision 2", e, found)
	}
	if statuses := c.Statuses(); len(statuses) != 1 || statuses[0].InForce != 2 {
		t.Errorf("got statuses %v, want one with version 2 in force", statuses)
	}
	w.Values["connections"] = "many"
	c = NewCatalog()
	c.Apply(append(objects, object(objectstore.KindWorkspace, "kelani", 5, w)), 5)
	if _, found := c.Workspace("kelani"); found {
		t.Error("workspace with invalid values is in force")
	}
}

func TestDeletedWorkspaceStaysDeleted(t *testing.T) {
	c := loadedCatalog()
	removed := testWorkspace()
	removed.Deleted = true
	c.Apply([]api.Object{object(objectstore.KindWorkspace, "kelani", 5, removed)}, 5)
	if c.Apply([]api.Object{object(objectstore.KindWorkspace, "kelani", 4, testWorkspace())}, 4) {
		t.Error("older version was applied")
	}
	if _, found := c.Workspace("kelani"); found {
		t.Error("deleted workspace is in force again")
	}
}

func TestSubscribersAreNotifiedOnceForABurst(t *testing.T) {
	c := NewCatalog()
	notified := c.Subscribe()
	c.Apply([]api.Object{object(objectstore.KindTemplate, "city", 1, testTemplate())}, 1)
	c.Apply([]api.Object{object(objectstore.KindTemplate, "city", 2, testTemplate())}, 2)
	<-notified
	select {
	case <-notified:
		t.Error("got two notifications, want one")
	default:
	}
}

// drawHistory draws a sequence of valid versions of a few objects. It returns them with the newest version of the
// template and of each workspace.
func drawHistory(t *rapid.T) (objects []api.Object, template api.Template, newest map[string]api.Workspace) {
	newest = map[string]api.Workspace{}
	for i, group := range testGroups(5) {
		objects = append(objects, object(objectstore.KindGroup, group.Name, uint64(i+1), group))
	}
	template = testTemplate()
	objects = append(objects, object(objectstore.KindTemplate, "city", 3, template))
	steps := rapid.IntRange(1, 12).Draw(t, "steps")
	for version := uint64(4); version < uint64(4+steps); version++ {
		if rapid.Bool().Draw(t, "template") {
			template = testTemplate()
			template.Parameters[5].Default = rapid.SampledFrom([]string{"1s", "2s", "3s"}).Draw(t, "wait")
			objects = append(objects, object(objectstore.KindTemplate, "city", version, template))
			continue
		}
		w := testWorkspace()
		w.Name = rapid.SampledFrom([]string{"kelani", "acme"}).Draw(t, "name")
		w.Values["connections"] = strconv.Itoa(rapid.IntRange(1, 100).Draw(t, "connections"))
		w.Deleted = rapid.IntRange(0, 4).Draw(t, "deleted") == 0
		newest[w.Name] = w
		objects = append(objects, object(objectstore.KindWorkspace, w.Name, version, w))
	}
	return objects, template, newest
}

func versionsOf(c *Catalog) map[objectKey]uint64 {
	all := map[objectKey]uint64{}
	for _, o := range c.Snapshot() {
		all[objectKey{o.Kind, o.Name}] = o.Version
	}
	return all
}

func applyChecked(t *rapid.T, c *Catalog, objects []api.Object, revision uint64) {
	before, beforeRevision := versionsOf(c), c.Revision()
	c.Apply(objects, revision)
	after := versionsOf(c)
	for key, version := range before {
		if after[key] < version {
			t.Fatalf("version of %v decreased from %d to %d", key, version, after[key])
		}
	}
	if c.Revision() < beforeRevision {
		t.Fatalf("revision decreased from %d to %d", beforeRevision, c.Revision())
	}
}

func TestCatalogsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objects, template, newest := drawHistory(t)
		catalogs := []*Catalog{NewCatalog(), NewCatalog()}
		delivered := rapid.SliceOfN(rapid.SampledFrom(objects), 0, 30).Draw(t, "repeated")
		delivered = rapid.Permutation(append(delivered, objects...)).Draw(t, "order")
		for len(delivered) > 0 {
			size := rapid.IntRange(1, len(delivered)).Draw(t, "size")
			c := catalogs[rapid.IntRange(0, 1).Draw(t, "catalog")]
			applyChecked(t, c, delivered[:size], uint64(rapid.IntRange(0, 20).Draw(t, "revision")))
			delivered = delivered[size:]
		}
		// The catalogs exchange their objects; the second one gets a snapshot from before the exchange.
		stale := catalogs[0].Snapshot()
		applyChecked(t, catalogs[0], catalogs[1].Snapshot(), catalogs[1].Revision())
		applyChecked(t, catalogs[1], stale, 0)
		for _, c := range catalogs {
			checkNewest(t, c, template, newest)
		}
	})
}

func checkNewest(t *rapid.T, c *Catalog, template api.Template, newest map[string]api.Workspace) {
	for name, w := range newest {
		got, found := c.Workspace(name)
		if found == w.Deleted {
			t.Fatalf("workspace %s: got found %v and deleted %v, want exactly one of them true", name, found, w.Deleted)
		}
		if w.Deleted {
			continue
		}
		want, _ := Resolve(template, w, testGroups(5))
		want.Revision = got.Revision
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("workspace %s: got %+v, want %+v", name, got, want)
		}
	}
}

func TestConcurrentUse(t *testing.T) {
	c := loadedCatalog()
	var writers sync.WaitGroup
	for i := 0; i < 4; i++ {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for version := uint64(5); version < 25; version++ {
				c.Apply([]api.Object{object(objectstore.KindWorkspace, "kelani", version, testWorkspace())}, version)
				_, _ = c.Credential("kelani", "rounds-1", "map")
			}
		}()
	}
	writers.Wait()
	if e, _ := c.Workspace("kelani"); e.Revision != 24 || c.Revision() != 24 {
		t.Errorf("got revision %d of the workspace and %d of the catalog, want 24", e.Revision, c.Revision())
	}
}

// TestSinceBringsCatalogUpToDate checks that a catalog that applies the objects after its own revision from another
// catalog becomes equal to that catalog.
func TestSinceBringsCatalogUpToDate(t *testing.T) {
	full, behind := loadedCatalog(), loadedCatalog()
	if objects := full.Since(behind.Revision()); len(objects) != 0 {
		t.Errorf("got %d objects since the same revision, want none", len(objects))
	}
	full.Apply([]api.Object{object(objectstore.KindWorkspace, "lichtbild", 5, testWorkspace())}, 5)
	full.Apply([]api.Object{{Kind: objectstore.KindWorkspace, Name: "kelani", Version: 6, Deleted: true}}, 7)
	objects := full.Since(behind.Revision())
	if len(objects) != 2 {
		t.Errorf("got %d objects since revision 4, want 2", len(objects))
	}
	behind.Apply(objects, full.Revision())
	if !reflect.DeepEqual(behind.Snapshot(), full.Snapshot()) || behind.Revision() != full.Revision() {
		t.Error("catalogs differ, want equal objects and revisions")
	}
}
