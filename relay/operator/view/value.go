package view

import (
	"cmp"
	"fmt"
	"math"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/operator/statement"
)

// jsonValue converts a value to a string, number, boolean or nil for JSON.
func jsonValue(value any) any {
	switch v := value.(type) {
	case nil, string, bool, int, int64, uint64:
		return v
	case float64:
		// JSON cannot represent these values; encoding one would fail the whole response.
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return nil
		}
		return v
	case time.Time:
		return v.UTC().Format(time.RFC3339Nano)
	case []string:
		return strings.Join(v, ",")
	case fmt.Stringer:
		return v.String()
	}
	switch v := reflect.ValueOf(value); {
	case v.CanInt():
		return v.Int()
	case v.CanUint():
		return v.Uint()
	case v.CanFloat():
		return v.Float()
	case v.Kind() == reflect.String:
		return v.String()
	}
	return fmt.Sprint(value)
}

// toFloat returns a numeric value as a float, and a duration in seconds; false for other types.
func toFloat(value any) (float64, bool) {
	switch v := value.(type) {
	case nil, time.Time:
		return 0, false
	case time.Duration:
		return v.Seconds(), true
	}
	switch v := reflect.ValueOf(value); {
	case v.CanInt():
		return float64(v.Int()), true
	case v.CanUint():
		return float64(v.Uint()), true
	case v.CanFloat():
		return v.Float(), true
	}
	return 0, false
}

// compare orders two values of a column; nil sorts first.
func compare(a, b any) int {
	if a == nil || b == nil {
		return cmp.Compare(boolInt(a != nil), boolInt(b != nil))
	}
	if x, ok := toFloat(a); ok {
		if y, ok := toFloat(b); ok {
			return cmp.Compare(x, y)
		}
	}
	if x, ok := a.(time.Time); ok {
		if y, ok := b.(time.Time); ok {
			return x.Compare(y)
		}
	}
	return cmp.Compare(fmt.Sprint(jsonValue(a)), fmt.Sprint(jsonValue(b)))
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// parseAs parses the text of a condition as the type of sample, a value of the column. It returns the text itself if that fails, so
// that the values are compared as text.
func parseAs(text string, sample any) any {
	switch sample.(type) {
	case time.Duration:
		if d, err := time.ParseDuration(text); err == nil {
			return d
		}
	case time.Time:
		if t, err := time.Parse(time.RFC3339, text); err == nil {
			return t
		}
	default:
		if _, ok := toFloat(sample); ok {
			if n, err := strconv.ParseFloat(text, 64); err == nil {
				return n
			}
		}
	}
	return text
}

func matches(where []statement.Condition, row Row) bool {
	for _, c := range where {
		if !matchesCondition(c, row[c.Column.Text]) {
			return false
		}
	}
	return true
}

func matchesCondition(c statement.Condition, value any) bool {
	if value == nil {
		value = ""
	}
	if list, ok := value.([]string); ok && (c.Operator == "=" || c.Operator == "!=") && !strings.Contains(c.Value, ",") && c.Value != "" {
		return containsText(list, c.Value) == (c.Operator == "=")
	}
	switch order := compare(value, parseAs(c.Value, value)); c.Operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case ">":
		return order > 0
	}
	return likePattern(c.Value).MatchString(fmt.Sprint(jsonValue(value)))
}

func containsText(list []string, text string) bool {
	for _, entry := range list {
		if entry == text {
			return true
		}
	}
	return false
}

// likePattern compiles a like pattern: * matches any text and ? any character. In path.Match, * would stop at a slash, which service
// paths contain.
func likePattern(text string) *regexp.Regexp {
	quoted := regexp.QuoteMeta(text)
	quoted = strings.ReplaceAll(strings.ReplaceAll(quoted, `\*`, `.*`), `\?`, `.`)
	return regexp.MustCompile(`(?s)^` + quoted + `$`)
}
