package tables_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

const valid = `{
  // Version rises with each edit.
  "version": 7,
  "routes": [
    {"name": "lookup", "match": {"path_prefix": "/lookup"}, "pool": "prices", "idempotent": true, "hedge": true},
  ],
  "pools": [
    {"name": "prices", "targets": [
      {"name": "t1", "address": "127.0.0.1:9001", "failure_domain": "poa-a", "slots": 4},
    ]},
  ],
}`

// Guards against defaults that differ from the documented ones.
func TestParseFillsDefaults(t *testing.T) {
	is := is.New(t)
	document, err := tables.Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(document.Version, uint64(7))
	is.Equal(document.Routes[0].Deadline(), tables.DefaultDeadline)
	is.Equal(document.Routes[0].Class, tables.ClassShort)
	is.Equal(document.Pools[0].Targets[0].Connections, tables.DefaultConnections)
	is.Equal(document.Pools[0].Measure.PerRequest(), tables.DefaultProbesPerRequest)
	is.Equal(len(document.Digest()), 16)
}

// Guards against invalid documents that are accepted, and against errors that do
// not name the line and the problem.
func TestParseRefuses(t *testing.T) {
	for name, c := range map[string]struct{ old, new, line, want string }{
		"unknown field":      {`"idempotent"`, `"idempotnet"`, "line 5", "idempotnet"},
		"duplicate field":    {`"version": 7,`, `"version": 7, "version": 8,`, "line 3", "appears twice"},
		"unknown pool":       {`"pool": "prices"`, `"pool": "price"`, "line 5", `pool "price" does not exist`},
		"duplicate target":   {`"slots": 4},`, `"slots": 4}, {"name": "t1", "address": "127.0.0.1:9002", "failure_domain": "a", "slots": 4}`, "line 9", `"t1" appears twice`},
		"deadline range":     {`"hedge": true`, `"deadline_ms": 600001`, "line 5", "deadline of 600001 ms"},
		"zero version":       {`7`, `0`, "line 3", "at least 1"},
		"wrong type":         {`"slots": 4`, `"slots": "4"`, "line 9", "string"},
		"hedge without idem": {`"idempotent": true, `, ``, "line 5", "idempotent"},
		"host name":          {`127.0.0.1:9001`, `localhost:9001`, "line 9", "IP address"},
		"truncated": {`],
}`, ``, "line", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(valid, c.old, c.new, 1)
			is.True(text != valid) // the replacement applies
			_, err := tables.Parse([]byte(text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.line)) // names the line
			is.True(strings.Contains(err.Error(), c.want)) // names the problem
		})
	}
}

// Guards against accepting a document that exceeds the size limit of the
// configuration service.
func TestParseRefusesOversize(t *testing.T) {
	is := is.New(t)
	_, err := tables.Parse([]byte(valid + strings.Repeat(" ", tables.MaxDocumentBytes)))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "at most 1048576"))
}

// Guards against panics, and against documents that are accepted once and refused
// when their source is parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"version":1}`))
	f.Add([]byte(`{"version":1,"pools":[{"name":"a"}],"routes":[{}]}`))
	f.Fuzz(func(t *testing.T, source []byte) {
		document, err := tables.Parse(source)
		if err != nil {
			return
		}
		second, err := tables.Parse(document.Source())
		if err != nil || second.Digest() != document.Digest() {
			t.Fatalf("source of an accepted document is refused or has another digest: %v", err)
		}
	})
}
