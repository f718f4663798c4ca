// Package decoder decodes settings and configuration files from JSON into protobuf messages. An error names every
// unknown, repeated or invalid field with its path, for example services[2].leaves[0].slots. To find them all, the
// text is first checked against the schema field by field, because protojson stops at the first error.
package decoder

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

type (
	// FieldErrors has one line for each invalid field, which begins with the path of the field.
	FieldErrors []string
)

// DecodeFile decodes the file into the message.
func DecodeFile(path string, m proto.Message) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read file")
	}
	return errors.Wrapf(Decode(text, m), "%s", path)
}

// Decode decodes the text into the message. Any unknown, repeated or invalid field is an error; the message must
// not be used then.
func Decode(text []byte, m proto.Message) error {
	if err := checkSyntax(text); err != nil {
		return err
	}
	w := &walker{}
	w.checkObject(text, m.ProtoReflect().Descriptor(), "")
	if len(w.errors) > 0 {
		return w.errors
	}
	if err := protojson.Unmarshal(text, m); err != nil {
		return FieldErrors{strings.ToValidUTF8(trimProtoPrefix(err), "\uFFFD")}
	}
	return nil
}

// Error implements error.
func (e FieldErrors) Error() string {
	if len(e) == 1 {
		return e[0]
	}
	return "\n  " + strings.Join(e, "\n  ")
}

// checkSyntax returns an error with the line and column of the first syntax error.
func checkSyntax(text []byte) error {
	var raw json.RawMessage
	err := json.Unmarshal(text, &raw)
	if err == nil {
		return nil
	}
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return FieldErrors{err.Error()}
	}
	before := text[:min(int(syntax.Offset), len(text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return errors.WithSecondaryError(FieldErrors{
		position(line, column) + ": " + syntax.Error(),
	}, err)
}
