// Package decoder reads settings and configuration files. JSON text flows in; a message of the schema
// flows out, or one error that names every unknown, repeated or wrong field with its path, for example
// services[2].leaves[0].slots. The text is walked along the schema first, because the decoder of the
// library stops at the first error.
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
	// FieldErrors has one line for each wrong field, beginning with its path.
	FieldErrors []string
)

// DecodeFile reads the file into the message.
func DecodeFile(path string, m proto.Message) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read file")
	}
	return errors.Wrapf(Decode(text, m), "%s", path)
}

// Decode reads the text into the message. Every unknown, repeated or wrong field is an error; the
// message is not to be used then.
func Decode(text []byte, m proto.Message) error {
	if err := checkSyntax(text); err != nil {
		return err
	}
	w := &walker{}
	w.object(text, m.ProtoReflect().Descriptor(), "")
	if len(w.wrong) > 0 {
		return w.wrong
	}
	if err := protojson.Unmarshal(text, m); err != nil {
		return FieldErrors{strings.ToValidUTF8(plain(err), "\uFFFD")}
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

// checkSyntax names the line and column of the first syntax error.
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
