package cli

import (
	"fmt"
	"sync/atomic"

	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

// queryFleet resolves the instances that the flags select and calls query with a
// client for all of them, while it prints progress on standard error. It returns
// the ids of listed instances that cannot be queried because the list contains no
// administration address for them.
func queryFleet(command *cobra.Command, flags *addressFlags, query func(*admin.Client)) (unaddressed []string, err error) {
	if err := flags.validate(); err != nil {
		return nil, err
	}
	var total, done atomic.Int64
	stop := startProgress(command.ErrOrStderr(), func() string {
		if total.Load() == 0 {
			return "reading the list of instances"
		}
		return fmt.Sprintf("%d of %d instances have answered or failed", done.Load(), total.Load())
	})
	defer stop()
	addresses, unaddressed, err := flags.resolve(command.Context())
	if err != nil {
		return nil, err
	}
	identity, err := secure.Load(flags.security)
	if err != nil {
		return nil, err
	}
	total.Store(int64(len(addresses)))
	client := admin.NewClient(admin.ClientOptions{Addresses: addresses, Timeout: flags.timeout, TLS: identity.ClientConfig(),
		OnInstanceDone: func() { done.Add(1) }})
	defer client.Close()
	query(client)
	return unaddressed, nil
}
