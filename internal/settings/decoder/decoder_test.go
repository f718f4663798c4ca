package decoder_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/settings/decoder"
)

func TestDecodeNamesEveryInvalidField(t *testing.T) {
	cases := map[string]struct {
		text string
		want []string
	}{
		"good": {`{"services":[{"name":"s","leaves":[{"slots":6}]}]}`, nil},
		"several errors": {
			`{"services":[{"nam":"s","partition_count":"x","leaves":[{"slots":-1},{"slots":2,"slots":3}]}],"more":1}`,
			[]string{
				`services[0].nam: unknown field`,
				`services[0].partition_count: must be a whole number from 0 to 4294967295, not "x"`,
				`services[0].leaves[0].slots: must be a whole number from 0 to 4294967295, not -1`,
				`services[0].leaves[1].slots: given more than once`,
				`more: unknown field`,
			},
		},
		"two spellings": {
			`{"services":[{"partition_count":1,"partitionCount":2}]}`,
			[]string{`services[0].partitionCount: given more than once`},
		},
		"wrong types": {
			`{"services":{},"classes":[{"lateness":5,"kind":"FAST","worth":"much"}],"callers":["c"],"operators":null}`,
			[]string{
				`services: must be a list, not {}`,
				`classes[0].lateness: must be a duration such as "1.5s", not 5`,
				`classes[0].kind: must be one of REQUEST_KIND_IDEMPOTENT, REQUEST_KIND_NON_IDEMPOTENT, not "FAST"`,
				`classes[0].worth: must be a number, not "much"`,
				`callers[0]: must be an object, not "c"`,
				`operators: must not be null`,
			},
		},
		"syntax": {
			"{\n \"services\": [}", []string{`line 2, column 15: invalid character '}' looking for beginning of value`},
		},
		"truncated": {`{"services":`, []string{`line 1, column 12: unexpected end of JSON input`}},
		"value truncated within a character": {
			`{"services":"` + strings.Repeat("é", 30) + `"}`,
			[]string{`services: must be a list, not "` + strings.Repeat("é", 19) + "\uFFFD…"},
		},
		"not an object": {`[]`, []string{`the text: must be an object, not []`}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := decoder.Decode([]byte(c.text), &pb.ConfigFile{})
			var fieldErrors decoder.FieldErrors
			errors.As(err, &fieldErrors)
			is.Equal([]string(fieldErrors), c.want)
		})
	}
}

func FuzzDecodeConfigFile(f *testing.F) {
	fuzzDecode(f, func() proto.Message { return &pb.ConfigFile{} }, "../../../examples/*/config.json")
}

func FuzzDecodeNodeSettings(f *testing.F) {
	fuzzDecode(f, func() proto.Message { return &pb.NodeSettings{} }, "../../../examples/*/node-*.json")
}

// fuzzDecode checks that the decoder accepts only what protojson accepts, and decodes it to the same message.
func fuzzDecode(f *testing.F, empty func() proto.Message, pattern string) {
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		f.Fatalf("no seeds: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
		f.Add(text[:len(text)/2])
	}
	for _, seed := range []string{
		``, `null`, `{}`, `{"a":1}`, `{"timings":{"tenure":"1e9s"}}`, `{"services":[null]}`, `{"classes":[{"worth":"NaN"}]}`,
		`{"services":[{"leaves":[{"partitions":[1,"2",3.0,1e3,-1]}]}]}`, "\xff", `{"node_name":"\ud800"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		m := empty()
		if err := decoder.Decode(text, m); err != nil {
			is.New(t).True(utf8.ValidString(err.Error())) // the error can be sent in a protobuf string
			return
		}
		expected := empty()
		is := is.New(t)
		is.NoErr(protojson.Unmarshal(text, expected))
		is.True(proto.Equal(m, expected))
	})
}
