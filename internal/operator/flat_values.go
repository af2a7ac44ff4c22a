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

func (k FlatValues) set(key, text string) {
	if text != "" {
		k[key] = text
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
	keys := maps.Clone(document.FlatValues())
	history := document.Changes()
	for _, record := range history {
		if record.BaseVersion < version {
			return keys, true
		}
		undo(keys, record.Changes)
		if record.BaseVersion == version {
			return keys, true
		}
	}
	return keys, false
}

func undo(keys FlatValues, changes []api.KeyChange) {
	for _, change := range changes {
		delete(keys, change.Key)
		keys.set(change.Key, change.Before)
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
	keys := FlatValues{}
	keys.set("service", d.Service)
	keys.set("outcome.groups", d.Outcome.Groups)
	keys.set("outcome.zones", d.Outcome.Zones)
	keys.set("outcome.max_staleness", d.Outcome.MaxStaleness)
	keys.set("outcome.connections", d.Outcome.Connections)
	keys.set("outcome.slots", d.Outcome.Slots)
	keys.set("outcome.replication_wait", d.Outcome.ReplicationWait)
	keys.set("outcome.statement_timeout", d.Outcome.StatementTimeout)
	for _, p := range d.Parameters {
		prefix := "parameters." + p.Name + "."
		keys.set(prefix+"type", string(p.Type))
		keys.set(prefix+"description", p.Description)
		keys.set(prefix+"required", strconv.FormatBool(p.Required))
		keys.set(prefix+"default", p.Default)
		keys.set(prefix+"minimum", p.Minimum)
		keys.set(prefix+"maximum", p.Maximum)
	}
	keys.set("deleted", deletedText(d.Deleted))
	return keys
}

// FlatValues returns the declared values of the workspace by path.
func (d *workspaceDocument) FlatValues() FlatValues {
	keys := FlatValues{}
	keys.set("template", d.Template)
	for name, text := range d.Values {
		keys.set("values."+name, text)
	}
	for _, u := range d.Users {
		prefix := "users." + u.Name + "."
		keys.set(prefix+"verifier", fingerprint(u.Verifier))
		keys.set(prefix+"max_staleness", u.MaxStaleness)
	}
	keys.set("deleted", deletedText(d.Deleted))
	return keys
}

func deletedText(deleted bool) string {
	if deleted {
		return "true"
	}
	return ""
}
