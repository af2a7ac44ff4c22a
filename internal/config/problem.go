package config

import (
	"fmt"
	"strings"

	"github.com/papayacove/papayacove/internal/result"
)

// Hidden replaces the value of a secret in a Problem.
const Hidden = "(hidden)"

// Problem describes a value that is out of bounds.
type Problem struct {
	// Object is the file or the platform object that holds the value.
	Object string
	// Key is the path of the value within the object.
	Key string
	// Value is the value found; secrets are replaced by Hidden.
	Value string
	// Bound says which values are allowed.
	Bound string
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s = %q: want %s", p.Object, p.Key, p.Value, p.Bound)
}

// Problems are the problems found in one or more objects.
type Problems []Problem

// Add appends a problem.
func (p *Problems) Add(object, key, value, bound string) {
	*p = append(*p, Problem{Object: object, Key: key, Value: value, Bound: bound})
}

// Err returns nil if there are no problems, and otherwise a *result.Error with the code that lists each problem.
func (p Problems) Err(code result.Code) error {
	if len(p) == 0 {
		return nil
	}
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return result.Errorf(code, "%s", strings.Join(lines, "\n"))
}
