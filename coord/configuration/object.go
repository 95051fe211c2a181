package configuration

import (
	"cmp"
	"maps"
	"slices"
)

// Object is one named value; the package does not interpret the value.
type Object struct {
	Kind  string
	Name  string
	Value []byte
}

// Change stores an object or, if Remove is set, removes the object of that kind and name.
type Change struct {
	Remove bool
	Object Object
}

// Put returns the change that stores an object.
func Put(kind, name string, value []byte) Change {
	return Change{Object: Object{Kind: kind, Name: name, Value: value}}
}

// Remove returns the change that removes an object.
func Remove(kind, name string) Change {
	return Change{Remove: true, Object: Object{Kind: kind, Name: name}}
}

type objectKey struct{ kind, name string }

// Objects is an immutable set of objects; callers must not change the values.
type Objects struct{ values map[objectKey][]byte }

// Get returns the value of an object and whether it exists.
func (o Objects) Get(kind, name string) ([]byte, bool) {
	value, ok := o.values[objectKey{kind, name}]
	return value, ok
}

// Len returns the number of objects.
func (o Objects) Len() int { return len(o.values) }

// All returns the objects sorted by kind and name.
func (o Objects) All() []Object {
	all := make([]Object, 0, len(o.values))
	for key, value := range o.values {
		all = append(all, Object{Kind: key.kind, Name: key.name, Value: value})
	}
	slices.SortFunc(all, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// Kind returns the objects of one kind sorted by name.
func (o Objects) Kind(kind string) []Object {
	return slices.DeleteFunc(o.All(), func(object Object) bool { return object.Kind != kind })
}

func newObjects(all []Object) Objects {
	o := Objects{values: make(map[objectKey][]byte, len(all))}
	for _, object := range all {
		o.values[objectKey{object.Kind, object.Name}] = object.Value
	}
	return o
}

func (o Objects) clone() Objects {
	if o.values == nil {
		return newObjects(nil)
	}
	return Objects{values: maps.Clone(o.values)}
}

func (o Objects) apply(change Change) {
	key := objectKey{change.Object.Kind, change.Object.Name}
	if change.Remove {
		delete(o.values, key)
		return
	}
	o.values[key] = change.Object.Value
}
