package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
)

// Object is one entry of the replicated configuration: its value is the JSON of one of the object types.
type Object struct {
	Kind  string          `json:"kind"`
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// The kinds of object.
const (
	KindUpstream  = "upstream"
	KindAccount   = "account"
	KindAssistant = "assistant"
	KindRule      = "rule"
	KindOperator  = "operator"
	// KindDesired holds the whole desired state, numbered from outside; its only object is named DesiredName.
	KindDesired = "desired"
	// KindWeights holds the weights version that was named for a model, as the object's number.
	KindWeights = "weights"
)

// DesiredName is the name of the object that holds the whole desired state.
const DesiredName = "state"

// Desired is the whole desired state as an operator sent it.
type Desired struct {
	// Number is the operator's version; 0 means that there is none yet.
	Number   uint64
	Document []byte
}

// Catalogue is one immutable version of the configuration in typed form.
type Catalogue struct {
	Version    uint64
	Upstreams  []Upstream
	Accounts   map[string]Account
	Assistants map[string]Assistant
	Rules      []Rule
	Operators  map[string]Operator
	Desired    Desired
	// Weights are the newest weights version named for each model.
	Weights map[string]uint64

	accountsByKey  map[string]string
	operatorsByKey map[string]string
}

// New builds a catalogue from a configuration's objects; the error names the object and field at fault.
func New(version uint64, objects []Object) (*Catalogue, error) {
	c := &Catalogue{
		Version:        version,
		Accounts:       map[string]Account{},
		Assistants:     map[string]Assistant{},
		Operators:      map[string]Operator{},
		Weights:        map[string]uint64{},
		accountsByKey:  map[string]string{},
		operatorsByKey: map[string]string{},
	}
	for _, object := range objects {
		if err := c.add(object); err != nil {
			return nil, err
		}
	}
	sort.Slice(c.Upstreams, func(i, j int) bool { return c.Upstreams[i].Name < c.Upstreams[j].Name })
	sort.Slice(c.Rules, func(i, j int) bool { return c.Rules[i].Name < c.Rules[j].Name })
	return c, nil
}

func (c *Catalogue) add(object Object) error {
	number, content := configuration.Numbered(object.Value)
	switch object.Kind {
	case KindDesired:
		c.Desired = Desired{Number: number, Document: content}
		return nil
	case KindWeights:
		c.Weights[object.Name] = number
		return nil
	}
	value, err := Decode(object)
	if err != nil {
		return err
	}
	switch v := value.(type) {
	case Upstream:
		c.Upstreams = append(c.Upstreams, v)
	case Account:
		c.Accounts[v.Name] = v
		c.accountsByKey[v.Key] = v.Name
	case Assistant:
		c.Assistants[v.Name] = v
	case Rule:
		c.Rules = append(c.Rules, v)
	case Operator:
		c.Operators[v.Name] = v
		c.operatorsByKey[v.Key] = v.Name
	}
	return nil
}

// AccountNames returns the accounts' names in order.
func (c *Catalogue) AccountNames() []string { return slices.Sorted(maps.Keys(c.Accounts)) }

// AccountByKey returns the account that a caller's key belongs to.
func (c *Catalogue) AccountByKey(key string) (Account, bool) {
	account, ok := c.Accounts[c.accountsByKey[HashKey(key)]]
	return account, ok
}

// OperatorByKey returns the operator that a key belongs to.
func (c *Catalogue) OperatorByKey(key string) (Operator, bool) {
	operator, ok := c.Operators[c.operatorsByKey[HashKey(key)]]
	return operator, ok
}

// Rule returns the rule with the longest path prefix for a call to a plain service; without one the call is not idempotent.
func (c *Catalogue) Rule(service, method, path string) Rule {
	best := Rule{Service: service}
	length := -1
	for _, rule := range c.Rules {
		if rule.Service != service || rule.Method != "" && rule.Method != method {
			continue
		}
		if strings.HasPrefix(path, rule.Path) && len(rule.Path) > length {
			best, length = rule, len(rule.Path)
		}
	}
	return best
}

// Service returns the upstreams of a plain service that take new work.
func (c *Catalogue) Service(name string) []Upstream {
	var found []Upstream
	for _, upstream := range c.Upstreams {
		if upstream.Kind == Service && upstream.Service == name && upstream.State == Active {
			found = append(found, upstream)
		}
	}
	return found
}

// HashKey returns the form in which the configuration stores a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
