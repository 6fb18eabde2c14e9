package cli

import "github.com/dogwoodroute/dogwoodroute/admin"

// instanceFailure describes why an instance is missing from a report.
type instanceFailure struct {
	// Address is the administration address, empty if the list of instances has
	// none.
	Address string `json:"address,omitempty"`
	// Instance is the id in the list of instances, set only if the address is
	// unknown.
	Instance string `json:"instance,omitempty"`
	Error    string `json:"error"`
}

// splitResponses separates the values from the failures. The unaddressed instances,
// listed without an administration address, count as failures.
func splitResponses[T any](responses []admin.Response[T], unaddressed []string) (values []T, failures []instanceFailure) {
	for _, response := range responses {
		if response.Err != nil {
			failures = append(failures, instanceFailure{Address: response.Address, Error: response.Err.Error()})
			continue
		}
		values = append(values, response.Value)
	}
	for _, id := range unaddressed {
		failures = append(failures, instanceFailure{Instance: id,
			Error: "instance " + id + ": the list of instances gives no admin_address"})
	}
	return values, failures
}
