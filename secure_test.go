package dogwoodroute_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/secure"
	"github.com/dogwoodroute/dogwoodroute/secure/securetest"
)

// Guards against instances that cannot connect to each other with mTLS, and
// against an administration API that accepts clients without a certificate of the
// fleet's authority although certificates are configured.
func TestProtectedFleet(t *testing.T) {
	is := is.New(t)
	files := securetest.New(t).Write(t, t.TempDir(), secure.ServerName)
	fleet, err := testbed.Start(testbed.Options{Instances: 3, Security: files})
	is.NoErr(err)
	t.Cleanup(fleet.Close)
	is.NoErr(fleet.WaitReady(testTimeout)) // each instance knows all others

	status := fleet.Instances()[0].Status()
	is.Equal(status.Fleet.Live, 3)
	identity, err := secure.Load(files)
	is.NoErr(err)
	requestStatus := func(o admin.ClientOptions) error {
		o.Addresses, o.Timeout = []string{fleet.Instances()[0].AdminAddress()}, testTimeout
		client := admin.NewClient(o)
		defer client.Close()
		if err := client.Status(t.Context())[0].Err; err != nil {
			return err
		}
		return nil
	}
	is.NoErr(requestStatus(admin.ClientOptions{TLS: identity.ClientConfig()}))
	is.True(requestStatus(admin.ClientOptions{}) != nil)
	untrusted, err := secure.Load(securetest.New(t).Write(t, t.TempDir(), secure.ServerName))
	is.NoErr(err)
	is.True(requestStatus(admin.ClientOptions{TLS: untrusted.ClientConfig()}) != nil)
}
