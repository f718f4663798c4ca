package decoder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"
)

const (
	maxExcerptBytes = 40
)

type (
	// walker checks one JSON text against the schema and collects an error for each invalid field.
	walker struct {
		errors FieldErrors
	}

	// member is one name/value pair of a JSON object.
	member struct {
		name  string
		value json.RawMessage
	}
)

// checkObject checks the members of one JSON object against the fields of the message.
func (w *walker) checkObject(raw json.RawMessage, d protoreflect.MessageDescriptor, path string) {
	members, ok := parseMembers(raw)
	if !ok {
		w.addError(path, "must be an object, not %s", excerpt(raw))
		return
	}
	seen := map[protoreflect.FieldNumber]bool{}
	for _, m := range members {
		field := findField(d, m.name)
		fieldPath := joinPath(path, m.name)
		switch {
		case field == nil:
			w.addError(fieldPath, "unknown field")
		case seen[field.Number()]:
			w.addError(fieldPath, "given more than once")
		default:
			seen[field.Number()] = true
			w.checkField(m.value, field, fieldPath)
		}
	}
}

func (w *walker) checkField(raw json.RawMessage, f protoreflect.FieldDescriptor, path string) {
	switch {
	case isNull(raw):
		w.addError(path, "must not be null")
	case f.IsMap():
		w.checkValue(raw, f, path)
	case f.IsList():
		w.checkList(raw, f, path)
	case isNestedMessage(f):
		w.checkObject(raw, f.Message(), path)
	default:
		w.checkValue(raw, f, path)
	}
}

func (w *walker) checkList(raw json.RawMessage, f protoreflect.FieldDescriptor, path string) {
	var elements []json.RawMessage
	if json.Unmarshal(raw, &elements) != nil {
		w.addError(path, "must be a list, not %s", excerpt(raw))
		return
	}
	for i, e := range elements {
		fieldPath := path + "[" + strconv.Itoa(i) + "]"
		switch {
		case isNull(e):
			w.addError(fieldPath, "must not be null")
		case isNestedMessage(f):
			w.checkObject(e, f.Message(), fieldPath)
		default:
			w.checkValue(json.RawMessage("["+string(e)+"]"), f, fieldPath)
		}
	}
}

// checkValue checks one value by decoding it with protojson as the only field of a message.
func (w *walker) checkValue(raw json.RawMessage, f protoreflect.FieldDescriptor, path string) {
	text := fmt.Sprintf(`{"%s":%s}`, f.Name(), raw)
	m := dynamicpb.NewMessage(f.ContainingMessage())
	if err := protojson.Unmarshal([]byte(text), m); err != nil {
		w.addError(path, "must be %s, not %s", expectedValue(f), excerpt(raw))
	}
}

func (w *walker) addError(path, format string, arguments ...any) {
	if path == "" {
		path = "the text"
	}
	w.errors = append(w.errors, path+": "+fmt.Sprintf(format, arguments...))
}

// parseMembers returns the members of a JSON object in order, including repeated ones, or false if it is not an object.
func parseMembers(raw json.RawMessage) ([]member, bool) {
	d := json.NewDecoder(bytes.NewReader(raw))
	if start, err := d.Token(); err != nil || start != json.Delim('{') {
		return nil, false
	}
	var members []member
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, false
		}
		m := member{name: fmt.Sprint(name)}
		if d.Decode(&m.value) != nil {
			return nil, false
		}
		members = append(members, m)
	}
	return members, true
}

func findField(d protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	if f := d.Fields().ByTextName(name); f != nil {
		return f
	}
	return d.Fields().ByJSONName(name)
}

// isNestedMessage reports whether the field holds a message of the schema. Durations and times do not count: they
// are strings in JSON.
func isNestedMessage(f protoreflect.FieldDescriptor) bool {
	return f.Message() != nil && !strings.HasPrefix(string(f.Message().FullName()), "google.protobuf.")
}

func isNull(raw json.RawMessage) bool {
	return string(bytes.TrimSpace(raw)) == "null"
}

// expectedValue describes the values that the field accepts.
func expectedValue(f protoreflect.FieldDescriptor) string {
	switch f.Kind() {
	case protoreflect.StringKind:
		return "a text"
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.DoubleKind, protoreflect.FloatKind:
		return "a number"
	case protoreflect.Uint32Kind:
		return "a whole number from 0 to 4294967295"
	case protoreflect.EnumKind:
		return "one of " + enumNames(f.Enum())
	case protoreflect.MessageKind:
		return expectedMessage(f.Message())
	default:
		return "a value of type " + f.Kind().String()
	}
}

func expectedMessage(d protoreflect.MessageDescriptor) string {
	switch d.Name() {
	case "Duration":
		return `a duration such as "1.5s"`
	case "Timestamp":
		return `a time such as "2026-01-02T03:04:05Z"`
	default:
		return "a " + string(d.Name())
	}
}

func enumNames(d protoreflect.EnumDescriptor) string {
	names := make([]string, 0, d.Values().Len())
	for i := 1; i < d.Values().Len(); i++ {
		names = append(names, string(d.Values().Get(i).Name()))
	}
	return strings.Join(names, ", ")
}

func excerpt(raw json.RawMessage) string {
	text := string(bytes.TrimSpace(raw))
	if len(text) > maxExcerptBytes {
		text = text[:maxExcerptBytes] + "…"
	}
	return strings.ToValidUTF8(text, "\uFFFD")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func position(line, column int) string {
	return fmt.Sprintf("line %d, column %d", line, column)
}

// trimProtoPrefix returns the error text of protojson without its prefix.
func trimProtoPrefix(err error) string {
	return regexp.MustCompile(`^proto:[\s\x{a0}]*`).ReplaceAllString(err.Error(), "")
}
