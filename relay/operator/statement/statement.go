package statement

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// MaxStatementBytes is the maximum length of a statement in bytes.
const MaxStatementBytes = 64 << 10

// MaxRows is the maximum number of rows in the limit clause of a query.
const MaxRows = 100_000

// Statement is either a query or a command; the other field is nil.
type Statement struct {
	Query   *Query
	Command *Command
}

// Query selects rows of one table.
type Query struct {
	Table Word
	// Arguments are the assistant and the client account of show explain; empty for other tables.
	Arguments []Word
	// Columns are the selected columns; empty means all.
	Columns []Word
	// Since is the maximum age of rows, for the audit table only; 0 means any age.
	Since time.Duration
	Where []Condition
	Order []SortKey
	// Limit is the maximum number of rows; 0 means all.
	Limit int
}

// Condition compares a column with a value; Operator is =, !=, <, > or like.
type Condition struct {
	Column   Word
	Operator string
	Value    string
}

// SortKey is a column by which rows are ordered.
type SortKey struct {
	Column     Word
	Descending bool
}

// Command is a list of changes that are applied atomically.
type Command struct {
	Changes []Change
	// Expected is the configuration version that the changes are based on; nil if the statement has no expect clause.
	Expected *uint64
	// ID is the UUID of the command; empty if the statement has no command clause.
	ID string
}

// Verb is the keyword of a change.
type Verb string

// The verbs.
const (
	Create Verb = "create"
	Set    Verb = "set"
	Remove Verb = "remove"
	Drain  Verb = "drain"
	Load   Verb = "load"
	Role   Verb = "role"
)

// Change is one change of a configuration object; drain, load and role set fields of an upstream.
type Change struct {
	Position
	Verb   Verb
	Kind   Word
	Name   Word
	Fields []Assignment
	// Role is the new role of an engine; set for the verb role only.
	Role Word
}

// Assignment sets a field; only list fields take more than one value.
type Assignment struct {
	Field  Word
	Values []string
}

// Word is a word or the text of a quoted string in a statement, with its position.
type Word struct {
	Position
	Text string
}

// Position is a position in a statement; line and column count from 1.
type Position struct {
	Line   int
	Column int
}

// Tables lists the table names that show accepts.
var Tables = []string{"vms", "upstreams", "models", "accounts", "assistants", "rules", "operators", "streams", "leases", "versions", "voters", "audit", "explain"}

// Kinds lists the kinds of objects that a change accepts.
var Kinds = []string{"upstream", "account", "assistant", "rule", "operator"}

// Roles lists the roles of an engine.
var Roles = []string{"prefill", "decode", "both"}

// Parse parses one statement; errors are *Error.
func Parse(text string) (Statement, error) {
	if len(text) > MaxStatementBytes {
		return Statement{}, &Error{Position: Position{1, 1}, Problem: "the statement is longer than 64 KiB", Expected: "at most 64 KiB; split it into several statements"}
	}
	tree, err := parser.ParseString("", text)
	if err != nil {
		return Statement{}, syntaxError(err, text)
	}
	if tree.Query != nil {
		q, err := tree.Query.resolve()
		return Statement{Query: q}, err
	}
	c, err := tree.Command.resolve()
	return Statement{Command: c}, err
}

func (w word) resolve() Word {
	return Word{Position{w.Pos.Line, w.Pos.Column}, w.Text}
}

func resolveAll(words []word) []Word {
	var list []Word
	for _, w := range words {
		list = append(list, w.resolve())
	}
	return list
}

func (q *query) resolve() (*Query, error) {
	r := &Query{Table: q.Table.resolve(), Columns: resolveAll(q.Words)}
	if !slices.Contains(Tables, r.Table.Text) {
		return nil, r.Table.unexpected("one of " + strings.Join(Tables, ", "))
	}
	if r.Table.Text == "explain" {
		if len(r.Columns) < 2 {
			return nil, r.Table.newError("explain needs an assistant and an account", "show explain ASSISTANT ACCOUNT")
		}
		r.Arguments, r.Columns = r.Columns[:2], r.Columns[2:]
	}
	if err := q.resolveSince(r); err != nil {
		return nil, err
	}
	for _, c := range q.Where {
		r.Where = append(r.Where, Condition{Column: c.Field.resolve(), Operator: c.Operator, Value: c.Value.Text})
	}
	for _, s := range q.Order {
		r.Order = append(r.Order, SortKey{Column: s.Field.resolve(), Descending: s.Descending})
	}
	if q.Limit != nil {
		n, err := strconv.Atoi(q.Limit.Text)
		if err != nil || n < 1 || n > MaxRows {
			return nil, q.Limit.resolve().unexpected("a number of rows from 1 to " + strconv.Itoa(MaxRows))
		}
		r.Limit = n
	}
	return r, nil
}

