// Package layout_test checks which packages may import which others.
package layout_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	root   = "../.."
	module = "github.com/magnoliastep/magnoliastep/"
)

// visitImports calls visit for each import of each file that is part of a program.
func visitImports(t *testing.T, visit func(file, path string)) {
	is := is.New(t)
	for _, folder := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			file, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			for _, i := range parsed.Imports {
				imported, err := strconv.Unquote(i.Path.Value)
				if err != nil {
					return err
				}
				visit(filepath.ToSlash(file), imported)
			}
			return nil
		})
		is.NoErr(err)
	}
}

// Guards against a program that starts other processes, or loads plugins.
func TestNoProgramStartsProcesses(t *testing.T) {
	files := 0
	visitImports(t, func(file, path string) {
		files++
		if path == "os/exec" || path == "plugin" {
			t.Errorf("%s imports %s", file, path)
		}
	})
	is.New(t).True(files > 100) // the walk has found the source files
}

// Guards against imports from a lower layer to a higher one, and against a dependency on the platform's formats
// outside the platform folder and its command.
func TestPackagesImportOnlyLowerLayers(t *testing.T) {
	forbidden := map[string][]string{
		"internal/view/":      {"internal/config", "internal/leaf", "internal/entry", "internal/node", "internal/forward"},
		"internal/peer/":      {"internal/view", "internal/config", "internal/leaf", "internal/entry", "internal/forward"},
		"internal/upstream/":  {"internal/forward", "internal/node", "internal/entry", "platform"},
		"internal/records/":   {"internal/forward", "internal/node", "internal/entry", "platform"},
		"internal/discovery/": {"internal/forward", "internal/node", "internal/entry", "platform"},
		"internal/forward/":   {"internal/node", "internal/command", "internal/entry", "platform"},
		"internal/node/":      {"internal/command", "platform"},
		"platform/":           {"internal/command"},
	}
	visitImports(t, func(file, path string) {
		for folder, forbiddenImports := range forbidden {
			if !strings.HasPrefix(file, folder) {
				continue
			}
			for _, a := range forbiddenImports {
				if path == module+a || strings.HasPrefix(path, module+a+"/") {
					t.Errorf("%s imports %s", file, path)
				}
			}
		}
	})
}
