// Package locator finds the lines of the values of a JSON text, so that a message about a value can say where it
// stands. Paths are written as Routes[3].Name; the path of the whole text is empty.
package locator

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

type (
	// Value is one value of the text.
	Value struct {
		// Path is unique unless an object has a member twice.
		Path string
		// Name is the name of the member that holds the value, or "" for an element of an array and the whole text.
		Name string
		// Pattern is Path without the positions, such as Routes[].Name, and Parent that of the object or array that holds
		// the value.
		Pattern, Parent string
		// Line is at least 1.
		Line int
		// Raw is the value as it stands in the text; it must not be changed.
		Raw []byte
	}

	// Locator holds where the values of one text stand.
	Locator struct {
		values []Value
		lines  map[string]int
	}

	// scan is the state of reading a text.
	scan struct {
		decoder *json.Decoder
		text    []byte
		// line is the line of the byte at offset.
		line   int
		offset int
		found  *Locator
	}
)

// New reads a text. The error of a text that is not JSON names the line.
func New(text []byte) (*Locator, error) {
	s := &scan{
		decoder: json.NewDecoder(bytes.NewReader(text)), text: text, line: 1, found: &Locator{lines: map[string]int{}},
	}
	s.decoder.UseNumber()
	if err := s.value(Value{}); err != nil {
		at := s.decoder.InputOffset()
		var syntax *json.SyntaxError
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			at = int64(len(text))
		case errors.As(err, &syntax):
			at = syntax.Offset
		}
		return nil, errors.Wrapf(err, "line %d", s.lineAt(at))
	}
	if _, err := s.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.Newf("line %d: bytes after the end of the text", s.lineAt(s.decoder.InputOffset()))
	}
	return s.found, nil
}

// Values returns all values in order.
func (l *Locator) Values() []Value { return l.values }

// Line returns the line of a path, or of the nearest value above it that exists.
func (l *Locator) Line(path string) int {
	for {
		if line, ok := l.lines[path]; ok {
			return line
		}
		if path == "" {
			return 1
		}
		path = parentOf(path)
	}
}

// value reads one value, whose place is known, and everything below it.
func (s *scan) value(v Value) error {
	before := s.decoder.InputOffset()
	token, err := s.decoder.Token()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	v.Line = s.lineAt(s.decoder.InputOffset())
	if _, exists := s.found.lines[v.Path]; !exists {
		s.found.lines[v.Path] = v.Line
	}
	i := len(s.found.values)
	s.found.values = append(s.found.values, v)
	switch token {
	case json.Delim('{'):
		err = s.members(v)
	case json.Delim('['):
		err = s.elements(v)
	}
	s.found.values[i].Raw = bytes.TrimLeft(s.text[before:s.decoder.InputOffset()], " \t\r\n:,")
	return err
}

func (s *scan) members(parent Value) error {
	for s.decoder.More() {
		token, err := s.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string) // the decoder lets only strings be names
		child := Value{Path: name, Pattern: name, Name: name, Parent: parent.Pattern}
		if parent.Path != "" {
			child.Path, child.Pattern = parent.Path+"."+name, parent.Pattern+"."+name
		}
		if err := s.value(child); err != nil {
			return err
		}
	}
	return s.end()
}

func (s *scan) elements(parent Value) error {
	pattern := parent.Pattern + "[]"
	for i := 0; s.decoder.More(); i++ {
		child := Value{Path: parent.Path + "[" + strconv.Itoa(i) + "]", Pattern: pattern, Parent: parent.Pattern}
		if err := s.value(child); err != nil {
			return err
		}
	}
	return s.end()
}

// end reads the end of an object or array.
func (s *scan) end() error {
	_, err := s.decoder.Token()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// lineAt returns the line of an offset, which must not be smaller than the one before.
func (s *scan) lineAt(offset int64) int {
	end := min(int(offset), len(s.text))
	if end > s.offset {
		s.line += bytes.Count(s.text[s.offset:end], []byte("\n"))
		s.offset = end
	}
	return s.line
}

// parentOf returns the path above a path.
func parentOf(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
