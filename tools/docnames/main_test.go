package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

var source = map[string]string{
	"README.md":       "`cache.Index` and `cache.Lost`, see `relay/cache/index.go` and `relay/cache/lost.go`.\n",
	"CONTRIBUTING.md": "One `cmd_NAME.go` a command, one `job_NAME.go` a job.\n",
	"docs/operate/settings.md": "`cache.size`, `cache.speed`, `other.Name`, `other/path`, `relay/cache/*.go`, `go test ./relay/...`\n" +
		"```\n`cache.Fenced`\n```\n",
	"docs/design.md": "`cache.Index.Find(now, Key) Hit`, `cache.Index.Lose()`, `Index.size`, `Index.weight`, `Source.Read`, `Source.Write`,\n" +
		"`cache.verify`, `cache.check`, `cache.Limit`, `FuzzIndex`, `FuzzNothing`\n",
	"relay/cmd_serve.go": "package main\n",
	"relay/cache/index.go": "package cache\n\nconst Limit = 1\n\ntype Index[K any] struct{ size int }\n\n" +
		"type Source interface{ Read() }\n\nfunc (i *Index[K]) Find() {}\n\nfunc verify() {}\n",
	"relay/cache/index_test.go":  "package cache_test\n\nfunc FuzzIndex() {}\n",
	"relay/settings/settings.go": "package settings\n\nvar key = \"cache.size\"\n",
}

func TestCheckReportsMissingNames(t *testing.T) {
	root := t.TempDir()
	for name, text := range source {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	missing, err := check(root)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"CONTRIBUTING.md:1: job_NAME.go: no file of this name",
		"README.md:1: cache.Lost: not declared in package cache",
		"README.md:1: relay/cache/lost.go: no such file or folder",
		"docs/design.md:1: cache.Index.Lose: type cache.Index has no such member",
		"docs/design.md:1: Index.weight: no type Index has such a member",
		"docs/design.md:1: Source.Write: no type Source has such a member",
		"docs/design.md:2: cache.check: not declared in package cache",
		"docs/design.md:2: FuzzNothing: no such test function",
		"docs/operate/settings.md:1: cache.speed: not declared in package cache",
	}
	if !slices.Equal(missing, want) {
		t.Errorf("got:\n%q\nwant:\n%q", missing, want)
	}
}
