package locator_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/settings/locator"
)

// An operator must be led to the line that is wrong, also when the field that is wrong is missing.
func TestLineNamesValueOrNearestAbove(t *testing.T) {
	is := is.New(t)
	l, err := locator.New([]byte("{\n\"Routes\": [\n {\"Name\": \"a\"},\n {\n  \"Name\": \"b\"\n }\n]\n}\n"))
	is.NoErr(err)
	is.Equal(l.Line("Routes[0].Name"), 3)
	is.Equal(l.Line("Routes[1].Name"), 5)
	is.Equal(l.Line("Routes[1].Host"), 4) // missing: the route
	is.Equal(l.Line("Routes[7].Host"), 2) // missing: the routes
	is.Equal(l.Line("Limits"), 1)
	is.Equal(l.Values()[2], locator.Value{
		Path: "Routes[0]", Pattern: "Routes[]", Parent: "Routes", Line: 3, Raw: []byte(`{"Name": "a"}`),
	})
	is.Equal(l.Values()[3], locator.Value{
		Path: "Routes[0].Name", Pattern: "Routes[].Name", Name: "Name", Parent: "Routes[]", Line: 3, Raw: []byte(`"a"`),
	})
}

func TestTextThatIsNoJSONNamesLine(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", "line 1"},
		{"cut in an object", "{\n\"a\": 1,\n", "line 3"},
		{"cut in an array", "{\n\"a\": [1,\n2", "line 3"},
		{"wrong byte", "{\n\n\"a\": ?}", "line 3"},
		{"two texts", "{}\n{}", "line 2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := locator.New([]byte(c.text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}
