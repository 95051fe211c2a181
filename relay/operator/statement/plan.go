package statement

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// Edit writes or removes one configuration object; for a removal only Kind and Name of Object are set.
type Edit struct {
	Remove bool             `json:"remove,omitempty"`
	Object catalogue.Object `json:"object"`
}

// Plan is the ordered list of edits of a command. It has no orders to engines: the holder of the order lease derives those from the
// configuration in force.
type Plan struct {
	Edits []Edit
}

// Plan applies the command to the objects of one configuration version and validates the result; errors are *Error.
func (c *Command) Plan(objects []catalogue.Object) (Plan, error) {
	p := planner{objects: map[[2]string]catalogue.Object{}}
	for _, object := range objects {
		p.objects[[2]string{object.Kind, object.Name}] = object
	}
	for _, change := range c.Changes {
		if err := p.apply(change); err != nil {
			return Plan{}, err
		}
	}
	return p.plan, nil
}

type planner struct {
	objects map[[2]string]catalogue.Object
	plan    Plan
}

func (p *planner) apply(c Change) error {
	key := [2]string{c.Kind.Text, c.Name.Text}
	object, exists := p.objects[key]
	if c.Verb == Create && exists {
		return c.Name.newError(c.Kind.Text+" "+c.Name.Text+" exists already", "a new name, or set to change it")
	}
	if c.Verb != Create && !exists {
		return c.Name.newError("there is no "+c.Kind.Text+" "+c.Name.Text, "an existing name; show "+c.Kind.Text+"s lists them")
	}
	if c.Verb == Load || c.Verb == Role {
		if err := requireEngine(c, object); err != nil {
			return err
		}
	}
	switch c.Verb {
	case Remove:
		if c.Kind.Text == catalogue.KindOperator && p.count(catalogue.KindOperator) == 1 {
			return c.Name.newError(c.Name.Text+" is the last operator", "another operator; create another operator first, because without one nobody can make changes")
		}
		delete(p.objects, key)
		p.plan.Edits = append(p.plan.Edits, Edit{Remove: true, Object: catalogue.Object{Kind: object.Kind, Name: object.Name}})
		return nil
	case Role:
		c.Fields = []Assignment{{Field: Word{c.Position, "role"}, Values: []string{c.Role.Text}}}
	case Drain:
		c.Fields = []Assignment{{Field: Word{c.Position, "state"}, Values: []string{string(catalogue.Draining)}}}
	}
	merged, err := mergeFields(c, object)
	if err != nil {
		return err
	}
	if err := p.requireUnique(c, merged); err != nil {
		return err
	}
	p.objects[key] = merged
	p.plan.Edits = append(p.plan.Edits, Edit{Object: merged})
	return nil
}

func (p *planner) count(kind string) int {
	n := 0
	for key := range p.objects {
		if key[0] == kind {
			n++
		}
	}
	return n
}

// requireEngine returns an error unless the object is an upstream with kind=engine; plain services take no load and role commands.
func requireEngine(c Change, object catalogue.Object) error {
	value, err := catalogue.Decode(object)
	upstream, ok := value.(catalogue.Upstream)
	if err != nil || !ok || upstream.Kind != catalogue.Engine {
		return c.Name.newError(c.Name.Text+" is a plain service", "an upstream with kind=engine; load and role apply to engines only")
	}
	return nil
}

// requireUnique returns an error if another object of the kind has the same address or key: two client accounts that share
// a key could act as each other.
func (p *planner) requireUnique(c Change, merged catalogue.Object) error {
	field := map[string]string{catalogue.KindUpstream: "address", catalogue.KindAccount: "key", catalogue.KindOperator: "key"}[merged.Kind]
	if field == "" {
		return nil
	}
	value := decodeFields(merged)[field]
	for key, other := range p.objects {
		if key[0] == merged.Kind && key[1] != merged.Name && string(decodeFields(other)[field]) == string(value) {
			return c.newFieldError(field, fmt.Sprintf("another %s has the same %s", merged.Kind, field), "give each its own")
		}
	}
	return nil
}

func decodeFields(object catalogue.Object) map[string]json.RawMessage {
	values := map[string]json.RawMessage{}
	_ = json.Unmarshal(object.Value, &values) // Objects are validated before they are stored.
	return values
}

