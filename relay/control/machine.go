package control

import (
	"fmt"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
)

// NewMachine returns the replicated state machine with the relay's checks. All control VMs must run the same release, since their
// checks must agree.
func NewMachine(options ...configuration.Option) *registry.Machine {
	var machine *registry.Machine
	machine = registry.New(
		registry.WithConfiguration(append([]configuration.Option{configuration.WithCheck(checkChange)}, options...)...),
		registry.WithClaimCheck(func(objects configuration.Objects, claim ledger.Claim) error {
			return checkClaim(machine.Configuration().Newest(), objects, claim)
		}),
	)
	return machine
}

// checkChange refuses objects that the catalogue can't decode, and the removal of the last operator.
func checkChange(objects configuration.Objects, change configuration.Change) error {
	if change.Remove {
		return checkRemoval(objects, change.Object)
	}
	if change.Object.Kind == catalogue.KindDesired || change.Object.Kind == catalogue.KindWeights {
		// The VM that received the command has validated the document; its bytes are stored unchanged.
		return nil
	}
	_, err := catalogue.Decode(catalogue.Object{Kind: change.Object.Kind, Name: change.Object.Name, Value: change.Object.Value})
	return err
}

// checkRemoval refuses to remove the last operator, since nobody could change the configuration afterwards.
func checkRemoval(objects configuration.Objects, object configuration.Object) error {
	if object.Kind == catalogue.KindOperator && len(objects.Kind(catalogue.KindOperator)) == 1 {
		return fmt.Errorf("operator %s is the last one: create another one first", object.Name)
	}
	return nil
}

// checkClaim refuses a claim that was not made under the newest committed configuration. The claiming VM evaluates the rules of its
// installed version; after a network partition or a restart these may be old rules, under which it must not dispatch the call.
func checkClaim(newest uint64, objects configuration.Objects, claim ledger.Claim) error {
	if claim.Configuration != newest {
		return fmt.Errorf("%s %d and version %d is the newest", gateway.OutdatedPrefix, claim.Configuration, newest)
	}
	if _, ok := objects.Get(catalogue.KindAccount, claim.Key.Account); !ok {
		return fmt.Errorf("account %s does not exist any more", claim.Key.Account)
	}
	return nil
}
