package settings

import (
	"bufio"
	"io"
	"strings"
)

// Field describes one setting: its path, its meaning and its default as written in the file.
type Field struct {
	Path    string
	Comment string
	Default string
}

// Fields returns every setting in the order in which Print writes them.
func Fields() []Field {
	list := make([]Field, 0, len(fields))
	for _, f := range fields {
		list = append(list, Field{Path: f.path, Comment: f.comment, Default: f.format(Default())})
	}
	return list
}

// Print writes every setting with its comment and its default as JSON with comments.
func Print(w io.Writer) error {
	out := bufio.NewWriter(w)
	writeLine := func(text string) { _, _ = out.WriteString(text + "\n") } // Flush returns the writer's first error.
	writeLine("{")
	group := ""
	for _, f := range Fields() {
		parent, name, nested := strings.Cut(f.Path, ".")
		if !nested {
			parent, name = "", f.Path
		}
		if parent != group && group != "" {
			writeLine("  },")
		}
		if parent != group && parent != "" {
			writeLine(`  "` + parent + `": {`)
		}
		group = parent
		indent := "  "
		if nested {
			indent = "    "
		}
		writeLine(indent + "// " + f.Comment)
		writeLine(indent + `"` + name + `": ` + f.Default + ",")
	}
	if group != "" {
		writeLine("  },")
	}
	writeLine("}")
	return out.Flush()
}
