package callers

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"unicode"
)

// Entry is a workspace as an operator stated it.
type Entry struct {
	Workspace
	// Digests are the keys that are known by their digests only.
	Digests []KeyDigest
	// BadKeys is the number of keys that could not be read.
	BadKeys int
	// Unreadable says why a part of the entry other than its keys could not be read; nil if all could.
	Unreadable error
}

// Problem is a part of a configuration that is not in force.
type Problem struct {
	// Number is the position of the entry, from 1.
	Number int
	// Workspace is the name that the entry states; empty if it states none.
	Workspace string
	Reason    string
}

// Error returns the entry and the reason. It holds no key.
func (p Problem) Error() string {
	return fmt.Sprintf("workspace %d (%q): %s", p.Number, p.Workspace, p.Reason)
}

// Resolve returns the directory of the entries, and what is left out of it: an entry of which something other than a key
// cannot be used has no valid keys, and neither have two entries of one name; a key that is empty, cannot be read or is in
// entries of several workspaces is not valid. All else is in force, so that no bad entry keeps a withdrawn key valid.
func Resolve(entries []Entry) (*Directory, []Problem) {
	d := &Directory{byKey: make(map[KeyDigest]string), limits: make(map[string]Limit, len(entries))}
	names, owners := countNames(entries), ownersOf(entries)
	var problems []Problem
	for i, e := range entries {
		report := func(reason string) {
			problems = append(problems, Problem{Number: i + 1, Workspace: e.Name, Reason: reason})
		}
		if err := e.check(names); err != nil {
			report(err.Error() + "; none of its keys is valid")
			continue
		}
		d.limits[e.Name] = e.Limit
		if bad := d.addKeys(e, owners); bad > 0 {
			report(fmt.Sprintf("%d of its keys are empty, no text or held by several workspaces; these are not valid", bad))
		}
	}
	return d, problems
}

// addKeys adds the valid keys of an entry and returns the number of the others.
func (d *Directory) addKeys(e Entry, owners map[KeyDigest]string) (bad int) {
	bad = e.BadKeys
	for _, digest := range e.digests() {
		if digest.IsZero() || owners[digest] != e.Name {
			bad++
			continue
		}
		d.byKey[digest] = e.Name
	}
	return bad
}

// digests returns the digests of all keys of an entry, and that of no key for each that is empty.
func (e Entry) digests() []KeyDigest {
	digests := make([]KeyDigest, 0, len(e.Keys)+len(e.Digests))
	for _, key := range e.Keys {
		digest := KeyDigest{}
		if key != "" {
			digest = DigestOf(key)
		}
		digests = append(digests, digest)
	}
	return append(digests, e.Digests...)
}

// check returns why none of the keys of an entry is valid; nil if they may be.
func (e Entry) check(names map[string]int) error {
	switch {
	case e.Unreadable != nil:
		return e.Unreadable
	case e.Name == "":
		return errors.New("no name")
	case strings.ContainsFunc(e.Name, isSeparator):
		return errors.New("the name has a blank or a control character, which ends a field in messages to targets")
	case names[e.Name] > 1:
		return fmt.Errorf("%d entries have this name", names[e.Name])
	case !isAmount(e.RatePerS) || !isAmount(e.Burst):
		return fmt.Errorf("rate %g a second and burst %g must be numbers of at least 0", e.RatePerS, e.Burst)
	}
	return nil
}

func isSeparator(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }

func isAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

func countNames(entries []Entry) map[string]int {
	names := make(map[string]int, len(entries))
	for _, e := range entries {
		names[e.Name]++
	}
	return names
}

// severalOwners stands in ownersOf for a key in entries of several workspaces. It is no valid name.
const severalOwners = " "

// ownersOf returns the workspace that states each key. An entry that is not valid states its keys too.
func ownersOf(entries []Entry) map[KeyDigest]string {
	owners := make(map[KeyDigest]string)
	for _, e := range entries {
		for _, digest := range e.digests() {
			if owner, ok := owners[digest]; ok && owner != e.Name {
				owners[digest] = severalOwners
				continue
			}
			owners[digest] = e.Name
		}
	}
	return owners
}
