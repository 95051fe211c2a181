package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

var (
	codeSpan   = regexp.MustCompile("`([^`]+)`")
	word       = regexp.MustCompile(`[\w./*-]+`)
	fileName   = regexp.MustCompile(`^[\w.*-]*\w\.(go|sh|proto|json|jsonc|toml|md)$`)
	sourceFile = regexp.MustCompile(`\.(go|sh|proto)$`)
	identifier = regexp.MustCompile(`^[A-Za-z_]\w*(\.[A-Za-z_]\w*)+$`)
	testName   = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]\w*$`)
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: docnames ROOT")
		os.Exit(2)
	}
	missing, err := check(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "docnames:", err)
		os.Exit(2)
	}
	for _, line := range missing {
		fmt.Println(line)
	}
	if len(missing) > 0 {
		os.Exit(1)
	}
}

// check returns a line "PAGE:LINE: NAME: reason" for each name in the pages below root that does not exist.
func check(root string) ([]string, error) {
	code, err := readCode(root)
	if err != nil {
		return nil, err
	}
	pages, err := findPages(root)
	if err != nil {
		return nil, err
	}
	var missing []string
	for _, page := range pages {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			return nil, err
		}
		inCodeBlock := false
		for i, line := range strings.Split(string(text), "\n") {
			if strings.HasPrefix(strings.TrimSpace(line), "```") {
				inCodeBlock = !inCodeBlock
			}
			if inCodeBlock {
				continue
			}
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				for _, name := range word.FindAllString(span[1], -1) {
					if reason := code.lookup(name); reason != "" {
						missing = append(missing, fmt.Sprintf("%s:%d: %s: %s", page, i+1, name, reason))
					}
				}
			}
		}
	}
	return missing, nil
}

func findPages(root string) ([]string, error) {
	pages := []string{"CONTRIBUTING.md", "README.md"}
	err := fs.WalkDir(os.DirFS(root), "docs", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && filepath.Ext(path) == ".md" {
			pages = append(pages, path)
		}
		return err
	})
	return pages, err
}

// lookup returns why name does not exist, or "" if it exists or names neither a file nor an identifier of the repository.
func (c *code) lookup(name string) string {
	name = strings.TrimSuffix(strings.TrimPrefix(name, "./"), "/...")
	folder, _, isPath := strings.Cut(name, "/")
	switch {
	case isPath && c.folders[folder]:
		if found, err := filepath.Glob(filepath.Join(c.root, name)); err != nil || len(found) == 0 {
			return "no such file or folder"
		}
	case isPath:
	case fileName.MatchString(name):
		// Capitals in the name of a source file stand for any text, as in cmd_NAME.go.
		pattern := regexp.MustCompile(`[A-Z]+`).ReplaceAllString(name, "*")
		matches := func(file string) bool { ok, _ := filepath.Match(pattern, file); return ok }
		if sourceFile.MatchString(name) && !slices.ContainsFunc(c.files, matches) {
			return "no file of this name"
		}
	case testName.MatchString(name):
		if !c.functions[name] {
			return "no such test function"
		}
	case identifier.MatchString(name) && !c.settings[name]:
		return c.lookupIdentifier(strings.Split(name, "."))
	}
	return ""
}

// lookupIdentifier looks up package.Name, package.Type.Member or Type.Member.
func (c *code) lookupIdentifier(parts []string) string {
	if names, ok := c.packages[parts[0]]; ok {
		if !names[parts[1]] {
			return "not declared in package " + parts[0]
		}
		if len(parts) > 2 && !names[parts[1]+"."+parts[2]] {
			return fmt.Sprintf("type %s.%s has no such member", parts[0], parts[1])
		}
		return ""
	}
	if c.types[parts[0]] && !c.members[parts[0]+"."+parts[1]] {
		return "no type " + parts[0] + " has such a member"
	}
	return ""
}
