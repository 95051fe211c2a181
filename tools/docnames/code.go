package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// settingsFolder is the folder whose string literals include the settings keys, which look like identifiers.
const settingsFolder = "relay/settings"

var settingsKey = regexp.MustCompile(`^[a-z]+\.[a-z]+$`)

// code contains the names that pages may use. Packages of the same name are merged.
type code struct {
	root      string
	folders   map[string]bool            // at the top level
	files     []string                   // base names
	packages  map[string]map[string]bool // "Name" and "Type.Member" by package
	types     map[string]bool
	members   map[string]bool // "Type.Member" of all packages
	functions map[string]bool
	settings  map[string]bool
}

func readCode(root string) (*code, error) {
	c := &code{
		root: root, folders: map[string]bool{}, packages: map[string]map[string]bool{}, types: map[string]bool{},
		members: map[string]bool{}, functions: map[string]bool{}, settings: map[string]bool{},
	}
	err := fs.WalkDir(os.DirFS(root), ".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil || path == ".":
			return err
		case entry.IsDir() && strings.HasPrefix(entry.Name(), "."):
			return fs.SkipDir
		case entry.IsDir():
			if !strings.Contains(path, "/") {
				c.folders[path] = true
			}
			return nil
		}
		c.files = append(c.files, entry.Name())
		if filepath.Ext(path) != ".go" {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, path), nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		c.addFile(file)
		if filepath.Dir(path) == settingsFolder && !strings.HasSuffix(path, "_test.go") {
			c.addSettings(file)
		}
		return nil
	})
	return c, err
}

func (c *code) addFile(file *ast.File) {
	name := strings.TrimSuffix(file.Name.Name, "_test")
	if c.packages[name] == nil {
		c.packages[name] = map[string]bool{}
	}
	names := c.packages[name]
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Recv != nil {
				c.addMember(names, baseType(d.Recv.List[0].Type), d.Name.Name)
				continue
			}
			names[d.Name.Name] = true
			c.functions[d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				switch s := spec.(type) {
				case *ast.ValueSpec:
					for _, n := range s.Names {
						names[n.Name] = true
					}
				case *ast.TypeSpec:
					names[s.Name.Name] = true
					c.types[s.Name.Name] = true
					c.addFields(names, s)
				}
			}
		}
	}
}

// addFields adds the fields of a struct or the methods of an interface; an embedded type counts by its name.
func (c *code) addFields(names map[string]bool, spec *ast.TypeSpec) {
	var fields *ast.FieldList
	switch t := spec.Type.(type) {
	case *ast.StructType:
		fields = t.Fields
	case *ast.InterfaceType:
		fields = t.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, n := range field.Names {
			c.addMember(names, spec.Name.Name, n.Name)
		}
		if len(field.Names) == 0 {
			c.addMember(names, spec.Name.Name, baseType(field.Type))
		}
	}
}

func (c *code) addMember(names map[string]bool, typeName, member string) {
	names[typeName+"."+member] = true
	c.members[typeName+"."+member] = true
}

func (c *code) addSettings(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil && settingsKey.MatchString(text) {
				c.settings[text] = true
			}
		}
		return true
	})
}

// baseType returns the name of a type without pointer, package and type parameters.
func baseType(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.StarExpr:
		return baseType(e.X)
	case *ast.IndexExpr:
		return baseType(e.X)
	case *ast.IndexListExpr:
		return baseType(e.X)
	case *ast.SelectorExpr:
		return e.Sel.Name
	case *ast.Ident:
		return e.Name
	}
	return ""
}
