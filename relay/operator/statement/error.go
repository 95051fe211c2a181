package statement

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
)

// Error is an error in a statement, with its position, the problem, and either the expected input or a remedy.
type Error struct {
	Position
	// Field is the invalid field or column; empty if the error is not in one.
	Field    string
	Problem  string
	Expected string
	Remedy   string
}

// Error implements error.
func (e *Error) Error() string {
	remedy := e.Remedy
	if remedy == "" {
		remedy = "expected " + e.Expected
	}
	return fmt.Sprintf("line %d, column %d: %s; %s", e.Line, e.Column, e.Problem, remedy)
}

func (w Word) newError(problem, expected string) error {
	return &Error{Position: w.Position, Problem: problem, Expected: expected}
}

func (w Word) unexpected(expected string) error {
	return w.newError(fmt.Sprintf("unexpected %q", w.Text), expected)
}

const statementKeywords = "show, create, set, remove, drain, load or role"

// expectedAfter describes the expected input after a word of the language, by the last word before the error.
var expectedAfter = map[string]string{
	"show": "one of " + strings.Join(Tables, ", "), "since": "a time with its unit, such as 30m or 24h",
	"where": "a column", "and": "a column", "order": "by", "by": "a column", "like": "a pattern with * and ?",
	"limit": `a number of rows; put "limit" between double quotes to name the column`, "expect": "the configuration's version, a whole number", "command": "a UUID",
	"create": oneOfKinds, "set": oneOfKinds, "remove": oneOfKinds, "drain": "upstream", "load": "upstream", "role": "upstream",
}

var oneOfKinds = "one of " + strings.Join(Kinds, ", ")

func syntaxError(err error, text string) error {
	e := &Error{Position: Position{1, 1}, Problem: err.Error(), Expected: "a statement"}
	var parseErr participle.Error
	if !errors.As(err, &parseErr) {
		return e
	}
	e.Line, e.Column = max(1, parseErr.Position().Line), max(1, parseErr.Position().Column)
	problem, grammar, _ := strings.Cut(parseErr.Message(), " (expected ")
	switch {
	case strings.Contains(problem, "invalid input text"):
		e.Problem, e.Expected = "a character that is not allowed outside double quotes", "words, =, !=, <, >, commas and semicolons; put other characters between double quotes"
		return e
	case strings.Contains(problem, "<EOF>"):
		e.Problem = "unexpected end of the statement"
	default:
		e.Problem = strings.Replace(problem, "unexpected token", "unexpected", 1)
	}
	e.Expected = expectedInput(strings.Fields(text[:min(len(text), max(0, parseErr.Position().Offset))]), grammar)
	return e
}

// expectedInput describes the input that may follow the words before the error; the parser's own description is a whole grammar rule.
func expectedInput(before []string, grammar string) string {
	if len(before) == 0 {
		return statementKeywords
	}
	last := before[len(before)-1]
	_, verb := expectedAfter[before[max(0, len(before)-2)]]
	switch {
	case strings.Contains(grammar, "<operator>"):
		return "=, !=, <, > or like"
	case strings.HasSuffix(last, "=") || strings.HasSuffix(last, "<") || strings.HasSuffix(last, ">"):
		return "a value"
	case strings.HasSuffix(last, ","):
		return "a name or value after the comma"
	case strings.HasSuffix(last, ";"):
		return "create, set, remove, drain, load, role, expect or command"
	case expectedAfter[last] != "":
		return expectedAfter[last]
	case verb && slices.Contains(Kinds, last):
		return "the object's name"
	case before[0] == "show":
		return "since, where, order by or limit, in this order"
	default:
		return `FIELD=VALUE, ";", expect or command`
	}
}
