package configuration_test

import (
	"fmt"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
)

// A voter applies committed commands to a machine; a VM installs the updates that the leader sends.
func Example() {
	machine := configuration.New()
	vm := configuration.NewHolder()

	outcome := machine.Apply(configuration.Command{ID: "1", Actor: "ann", Changes: []configuration.Change{
		configuration.Put("account", "baths", []byte(`{"weight":2}`)),
	}})
	fmt.Println(outcome.Status, outcome.Version)

	if _, err := vm.Install(machine.Update(vm.Version())); err != nil {
		fmt.Println(err)
	}
	outcome, _ = machine.SetInForce(vm.Version())
	fmt.Println(outcome.Status, outcome.Version)
	// Output:
	// pending 1
	// accepted 1
}
