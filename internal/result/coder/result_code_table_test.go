package coder_test

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	schemaFile = "../../../proto/magnoliastep/v1/result.proto"
	tableFile  = "../../../docs/RESULT-CODES.md"
	tableHead  = `# Result codes

Every answer to a caller, an operator or a node carries one of these codes. The table is made from the
comments in proto/magnoliastep/v1/result.proto by

    go test ./internal/result/coder -update

and checked against them by the same test. 1 and 2 are answers; 1xx are rejections of a request that was not
understood or not allowed; 2xx say whether a request ran; 3xx are reasons why a partition is lacking; 4xx
answer operators; 5xx are faults of the program.

| code | name | meaning |
| --- | --- | --- |
`
)

// TestResultCodeTableMatchesSchema checks that docs/RESULT-CODES.md matches the comments of the schema; the flag
// -update rewrites the file.
func TestResultCodeTableMatchesSchema(t *testing.T) {
	is := is.New(t)
	update := flag.Lookup("update").Value.String() == "true"
	want := tableHead + strings.Join(tableRows(t), "")
	if update {
		is.NoErr(os.WriteFile(tableFile, []byte(want), 0o600))
	}
	got, err := os.ReadFile(tableFile)
	is.NoErr(err)
	is.Equal(string(got), want) // regenerate it with -update
}

// tableRows returns the rows of the table, one for each value of the enum.
func tableRows(t *testing.T) []string {
	t.Helper()
	is := is.New(t)
	schema, err := os.ReadFile(schemaFile)
	is.NoErr(err)
	value := regexp.MustCompile(`((?:  //[^\n]*\n)+)  RESULT_CODE_([A-Z_]+) = (\d+);`)
	var all []string
	for _, m := range value.FindAllStringSubmatch(string(schema), -1) {
		comment := strings.TrimSpace(strings.ReplaceAll(strings.ReplaceAll(m[1], "  //", ""), "\n", ""))
		all = append(all, fmt.Sprintf("| %s | %s | %s |\n", m[3], m[2], comment))
		is.Equal(fmt.Sprint(int(pb.ResultCode_value["RESULT_CODE_"+m[2]])), m[3]) // the generated code matches the schema
	}
	is.Equal(len(all), len(pb.ResultCode_name)) // every code has a comment
	return all
}

func TestMain(m *testing.M) {
	flag.Bool("update", false, "write docs/RESULT-CODES.md")
	flag.Parse()
	os.Exit(m.Run())
}
