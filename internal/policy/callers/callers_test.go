package callers

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func entry(name string, keys ...string) Entry {
	return Entry{Workspace: Workspace{Name: name, Keys: keys}}
}

// TestEntriesAreLeftOutAlone gives one bad entry of each kind beside a good one: the good one is in force, the bad one has
// no valid key, and one problem says which and why, without a key.
func TestEntriesAreLeftOutAlone(t *testing.T) {
	limited := func(rate, burst float64) Entry {
		e := entry("bad", "secret-1")
		e.RatePerS, e.Burst = rate, burst
		return e
	}
	for name, bad := range map[string]Entry{
		"no name": entry("", "secret-1"), "name with a blank": entry("b ad", "secret-1"), "name with a line end": entry("bad\r\nQUERY", "secret-1"),
		"negative rate": limited(-1, 0), "negative burst": limited(1, -1), "endless rate": limited(math.Inf(1), 0), "no number": limited(math.NaN(), 0),
		"unreadable": {Workspace: Workspace{Name: "bad", Keys: []string{"secret-1"}}, Unreadable: errors.New("field RatePerS is not a float64")},
	} {
		d, problems := Resolve([]Entry{bad, entry("good", "secret-2")})
		if _, ok := d.WorkspaceOf(DigestOf("secret-1")); ok {
			t.Errorf("%s: its key is valid", name)
		}
		if got, _ := d.WorkspaceOf(DigestOf("secret-2")); got != "good" {
			t.Errorf("%s: the key of the good entry has workspace %q", name, got)
		}
		if len(problems) != 1 || problems[0].Number != 1 || strings.Contains(problems[0].Error(), "secret") {
			t.Errorf("%s: got problems %v, want one about entry 1, without a key", name, problems)
		}
	}
}

// TestBadKeysAreLeftOutAlone gives entries with keys that are not valid beside others that are.
func TestBadKeysAreLeftOutAlone(t *testing.T) {
	for name, c := range map[string]struct {
		entries  []Entry
		valid    []string
		invalid  []string
		problems int
	}{
		"empty key":               {[]Entry{entry("a", "", "k1")}, []string{"k1"}, []string{""}, 1},
		"unreadable key":          {[]Entry{{Workspace: Workspace{Name: "a", Keys: []string{"k1"}}, BadKeys: 1}}, []string{"k1"}, nil, 1},
		"by digest, held by two":  {[]Entry{entry("a", "k1"), {Workspace: Workspace{Name: "b"}, Digests: []KeyDigest{DigestOf("k1"), DigestOf("k2"), {}}}}, []string{"k2"}, []string{"k1"}, 2},
		"held by two":             {[]Entry{entry("a", "k1", "k2"), entry("b", "k2", "k3")}, []string{"k1", "k3"}, []string{"k2"}, 2},
		"held by a bad one too":   {[]Entry{entry("a", "k1"), entry("", "k1")}, nil, []string{"k1"}, 2},
		"twice in one entry":      {[]Entry{entry("a", "k1", "k1")}, []string{"k1"}, nil, 0},
		"two entries of one name": {[]Entry{entry("a", "k1"), entry("a", "k2"), entry("b", "k3")}, []string{"k3"}, []string{"k1", "k2"}, 2},
		"no keys":                 {[]Entry{entry("a")}, nil, []string{"k1"}, 0},
		"no entries":              {nil, nil, []string{"k1", ""}, 0},
	} {
		d, problems := Resolve(c.entries)
		for _, key := range c.valid {
			if _, ok := d.WorkspaceOf(DigestOf(key)); !ok {
				t.Errorf("%s: key %q is not valid", name, key)
			}
		}
		for _, key := range c.invalid {
			if w, ok := d.WorkspaceOf(DigestOf(key)); ok {
				t.Errorf("%s: key %q is valid for %q", name, key, w)
			}
		}
		if _, ok := d.WorkspaceOf(KeyDigest{}); ok {
			t.Errorf("%s: a caller without a key has a workspace", name)
		}
		if len(problems) != c.problems {
			t.Errorf("%s: got problems %v, want %d", name, problems, c.problems)
		}
	}
}