func (q *query) resolveSince(r *Query) error {
	if q.Since == nil {
		return nil
	}
	w := q.Since.resolve()
	if r.Table.Text != "audit" {
		return w.newError("since applies to show audit only", "where with a column of the table")
	}
	d, err := time.ParseDuration(w.Text)
	if err != nil || d <= 0 {
		return w.unexpected("a time with its unit, such as 30m or 24h")
	}
	r.Since = d
	return nil
}

func (c *command) resolve() (*Command, error) {
	r := &Command{}
	for _, change := range c.Changes {
		resolved, err := change.resolve()
		if err != nil {
			return nil, err
		}
		r.Changes = append(r.Changes, resolved)
	}
	if c.Expect != nil {
		version, err := strconv.ParseUint(c.Expect.Text, 10, 64)
		if err != nil {
			return nil, c.Expect.resolve().unexpected("the configuration's version, a whole number")
		}
		r.Expected = &version
	}
	if c.ID != nil {
		id, err := uuid.Parse(c.ID.Text)
		if err != nil {
			return nil, c.ID.resolve().unexpected("a UUID")
		}
		r.ID = id.String()
	}
	return r, nil
}

func (c *change) resolve() (Change, error) {
	r := Change{Position: Position{c.Pos.Line, c.Pos.Column}, Verb: Verb(c.Verb), Kind: c.Kind.resolve(), Name: c.Name.resolve()}
	for _, f := range c.Fields {
		a := Assignment{Field: f.Field.resolve()}
		for _, v := range f.Values {
			a.Values = append(a.Values, v.Text)
		}
		r.Fields = append(r.Fields, a)
	}
	words := resolveAll(c.Words)
	if r.Verb == Role && len(words) > 0 {
		r.Role, words = words[0], words[1:]
	}
	if len(words) > 0 {
		if r.Verb == Remove || r.Verb == Drain || r.Verb == Role {
			return r, words[0].unexpected(`";", expect or command`)
		}
		return r, words[0].unexpected(`FIELD=VALUE, ";", expect or command`)
	}
	return r, r.validate()
}

// validate checks the kind of object and the fields that the verb requires.
func (c *Change) validate() error {
	switch {
	case !slices.Contains(Kinds, c.Kind.Text):
		return c.Kind.unexpected("one of " + strings.Join(Kinds, ", "))
	case (c.Verb == Drain || c.Verb == Load || c.Verb == Role) && c.Kind.Text != "upstream":
		return c.Kind.unexpected("upstream")
	case (c.Verb == Create || c.Verb == Set || c.Verb == Load) && len(c.Fields) == 0:
		return c.Name.newError(string(c.Verb)+" needs at least one field", "FIELD=VALUE after the name")
	case (c.Verb == Remove || c.Verb == Drain || c.Verb == Role) && len(c.Fields) > 0:
		return c.Fields[0].Field.newError(string(c.Verb)+" takes no fields", "set "+c.Kind.Text+" "+c.Name.Text+" FIELD=VALUE to change fields")
	case c.Verb == Role && c.Role.Text == "":
		return c.Name.newError("role needs the new role of the engine", "one of "+strings.Join(Roles, ", ")+" after the name")
	case c.Verb == Role && !slices.Contains(Roles, c.Role.Text):
		return c.Role.unexpected("one of " + strings.Join(Roles, ", "))
	}
	seen := map[string]bool{}
	for _, f := range c.Fields {
		if seen[f.Field.Text] {
			return f.Field.newError(f.Field.Text+" is given twice", "each field once")
		}
		seen[f.Field.Text] = true
		if c.Verb == Load && !slices.Contains([]string{"model", "adapter", "weights"}, f.Field.Text) {
			return f.Field.unexpected("one of model, adapter, weights")
		}
	}
	return nil
}
