package syntax

import (
	"bytes"
	"encoding"
	"encoding/json"
	"reflect"
	"strings"
	"sync"
)

// shape is what a check has to know of the Go type that a value is decoded into; nil stands for a type whose keys have no meaning here.
type shape struct {
	// fields are the fields of a struct by their names in JSON; nil for other types.
	fields map[string]*field
	// names are the keys of fields.
	names [][]byte
	// element is the shape of the values of a list or map.
	element *shape
	// raw is set for json.RawMessage, which is checked where it is decoded.
	raw bool
}

type field struct {
	// bit is the field's own bit; 0 for those beyond the 64th.
	bit   uint64
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
		raw := &shape{raw: true}
		raw.element = raw
		return raw
	case reflect.PointerTo(t).Implements(unmarshalerType) || reflect.PointerTo(t).Implements(textType):
		return nil
	}
	switch t.Kind() {
	case reflect.Slice, reflect.Array, reflect.Map:
		if element := shapeOf(t.Elem()); element != nil {
			return &shape{element: element}
		}
	case reflect.Struct:
		s := &shape{fields: map[string]*field{}}
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
		s.fields[name] = &field{bit: 1 << len(s.names), shape: shapeOf(f.Type)}
		s.names = append(s.names, []byte(name))
	}
}

// fold returns the name of the field that encoding/json would set for a key that is the name of none, or nil.
func (s *shape) fold(key []byte) []byte {
	for _, name := range s.names {
		if bytes.EqualFold(name, key) {
			return name
		}
	}
	return nil
}
