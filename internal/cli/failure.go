package cli

import "github.com/dogwoodroute/dogwoodroute/admin"

// failure says in a report why an instance is missing from it.
type failure struct {
	// Address is the administration address, empty when the list has none.
	Address string `json:"address,omitempty"`
	// Instance is the id in the list, when only that is known.
	Instance string `json:"instance,omitempty"`
	Error    string `json:"error"`
}

// split separates the values from the failures. Instances without an address
// count as failures.
func split[T any](answers []admin.Response[T], without []string) (values []T, failures []failure) {
	for _, answer := range answers {
		if answer.Err != nil {
			failures = append(failures, failure{Address: answer.Address, Error: answer.Err.Error()})
			continue
		}
		values = append(values, answer.Value)
	}
	for _, id := range without {
		failures = append(failures, failure{Instance: id,
			Error: "instance " + id + ": the list of instances gives no admin_address"})
	}
	return values, failures
}