// TestKeysBelongToOneWorkspace resolves random entries: a key is valid exactly if one readable entry has it, whose name no
// other has, and no entry of another name.
func TestKeysBelongToOneWorkspace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []Entry
		for range rapid.IntRange(0, 6).Draw(t, "entries") {
			e := entry(rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e f"}).Draw(t, "name"))
			for range rapid.IntRange(0, 3).Draw(t, "keys") {
				e.Keys = append(e.Keys, rapid.SampledFrom([]string{"", "1", "2", "3", "4"}).Draw(t, "key"))
			}
			e.RatePerS = rapid.SampledFrom([]float64{0, 1, -1}).Draw(t, "rate")
			entries = append(entries, e)
		}
		d, _ := Resolve(entries)
		for _, key := range []string{"", "1", "2", "3", "4"} {
			var holders []Entry
			for _, e := range entries {
				if slices.Contains(e.Keys, key) {
					holders = append(holders, e)
				}
			}
			want := ""
			if len(holders) == 1 && key != "" {
				e := holders[0]
				same := slices.DeleteFunc(slices.Clone(entries), func(o Entry) bool { return o.Name != e.Name })
				if len(same) == 1 && e.RatePerS >= 0 && e.Name != "e f" {
					want = e.Name
				}
			}
			if got, _ := d.WorkspaceOf(DigestOf(key)); got != want {
				t.Fatalf("key %q of %+v: got workspace %q, want %q", key, entries, got, want)
			}
		}
	})
}

// TestIdentities checks who is told apart, and when an identity is still valid.
func TestIdentities(t *testing.T) {
	d := NewDirectory([]Workspace{{Name: "a", Keys: []string{"k"}, Limit: Limit{RatePerS: 3, Burst: 4}}})
	key := DigestOf("k")
	a := Identity{Workspace: "a", Key: key}
	for name, c := range map[string]struct {
		d        *Directory
		key      KeyDigest
		isPublic bool
		want     Identity
		ok       bool
	}{
		"held": {d, key, false, a, true}, "unknown": {d, DigestOf("x"), false, Identity{}, false}, "none": {d, KeyDigest{}, false, Identity{}, false},
		"public": {d, key, true, Identity{}, true}, "not told apart": {nil, DigestOf("x"), false, Identity{}, true},
	} {
		if got, ok := c.d.Identify(c.key, c.isPublic); got != c.want || ok != c.ok {
			t.Errorf("%s: got %+v, %t, want %+v, %t", name, got, ok, c.want, c.ok)
		}
	}
	none := NewDirectory(nil)
	for name, c := range map[string]struct {
		d    *Directory
		id   Identity
		want bool
	}{
		"held": {d, a, true}, "withdrawn": {none, a, false}, "moved": {d, Identity{Workspace: "b", Key: key}, false},
		"not told apart": {nil, a, true}, "no workspace": {none, Identity{}, true}, "workspace without a key": {d, Identity{Workspace: "a"}, false},
	} {
		if got := c.d.Holds(c.id); got != c.want {
			t.Errorf("%s: got that it is valid %t, want %t", name, got, c.want)
		}
	}
	if limit, ok := d.LimitOf("a"); !ok || limit != (Limit{RatePerS: 3, Burst: 4}) {
		t.Errorf("limit: got %+v, %t", limit, ok)
	}
	if _, ok := (*Directory)(nil).LimitOf("a"); ok {
		t.Error("limit of a workspace of no directory: got one, want none")
	}
}

// TestDigestsAreParsedBack encodes digests as they are sent between daemons, and refuses other texts.
func TestDigestsAreParsedBack(t *testing.T) {
	for _, d := range []KeyDigest{{}, DigestOf("k"), DigestOf("")} {
		if got, err := ParseDigest(d.Hex()); err != nil || got != d {
			t.Errorf("digest %s: got %s, %v", d.Hex(), got.Hex(), err)
		}
	}
	for _, text := range []string{"0", "zz", strings.Repeat("0", 2*digestBytes+2), fmt.Sprintf("%x", "k")} {
		if _, err := ParseDigest(text); err == nil {
			t.Errorf("text of %d characters is taken for a digest", len(text))
		}
	}
}
