package catalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"

	"github.com/samber/oops"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Decode returns the validated value of an object as an Upstream, Account, Assistant, Rule or Operator. Control VMs store the error's
// text with the outcome of a refused change.
func Decode(object Object) (any, error) {
	if !namePattern.MatchString(object.Name) {
		return nil, objectError(object, "name", "use 1 to 63 of a-z, 0-9, dot, underscore and dash")
	}
	switch object.Kind {
	case KindUpstream:
		return decodeUpstream(object)
	case KindAccount:
		return decodeAccount(object)
	case KindAssistant:
		return decodeAssistant(object)
	case KindRule:
		return decodeRule(object)
	case KindOperator:
		return decodeOperator(object)
	default:
		return nil, objectError(object, "kind", "use upstream, account, assistant, rule or operator")
	}
}

func decodeUpstream(object Object) (Upstream, error) {
	v := Upstream{State: Active, Slots: 8}
	if err := unmarshalStrict(object, &v); err != nil {
		return v, err
	}
	v.Name = object.Name
	switch {
	case !v.Address.IsValid():
		return v, objectError(object, "address", "give an IP address and port, such as 10.0.0.7:8000")
	case v.DataCentre == "" || v.Region == "":
		return v, objectError(object, "centre", "give both centre and region")
	case v.Kind != Engine && v.Kind != Service:
		return v, objectError(object, "kind", "use engine or service")
	case v.Kind == Engine && (v.Model == "" || v.Weights == ""):
		return v, objectError(object, "model", "an engine needs model and weights")
	case v.Kind == Service && v.Service == "":
		return v, objectError(object, "service", "name the plain service that this upstream is a replica of")
	case v.Kind == Service && v.Role != "":
		return v, objectError(object, "role", "leave it out; only engines have a role")
	case v.Role != "" && v.Role != RolePrefill && v.Role != RoleDecode && v.Role != RoleBoth:
		return v, objectError(object, "role", "use prefill, decode or both")
	case !ValidSoftware(v.Software):
		return v, objectError(object, "software", fmt.Sprintf("use at most %d printable characters", MaxSoftwareBytes))
	case v.State != Active && v.State != Draining:
		return v, objectError(object, "state", "use active or draining")
	case v.Slots < 1:
		return v, objectError(object, "slots", "use a number from 1")
	case v.Cache < 0:
		return v, objectError(object, "cache", "use a number of tokens from 0")
	}
	return v, nil
}

func decodeAccount(object Object) (Account, error) {
	v := Account{Weight: 1}
	if err := unmarshalStrict(object, &v); err != nil {
		return v, err
	}
	v.Name = object.Name
	switch {
	case !hashPattern.MatchString(v.Key):
		return v, objectError(object, "key", "give the SHA-256 of the key as 64 hexadecimal digits")
	case v.Weight < 1 || v.Weight > 1000:
		return v, objectError(object, "weight", "use a number from 1 to 1000")
	case v.Limit < 0:
		return v, objectError(object, "limit", "use a number of requests from 0")
	}
	return v, nil
}

func decodeAssistant(object Object) (Assistant, error) {
	var v Assistant
	if err := unmarshalStrict(object, &v); err != nil {
		return v, err
	}
	v.Name = object.Name
	if v.Model == "" {
		return v, objectError(object, "model", "name the model that answers")
	}
	if v.Deadline < 0 {
		return v, objectError(object, "deadline", "use a duration from 0s")
	}
	return v, nil
}

func decodeRule(object Object) (Rule, error) {
	var v Rule
	if err := unmarshalStrict(object, &v); err != nil {
		return v, err
	}
	v.Name = object.Name
	if v.Service == "" {
		return v, objectError(object, "service", "name the plain service that the rule is for")
	}
	return v, nil
}

func decodeOperator(object Object) (Operator, error) {
	var v Operator
	if err := unmarshalStrict(object, &v); err != nil {
		return v, err
	}
	v.Name = object.Name
	switch {
	case !hashPattern.MatchString(v.Key):
		return v, objectError(object, "key", "give the SHA-256 of the key as 64 hexadecimal digits")
	case v.Organisation == "":
		return v, objectError(object, "organisation", "name the operator's organisation")
	}
	return v, nil
}

func unmarshalStrict(object Object, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(object.Value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return objectError(object, "value", err.Error())
	}
	return nil
}

func objectError(object Object, field, remedy string) error {
	return oops.Code("bad_object").With("kind", object.Kind, "name", object.Name, "field", field).
		Errorf("%s %s: field %s: %s", object.Kind, object.Name, field, remedy)
}
