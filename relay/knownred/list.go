package knownred

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// fileName is the list, in the folder that holds the modules.
const fileName = "KNOWN-RED.txt"

// Patterns prints the specs of a package that the list names in lines "PACKAGE: TEXT OF THE SPEC", and returns patterns that match
// their texts. It returns none if CHICORY_STRICT is set.
func Patterns(t *testing.T, pkg string) []string {
	t.Helper()
	if os.Getenv("CHICORY_STRICT") != "" {
		return nil
	}
	list, err := readList()
	if err != nil {
		t.Fatal(err)
	}
	var patterns []string
	for line := range strings.Lines(list) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), pkg+": "); ok {
			fmt.Println("KNOWN RED:", name)
			patterns = append(patterns, regexp.QuoteMeta(name)+"$")
		}
	}
	return patterns
}

// readList returns the list, which is above the folder of the package under test; a missing list is empty.
func readList() (string, error) {
	folder, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; folder != filepath.Dir(folder); folder = filepath.Dir(folder) {
		text, err := os.ReadFile(filepath.Join(folder, fileName))
		if !os.IsNotExist(err) {
			return string(text), err
		}
	}
	return "", nil
}
