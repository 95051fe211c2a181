package syntax

import (
	"encoding"
	"encoding/json"
	"reflect"
	"strings"
	"sync"

	"github.com/go-json-experiment/json/jsontext"
)

// shape is what a check has to know of the Go type that a value is decoded into; nil stands for a type whose keys have no meaning here.
type shape struct {
	// fields are a struct's fields by their names in JSON; nil for other types.
	fields map[string]field
	// element is the shape of the values of a list or map.
	element *shape
	// raw is set for json.RawMessage, which is checked where it is decoded.
	raw bool
}

// field is a struct's field with its name in JSON.
type field struct {
	name  string
	shape *shape
}

var (
	rawType         = reflect.TypeFor[json.RawMessage]()
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	textType        = reflect.TypeFor[encoding.TextUnmarshaler]()

	// shapes has the shapes of the types that were checked, by type.
	shapes sync.Map
)

// shapeOf returns the shape of a type, which must not contain itself.
func shapeOf(t reflect.Type) *shape {
	if known, ok := shapes.Load(t); ok {
		return known.(*shape)
	}
	s := newShape(t)
	shapes.Store(t, s)
	return s
}

func newShape(t reflect.Type) *shape {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == nil:
		return nil
	case t == rawType:
		return &shape{raw: true}
	case reflect.PointerTo(t).Implements(unmarshalerType) || reflect.PointerTo(t).Implements(textType):
		return nil
	}
	switch t.Kind() {
	case reflect.Slice, reflect.Array, reflect.Map:
		if element := shapeOf(t.Elem()); element != nil {
			return &shape{element: element}
		}
	case reflect.Struct:
		s := &shape{fields: map[string]field{}}
		s.addFields(t)
		return s
	}
	return nil
}

// addFields adds the fields of a struct under the names that encoding/json gives them.
func (s *shape) addFields(t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous && name == "" && f.Type.Kind() == reflect.Struct {
			s.addFields(f.Type)
			continue
		}
		if !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		s.fields[name] = field{name, shapeOf(f.Type)}
	}
}

// ofElement returns the shape of the values of a list or map.
func (s *shape) ofElement() *shape {
	if s == nil {
		return nil
	}
	return s.element
}

// member returns the name of an object's member whose key is a literal, and the shape of its value.
func (s *shape) member(literal []byte) (string, *shape) {
	key := literal[1 : len(literal)-1]
	if !isPlain(key) {
		if text, err := jsontext.AppendUnquote(nil, literal); err == nil {
			key = text
		}
	}
	if s == nil {
		return string(key), nil
	}
	if f, ok := s.fields[string(key)]; ok {
		return f.name, f.shape
	}
	return string(key), s.element
}

// fold returns the name of the field that encoding/json would set for a key that is the name of none, or an empty one.
func (s *shape) fold(key string) string {
	if _, ok := s.fields[key]; ok {
		return ""
	}
	for name := range s.fields {
		if strings.EqualFold(name, key) {
			return name
		}
	}
	return ""
}
