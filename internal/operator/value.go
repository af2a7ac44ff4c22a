package operator

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/papayacove/papayacove/internal/config"
)

const (
	listSeparator  = ","
	acceptedValues = "an integer, a string, true, false or a list of strings without commas"
)

// valueText returns the text form of a TOML value, or "" for nil. It adds a problem for a value that has none.
func valueText(file, key string, value any, problems *config.Problems) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case int64:
		return strconv.FormatInt(v, 10)
	case bool:
		return strconv.FormatBool(v)
	case []any:
		return listText(file, key, v, problems)
	default:
		problems.Add(file, key, fmt.Sprint(value), acceptedValues)
		return ""
	}
}

// listText returns the entries of a TOML list, separated by commas. It adds a problem for each entry that it cannot
// represent.
func listText(file, key string, list []any, problems *config.Problems) string {
	entries := make([]string, 0, len(list))
	for _, entry := range list {
		text, isText := entry.(string)
		if !isText || strings.Contains(text, listSeparator) {
			problems.Add(file, key, fmt.Sprint(entry), acceptedValues)
			continue
		}
		entries = append(entries, text)
	}
	return strings.Join(entries, listSeparator)
}

// tomlValue returns the TOML value whose text form is text, or nil for the empty text.
func tomlValue(text string) any {
	if text == "" {
		return nil
	}
	if strings.Contains(text, listSeparator) {
		return strings.Split(text, listSeparator)
	}
	if number, err := strconv.ParseInt(text, 10, 64); err == nil && strconv.FormatInt(number, 10) == text {
		return number
	}
	if text == "true" || text == "false" {
		return text == "true"
	}
	return text
}
