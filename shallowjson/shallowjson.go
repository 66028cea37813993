// Package shallowjson takes JSON objects and arrays apart one level deep, without decoding what
// they hold.
//
// encoding/json refuses a whole document if one value in it nests too deeply or can't be
// decoded. Where others write parts of a document, each part is taken out here and decoded by
// itself, so that a part that can't be decoded doesn't cost the others.
package shallowjson

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// ErrSyntax reports bytes that are no JSON object or array.
var ErrSyntax = errors.New("shallowjson: syntax error")

// Members returns the members of an object by name. If a name occurs more than once, the last
// member with it counts. The values share memory with raw.
func Members(raw []byte) (map[string]json.RawMessage, error) {
	s := scanner{raw: raw}
	members := make(map[string]json.RawMessage)
	err := s.list('{', '}', func() error {
		var name string
		if err := json.Unmarshal(s.value(), &name); err != nil {
			return errors.Wrap(ErrSyntax, "a member has no name")
		}
		if !s.accept(':') {
			return errors.Wrap(ErrSyntax, "a member has no value")
		}
		value := s.value()
		if len(value) == 0 {
			return errors.Wrap(ErrSyntax, "a member has no value")
		}
		members[name] = value
		return nil
	})
	return members, err
}

// Elements returns the elements of an array, or none for null. They share memory with raw.
func Elements(raw []byte) ([]json.RawMessage, error) {
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		return nil, nil
	}
	s := scanner{raw: raw}
	var elements []json.RawMessage
	err := s.list('[', ']', func() error {
		value := s.value()
		if len(value) == 0 {
			return errors.Wrap(ErrSyntax, "an element is missing")
		}
		elements = append(elements, value)
		return nil
	})
	return elements, err
}

// Decode decodes a member into out. It leaves out unchanged if there is no such member.
func Decode(members map[string]json.RawMessage, name string, out any) error {
	raw, ok := members[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

// scanner reads raw from the position next.
type scanner struct {
	raw  []byte
	next int
}

// list reads a list between two brackets that fills raw. item reads one item.
func (s *scanner) list(opening, closing byte, item func() error) error {
	if !s.accept(opening) {
		return errors.Wrapf(ErrSyntax, "no %q", opening)
	}
	for more := !s.accept(closing); more; {
		if err := item(); err != nil {
			return err
		}
		if more = s.accept(','); !more && !s.accept(closing) {
			return errors.Wrapf(ErrSyntax, "no %q", closing)
		}
	}
	if s.skipSpace(); s.next != len(s.raw) {
		return errors.Wrapf(ErrSyntax, "more bytes after %q", closing)
	}
	return nil
}

// accept reads a byte if it is the given one. It skips white space before it.
func (s *scanner) accept(b byte) bool {
	s.skipSpace()
	if s.next == len(s.raw) || s.raw[s.next] != b {
		return false
	}
	s.next++
	return true
}

func (s *scanner) skipSpace() {
	for s.next < len(s.raw) && isSpace(s.raw[s.next]) {
		s.next++
	}
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\n' || b == '\r' }

// value reads one value, of any depth, and returns its bytes. They are not checked further.
func (s *scanner) value() json.RawMessage {
	s.skipSpace()
	start := s.next
	for depth := 0; s.next < len(s.raw); {
		switch b := s.raw[s.next]; b {
		case '"':
			s.skipString()
			if depth == 0 {
				return s.raw[start:s.next]
			}
		case '{', '[':
			depth++
			s.next++
		case '}', ']':
			if depth == 0 {
				return s.raw[start:s.next]
			}
			depth--
			s.next++
			if depth == 0 {
				return s.raw[start:s.next]
			}
		default:
			if depth == 0 && (b == ',' || b == ':' || isSpace(b)) {
				return s.raw[start:s.next]
			}
			s.next++
		}
	}
	return s.raw[start:s.next]
}

// skipString reads a string up to its closing quote, or to the end of raw.
func (s *scanner) skipString() {
	for s.next++; s.next < len(s.raw); s.next++ {
		switch s.raw[s.next] {
		case '\\':
			s.next++
		case '"':
			s.next++
			return
		}
	}
	// A backslash may have been the last byte.
	s.next = len(s.raw)
}
