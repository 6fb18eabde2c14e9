package settings_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/settings"
)

const valid = `{
  "id": "poa-a-1", // unique
  "failure_domain": "poa-a",
  "caller_address": "127.0.0.1:8080",
  "peer_address": "127.0.0.1:8081",
  "admin_address": "127.0.0.1:8082",
  "configuration_url": "http://127.0.0.1:7000/tables",
  "instances_url": "http://127.0.0.1:7000/instances",
  "limits": {"requests": 10},
}`

// Guards against a daemon that starts with invalid or unknown settings, and against
// errors that do not name file, position and field.
func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("s.json", []byte(valid))
	is.NoErr(err)
	is.Equal(s.Limits.Requests, 10)
	is.Equal(s.Limits.HeaderBytes, 32768)

	for old, c := range map[string][2]string{
		`"requests": 10`:                 {`"requests": -1`, "line 9, column 26: limits.requests: -1 is outside"},
		`"id"`:                           {`"ids"`, "line 2, column 3: ids: "},
		`"127.0.0.1:8081"`:               {`"localhost:8081"`, "line 5, column 19: peer_address"},
		`"http://127.0.0.1:7000/tables"`: {`"ftp://x"`, "line 7, column 24: configuration_url"},
	} {
		_, err := settings.Parse("s.json", []byte(strings.Replace(valid, old, c[0], 1)))
		is.True(err != nil)
		is.True(strings.HasPrefix(err.Error(), "s.json: ")) // error starts with the file name
		if !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%q does not contain %q", err, c[1])
		}
	}
}

// Guards against panics on malformed files, and against settings without an ID that
// are accepted.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"limits":{"requests":1e99}}`))
	f.Fuzz(func(t *testing.T, source []byte) {
		if s, err := settings.Parse("s.json", source); err == nil && s.ID == "" {
			t.Fatal("accepted settings without an id")
		}
	})
}
