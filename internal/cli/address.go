package cli

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

// addressFlags are the flags that select the instances to query and how to
// connect to them.
type addressFlags struct {
	admin        []string
	instancesURL string
	timeout      time.Duration
	security     secure.Files
}

func (f *addressFlags) add(command *cobra.Command) {
	command.Flags().StringSliceVar(&f.admin, "admin", nil, "administration addresses of the instances to query (IP:PORT,...)")
	command.Flags().StringVar(&f.instancesURL, "instances-url", "", "URL of the platform's list of instances; queries every instance in it")
	f.security.AddFlags(command.Flags())
	command.Flags().DurationVar(&f.timeout, "timeout", admin.DefaultTimeout, "time limit for each instance")
}

// validate returns a usage error if the flags select no instance or contradict
// each other.
func (f *addressFlags) validate() error {
	if (len(f.admin) > 0) == (f.instancesURL != "") {
		return usageError{errors.New("give either --admin or --instances-url")}
	}
	if err := f.security.Validate(); err != nil {
		return usageError{err}
	}
	if f.timeout <= 0 {
		return usageError{errors.New("--timeout must be above 0")}
	}
	return nil
}

// resolve returns the administration addresses, and the ids of listed instances
// without one. With --instances-url it reads the list; it fails if no entry of
// the list has an administration address.
func (f *addressFlags) resolve(ctx context.Context) (addresses, unaddressed []string, err error) {
	if len(f.admin) > 0 {
		return f.admin, nil, nil
	}
	source, err := configservice.NewHTTPSource(f.instancesURL)
	if err != nil {
		return nil, nil, usageError{err}
	}
	value, err := source.Read(ctx)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read list of instances")
	}
	list, err := configservice.ParseList(value.Data)
	if err != nil {
		return nil, nil, err
	}
	for _, instance := range list.Instances {
		if instance.AdminAddress == "" {
			unaddressed = append(unaddressed, instance.ID)
			continue
		}
		addresses = append(addresses, instance.AdminAddress)
	}
	if len(addresses) == 0 {
		return nil, unaddressed, errors.New("list of instances: no entry has an admin_address")
	}
	return addresses, unaddressed, nil
}
