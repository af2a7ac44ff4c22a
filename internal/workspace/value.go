package workspace

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/papayacove/papayacove/api"
)

// listSeparator separates the entries of a list in text form.
const listSeparator = ","

// value is the parsed value of a parameter; the field for its type is set.
type value struct {
	integer  int64
	duration time.Duration
	list     []string
	text     string
	boolean  bool
}

// parseValue parses text as the given type. The error message is the description of what the type allows, which
// Problem shows as the bound.
func parseValue(kind api.ParameterType, text string) (value, error) {
	switch kind {
	case api.ParameterTypeInteger:
		return parseInteger(text)
	case api.ParameterTypeDuration:
		return parseDuration(text)
	case api.ParameterTypeBool:
		return parseBool(text)
	case api.ParameterTypeStringList:
		return value{list: splitList(text)}, nil
	case api.ParameterTypeString:
		return value{text: text}, nil
	default:
		return value{}, fmt.Errorf("a known type")
	}
}

func parseInteger(text string) (value, error) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return value{}, fmt.Errorf("an integer")
	}
	return value{integer: number}, nil
}

func parseDuration(text string) (value, error) {
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		return value{}, fmt.Errorf("a duration such as 500ms or 5s, not negative")
	}
	return value{duration: duration}, nil
}

func parseBool(text string) (value, error) {
	switch text {
	case "true":
		return value{boolean: true}, nil
	case "false":
		return value{}, nil
	default:
		return value{}, fmt.Errorf("true or false")
	}
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	entries := strings.Split(text, listSeparator)
	for i := range entries {
		entries[i] = strings.TrimSpace(entries[i])
	}
	return entries
}

// isOrdered reports whether values of the type have a minimum and a maximum.
func isOrdered(kind api.ParameterType) bool {
	switch kind {
	case api.ParameterTypeInteger, api.ParameterTypeDuration, api.ParameterTypeStringList:
		return true
	default:
		return false
	}
}

// size returns the number that is compared with minimum and maximum: the value, the duration in nanoseconds or the
// number of list entries.
func (v value) size(kind api.ParameterType) int64 {
	switch kind {
	case api.ParameterTypeDuration:
		return int64(v.duration)
	case api.ParameterTypeStringList:
		return int64(len(v.list))
	default:
		return v.integer
	}
}

// parseLimit parses a minimum or maximum; the limit of a list is the number of its entries.
func parseLimit(kind api.ParameterType, text string) (int64, error) {
	if kind == api.ParameterTypeStringList {
		kind = api.ParameterTypeInteger
	}
	limit, err := parseValue(kind, text)
	if err != nil {
		return 0, err
	}
	return limit.size(kind), nil
}

// boundText describes the allowed values of a parameter.
func boundText(p api.Parameter) string {
	unit := string(p.Type)
	if p.Type == api.ParameterTypeStringList {
		unit = "number of entries"
	}
	switch {
	case p.Minimum != "" && p.Maximum != "":
		return fmt.Sprintf("%s of %s to %s", unit, p.Minimum, p.Maximum)
	case p.Minimum != "":
		return fmt.Sprintf("%s of at least %s", unit, p.Minimum)
	case p.Maximum != "":
		return fmt.Sprintf("%s of at most %s", unit, p.Maximum)
	default:
		return unit
	}
}

// isWithin reports whether v is between the minimum and the maximum of p; an empty or invalid limit does not apply.
func isWithin(p api.Parameter, v value) bool {
	if !isOrdered(p.Type) {
		return true
	}
	size := v.size(p.Type)
	if low, err := parseLimit(p.Type, p.Minimum); err == nil && p.Minimum != "" && size < low {
		return false
	}
	if high, err := parseLimit(p.Type, p.Maximum); err == nil && p.Maximum != "" && size > high {
		return false
	}
	return true
}
