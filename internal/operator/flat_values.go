package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"sort"
	"strconv"

	"github.com/papayacove/papayacove/api"
)

const fingerprintBytes = 4

// FlatValues holds the declared values of a document by path, without empty values.
type FlatValues map[string]string

func (v FlatValues) set(key, text string) {
	if text != "" {
		v[key] = text
	}
}

// Differences returns the changes that lead from before to after, ordered by key.
func Differences(before, after FlatValues) []api.KeyChange {
	var changes []api.KeyChange
	for key, text := range before {
		if after[key] != text {
			changes = append(changes, api.KeyChange{Key: key, Before: text, After: after[key]})
		}
	}
	for key, text := range after {
		if before[key] == "" && text != "" {
			changes = append(changes, api.KeyChange{Key: key, After: text})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// valuesAt derives the values of an earlier version by undoing the changes in the history. It
// reports false when the history does not reach back that far; the values are then those of the
// oldest known version.
func valuesAt(document Document, version uint64) (FlatValues, bool) {
	values := maps.Clone(document.FlatValues())
	history := document.Changes()
	for _, record := range history {
		if record.BaseVersion < version {
			return values, true
		}
		undo(values, record.Changes)
		if record.BaseVersion == version {
			return values, true
		}
	}
	return values, false
}

func undo(values FlatValues, changes []api.KeyChange) {
	for _, change := range changes {
		delete(values, change.Key)
		values.set(change.Key, change.Before)
	}
}

// fingerprint returns a short hash that is shown in place of a secret, so that a change of the secret is visible.
func fingerprint(secret string) string {
	if secret == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(secret))
	return fmt.Sprintf("(hidden %s)", hex.EncodeToString(sum[:fingerprintBytes]))
}

// FlatValues returns the declared values of the template by path.
func (d *templateDocument) FlatValues() FlatValues {
	values := FlatValues{}
	values.set("service", d.Service)
	values.set("outcome.groups", d.Outcome.Groups)
	values.set("outcome.zones", d.Outcome.Zones)
	values.set("outcome.max_staleness", d.Outcome.MaxStaleness)
	values.set("outcome.connections", d.Outcome.Connections)
	values.set("outcome.slots", d.Outcome.Slots)
	values.set("outcome.replication_wait", d.Outcome.ReplicationWait)
	values.set("outcome.statement_timeout", d.Outcome.StatementTimeout)
	for _, p := range d.Parameters {
		prefix := "parameters." + p.Name + "."
		values.set(prefix+"type", string(p.Type))
		values.set(prefix+"description", p.Description)
		values.set(prefix+"required", strconv.FormatBool(p.Required))
		values.set(prefix+"default", p.Default)
		values.set(prefix+"minimum", p.Minimum)
		values.set(prefix+"maximum", p.Maximum)
	}
	values.set("deleted", deletedText(d.Deleted))
	return values
}

// FlatValues returns the declared values of the workspace by path.
func (d *workspaceDocument) FlatValues() FlatValues {
	values := FlatValues{}
	values.set("template", d.Template)
	for name, text := range d.Values {
		values.set("values."+name, text)
	}
	for _, u := range d.Users {
		prefix := "users." + u.Name + "."
		values.set(prefix+"verifier", fingerprint(u.Verifier))
		values.set(prefix+"max_staleness", u.MaxStaleness)
	}
	values.set("deleted", deletedText(d.Deleted))
	return values
}

func deletedText(deleted bool) string {
	if deleted {
		return "true"
	}
	return ""
}
