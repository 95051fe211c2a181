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

// Object is one entry of the replicated configuration; its value is the JSON of the type that its kind names.
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
	// KindDesired is the kind of the whole desired state, whose version number operators choose; its only object is named DesiredName.
	KindDesired = "desired"
	// KindWeights is the kind of a model's newest weights version; the object has the model's name, its number is the version, and its
	// content the latest namings.
	KindWeights = "weights"
)

// DesiredName is the name of the object that holds the whole desired state.
const DesiredName = "state"

// Desired is the whole desired state in the form in which an operator sent it.
type Desired struct {
	// Number is the version that the operator gave; 0 means that no desired state has been sent yet.
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
	// Weights maps each model to the newest weights version that an operator named for it.
	Weights map[string]Weights

	accountsByKey  map[string]string
	operatorsByKey map[string]string
}

// New builds the catalogue of a configuration version; an error names the object and the field at fault.
func New(version uint64, objects []Object) (*Catalogue, error) {
	c := &Catalogue{
		Version:        version,
		Accounts:       map[string]Account{},
		Assistants:     map[string]Assistant{},
		Operators:      map[string]Operator{},
		Weights:        map[string]Weights{},
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
	number, content := configuration.DecodeNumbered(object.Value)
	switch object.Kind {
	case KindDesired:
		c.Desired = Desired{Number: number, Document: content}
		return nil
	case KindWeights:
		c.Weights[object.Name] = DecodeWeights(object.Value)
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

// AccountNames returns the sorted names of the accounts.
func (c *Catalogue) AccountNames() []string { return slices.Sorted(maps.Keys(c.Accounts)) }

// AccountByKey returns the account of a caller's key.
func (c *Catalogue) AccountByKey(key string) (Account, bool) {
	account, ok := c.Accounts[c.accountsByKey[HashKey(key)]]
	return account, ok
}

// OperatorByKey returns the operator of a key.
func (c *Catalogue) OperatorByKey(key string) (Operator, bool) {
	operator, ok := c.Operators[c.operatorsByKey[HashKey(key)]]
	return operator, ok
}

// Rule returns the rule with the longest matching path prefix for a call to a plain service. If none matches, it returns a rule
// by which the call is not idempotent and may run in all regions.
func (c *Catalogue) Rule(service, method, path string) Rule {
	longest := Rule{Service: service}
	length := -1
	for _, rule := range c.Rules {
		if rule.Service != service || rule.Method != "" && rule.Method != method {
			continue
		}
		if strings.HasPrefix(path, rule.Path) && len(rule.Path) > length {
			longest, length = rule, len(rule.Path)
		}
	}
	return longest
}

// Service returns the active upstreams of a plain service.
func (c *Catalogue) Service(name string) []Upstream {
	var active []Upstream
	for _, upstream := range c.Upstreams {
		if upstream.Kind == Service && upstream.Service == name && upstream.State == Active {
			active = append(active, upstream)
		}
	}
	return active
}

// HashKey returns the SHA-256 of a key in hexadecimal, which is the form in which the configuration stores keys.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
