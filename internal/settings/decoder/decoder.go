// Package decoder reads settings and configuration files. JSON text flows in; a message of the schema
// flows out, or one error that names every wrong field.
package decoder

import (
	"os"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// DecodeFile reads the file into the message.
func DecodeFile(path string, m proto.Message) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return errors.Wrapf(Decode(text, m), "%s", path)
}

// Decode reads the text into the message. Unknown fields are errors.
func Decode(text []byte, m proto.Message) error {
	return errors.Wrap(protojson.Unmarshal(text, m), "decode")
}
