package operator

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/papayacove/papayacove/internal/config"
)

const (
	listSeparator = ","
	valueBound    = "an integer, a string, true, false or a list of strings without commas"
)

// textOf returns the text form of a TOML value; nothing gives the empty text.
func textOf(file, key string, value any, problems *config.Problems) string {
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
		problems.Add(file, key, fmt.Sprint(value), valueBound)
		return ""
	}
}

func listText(file, key string, list []any, problems *config.Problems) string {
	entries := make([]string, 0, len(list))
	for _, entry := range list {
		text, isText := entry.(string)
		if !isText || strings.Contains(text, listSeparator) {
			problems.Add(file, key, fmt.Sprint(entry), valueBound)
			continue
		}
		entries = append(entries, text)
	}
	return strings.Join(entries, listSeparator)
}

// nativeOf returns the TOML value whose text form is text; nil for the empty text.
func nativeOf(text string) any {
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
