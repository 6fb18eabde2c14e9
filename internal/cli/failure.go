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

// splitResponses separates the values from the failures. Instances without an address
// count as failures.
func splitResponses[T any](responses []admin.Response[T], unaddressed []string) (values []T, failures []failure) {
	for _, response := range responses {
		if response.Err != nil {
			failures = append(failures, failure{Address: response.Address, Error: response.Err.Error()})
			continue
		}
		values = append(values, response.Value)
	}
	for _, id := range unaddressed {
		failures = append(failures, failure{Instance: id,
			Error: "instance " + id + ": the list of instances gives no admin_address"})
	}
	return values, failures
}
