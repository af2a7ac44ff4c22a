package objectstore

import (
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logfield"
)

const (
	// maxUnreadable bounds the objects that an UnreadableLog keeps in mind. Further ones are not logged.
	maxUnreadable = 1000
	// maxLoggedName and maxLoggedReason bound what a log line holds of an object, in bytes: another writer may have
	// stored anything.
	maxLoggedName   = 200
	maxLoggedReason = 400
)

// UnreadableLog logs stored objects that cannot be used, each once until it can be used again or is gone. Its zero
// value is ready to use. Its methods may be called concurrently.
type UnreadableLog struct {
	mu     sync.Mutex
	logged map[objectKey]bool
}

// Report logs an event with the kind and the name of an object, which is empty if it cannot be read either, and the
// reason.
func (l *UnreadableLog) Report(event, kind, name string, reason error) {
	key := objectKey{kind, shorten(name, maxLoggedName)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logged[key] || len(l.logged) >= maxUnreadable {
		return
	}
	if l.logged == nil {
		l.logged = make(map[objectKey]bool)
	}
	l.logged[key] = true
	logrus.WithFields(logrus.Fields{
		logfield.Kind: kind, logfield.Object: key.name, logfield.Error: shorten(reason.Error(), maxLoggedReason),
	}).Warn(event)
}

// Clear records that an object can be used, or is gone.
func (l *UnreadableLog) Clear(kind, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.logged) > 0 {
		delete(l.logged, objectKey{kind, shorten(name, maxLoggedName)})
	}
}

// Keep clears the objects of a kind that are not among the named ones.
func (l *UnreadableLog) Keep(kind string, names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.logged) == 0 {
		return
	}
	kept := make(map[string]bool, len(names))
	for _, name := range names {
		kept[shorten(name, maxLoggedName)] = true
	}
	for key := range l.logged {
		if key.kind == kind && !kept[key.name] {
			delete(l.logged, key)
		}
	}
}

// shorten returns at most the first bytes of a text, as valid UTF-8.
func shorten(text string, maxBytes int) string {
	if len(text) > maxBytes {
		text = text[:maxBytes] + "..."
	}
	return strings.ToValidUTF8(text, "\uFFFD")
}
