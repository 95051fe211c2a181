package statement

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The types below define the grammar in their participle tags; the parser fills them in.

type root struct {
	Query   *query   `parser:"@@"`
	Command *command `parser:"| @@"`
}

type query struct {
	Table word        `parser:"'show':Word @@"`
	Words []word      `parser:"( (?! 'since':Word | 'where':Word | 'order':Word | 'limit':Word) @@ ( ',' @@ | (?! 'since':Word | 'where':Word | 'order':Word | 'limit':Word) @@ )* )?"`
	Since *word       `parser:"( 'since':Word @@ )?"`
	Where []condition `parser:"( 'where':Word @@ ( 'and':Word @@ )* )?"`
	Order []sortKey   `parser:"( 'order':Word 'by':Word @@ ( ',' @@ )* )?"`
	Limit *word       `parser:"( 'limit':Word @@ )?"`
}

type condition struct {
	Field    word   `parser:"@@"`
	Operator string `parser:"@( Operator | 'like':Word )"`
	Value    word   `parser:"@@"`
}

type sortKey struct {
	Field      word `parser:"@@"`
	Descending bool `parser:"( @'desc':Word | 'asc':Word )?"`
}

type command struct {
	Changes []change `parser:"@@ ( ';' @@ )* ';'?"`
	Expect  *word    `parser:"( 'expect':Word @@ )?"`
	ID      *word    `parser:"( 'command':Word @@ )?"`
}

type change struct {
	Pos    lexer.Position
	Verb   string       `parser:"@( 'create':Word | 'set':Word | 'remove':Word | 'drain':Word | 'load':Word | 'role':Word )"`
	Kind   word         `parser:"@@"`
	Name   word         `parser:"@@"`
	Fields []assignment `parser:"@@*"`
	// Words are the remaining words of the change: the new role, or misplaced words. The grammar accepts those so that resolve can
	// return a clearer error than the parser.
	Words []word `parser:"( (?! 'expect':Word | 'command':Word) @@ )*"`
}

type assignment struct {
	Field  word   `parser:"@@ '='"`
	Values []word `parser:"@@ ( ',' @@ )*"`
}

type word struct {
	Pos  lexer.Position
	Text string `parser:"@( Word | String )"`
}

var parser = participle.MustBuild[root](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Word", Pattern: `[A-Za-z0-9_./:\[\]*?%+@-]+`},
		{Name: "Operator", Pattern: `!=|[=<>]`},
		{Name: "Punctuation", Pattern: `[;,]`},
		{Name: "Space", Pattern: `\s+`},
	})),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)