func (c *Change) newFieldError(field, problem, remedy string) error {
	e := &Error{Position: c.Position, Field: field, Problem: problem, Remedy: remedy}
	for _, f := range c.Fields {
		if f.Field.Text == field {
			e.Position = f.Field.Position
		}
	}
	return e
}

// mergeFields returns the object with the change's fields replaced, and validates the result.
func mergeFields(c Change, object catalogue.Object) (catalogue.Object, error) {
	values := map[string]json.RawMessage{}
	if object.Value != nil {
		values = decodeFields(object)
	}
	for _, f := range c.Fields {
		raw, err := f.encode(c.Kind.Text)
		if err != nil {
			return object, err
		}
		values[f.Field.Text] = raw
	}
	value, err := json.Marshal(values)
	if err != nil {
		return object, c.Name.newError(err.Error(), "values that JSON can represent")
	}
	merged := catalogue.Object{Kind: c.Kind.Text, Name: c.Name.Text, Value: value}
	if _, err := catalogue.Decode(merged); err != nil {
		field, remedy := "", err.Error()
		if o, ok := oops.AsOops(err); ok {
			field, _ = o.Context()["field"].(string)
			_, remedy, _ = strings.Cut(remedy, "field "+field+": ")
		}
		return merged, c.newFieldError(field, fmt.Sprintf("%s %s: field %s is missing or invalid", merged.Kind, merged.Name, field), remedy)
	}
	return merged, nil
}

var objectTypes = map[string]reflect.Type{
	catalogue.KindUpstream:  reflect.TypeFor[catalogue.Upstream](),
	catalogue.KindAccount:   reflect.TypeFor[catalogue.Account](),
	catalogue.KindAssistant: reflect.TypeFor[catalogue.Assistant](),
	catalogue.KindRule:      reflect.TypeFor[catalogue.Rule](),
	catalogue.KindOperator:  reflect.TypeFor[catalogue.Operator](),
}

// jsonOmitted is the JSON tag of a field that operators cannot set.
const jsonOmitted = "-"

// Fields returns the fields that create and set accept for a kind of object.
func Fields(kind string) []string {
	var list []string
	t := objectTypes[kind]
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); name != "name" && name != jsonOmitted {
			list = append(list, name)
		}
	}
	return list
}

func fieldType(kind, name string) (reflect.Type, bool) {
	t := objectTypes[kind]
	for i := range t.NumField() {
		if tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); tag == name && name != "name" && name != jsonOmitted {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

// encode returns the values as JSON of the field's type.
func (a Assignment) encode(kind string) (json.RawMessage, error) {
	t, ok := fieldType(kind, a.Field.Text)
	if !ok {
		return nil, a.newError("there is no field "+a.Field.Text, "one of "+strings.Join(Fields(kind), ", "))
	}
	if t.Kind() == reflect.Slice {
		list := slices.DeleteFunc(slices.Clone(a.Values), func(v string) bool { return v == "" })
		raw, err := json.Marshal(list)
		return raw, err
	}
	if len(a.Values) > 1 {
		return nil, a.newError(a.Field.Text+" takes one value", "a single value with no comma")
	}
	value := a.Values[0]
	switch {
	case t == reflect.TypeFor[netip.AddrPort]():
		if parsed, err := netip.ParseAddrPort(value); err != nil || parsed.Port() == 0 {
			return nil, a.newError(fmt.Sprintf("%q is not an address with a port", value), "an IP address and port, such as 10.0.0.7:8000")
		}
	case t == reflect.TypeFor[catalogue.Span]():
		if new(catalogue.Span).UnmarshalText([]byte(value)) != nil {
			return nil, a.newError(fmt.Sprintf("%q is not a time with a unit", value), "a time with its unit, such as 800ms")
		}
	case t.Kind() == reflect.Int:
		if _, err := strconv.ParseInt(value, 10, 32); err != nil {
			return nil, a.newError(fmt.Sprintf("%q is not a valid whole number", value), "a whole number of at most 2147483647")
		}
		n, _ := strconv.Atoi(value)
		return json.RawMessage(strconv.Itoa(n)), nil
	case t.Kind() == reflect.Bool:
		if value != "true" && value != "false" {
			return nil, a.newError(fmt.Sprintf("%q is not allowed", value), "true or false")
		}
		return json.RawMessage(value), nil
	}
	return json.Marshal(value)
}

func (a Assignment) newError(problem, expected string) error {
	return &Error{Position: a.Field.Position, Field: a.Field.Text, Problem: problem, Expected: expected}
}
