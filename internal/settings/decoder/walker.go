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
	maxShownBytes = 40
)

type (
	// walker collects the wrong fields of one text.
	walker struct {
		wrong FieldErrors
	}

	// member is one name and value of a JSON object.
	member struct {
		name  string
		value json.RawMessage
	}
)

// object checks the members of one JSON object against the message.
func (w *walker) object(raw json.RawMessage, d protoreflect.MessageDescriptor, path string) {
	members, ok := membersOf(raw)
	if !ok {
		w.add(path, "must be an object, not %s", shown(raw))
		return
	}
	seen := map[protoreflect.FieldNumber]bool{}
	for _, m := range members {
		field := fieldOf(d, m.name)
		at := join(path, m.name)
		switch {
		case field == nil:
			w.add(at, "unknown field")
		case seen[field.Number()]:
			w.add(at, "given more than once")
		default:
			seen[field.Number()] = true
			w.field(m.value, field, at)
		}
	}
}

func (w *walker) field(raw json.RawMessage, f protoreflect.FieldDescriptor, path string) {
	switch {
	case isNull(raw):
		w.add(path, "must not be null")
	case f.IsMap():
		w.trial(raw, f, path)
	case f.IsList():
		w.list(raw, f, path)
	case isStructure(f):
		w.object(raw, f.Message(), path)
	default:
		w.trial(raw, f, path)
	}
}

func (w *walker) list(raw json.RawMessage, f protoreflect.FieldDescriptor, path string) {
	var elements []json.RawMessage
	if json.Unmarshal(raw, &elements) != nil {
		w.add(path, "must be a list, not %s", shown(raw))
		return
	}
	for i, e := range elements {
		at := path + "[" + strconv.Itoa(i) + "]"
		switch {
		case isNull(e):
			w.add(at, "must not be null")
		case isStructure(f):
			w.object(e, f.Message(), at)
		default:
			w.trial(json.RawMessage("["+string(e)+"]"), f, at)
		}
	}
}

// trial decodes one value by the library, alone in a message.
func (w *walker) trial(raw json.RawMessage, f protoreflect.FieldDescriptor, path string) {
	text := fmt.Sprintf(`{"%s":%s}`, f.Name(), raw)
	m := dynamicpb.NewMessage(f.ContainingMessage())
	if err := protojson.Unmarshal([]byte(text), m); err != nil {
		w.add(path, "must be %s, not %s", expected(f), shown(raw))
	}
}

func (w *walker) add(path, format string, arguments ...any) {
	if path == "" {
		path = "the text"
	}
	w.wrong = append(w.wrong, path+": "+fmt.Sprintf(format, arguments...))
}

// membersOf returns the members in order, repeated ones included.
func membersOf(raw json.RawMessage) ([]member, bool) {
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

func fieldOf(d protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	if f := d.Fields().ByTextName(name); f != nil {
		return f
	}
	return d.Fields().ByJSONName(name)
}

// isStructure tells whether the field holds a message of the schema; durations and times are texts.
func isStructure(f protoreflect.FieldDescriptor) bool {
	return f.Message() != nil && !strings.HasPrefix(string(f.Message().FullName()), "google.protobuf.")
}

func isNull(raw json.RawMessage) bool {
	return string(bytes.TrimSpace(raw)) == "null"
}

// expected says in words what the field takes.
func expected(f protoreflect.FieldDescriptor) string {
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
		return messageText(f.Message())
	default:
		return "a value of type " + f.Kind().String()
	}
}

func messageText(d protoreflect.MessageDescriptor) string {
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

func shown(raw json.RawMessage) string {
	text := string(bytes.TrimSpace(raw))
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes] + "…"
	}
	return strings.ToValidUTF8(text, "\uFFFD")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func position(line, column int) string {
	return fmt.Sprintf("line %d, column %d", line, column)
}

// plain returns the library's error without its prefix.
func plain(err error) string {
	return regexp.MustCompile(`^proto:[\s\x{a0}]*`).ReplaceAllString(err.Error(), "")
}
