package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an explanation that leaves out what decides, and against a host without a
// route that is reported as success.
func TestExplainCommand(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		if query.Get("host") != "a.example" {
			w.WriteHeader(http.StatusNotFound)
			_, _ = w.Write([]byte(`{"error":"host \"b.example\": no route matches"}`))
			return
		}
		is.Equal(query.Get("path"), "/orders/7")
		is.Equal(query.Get("timeout_ms"), "2000")
		_, _ = w.Write([]byte(`{"config_version":7,"route":"orders","prefix":"/orders/","evacuated_domains":["east"],"services":[
{"service":"s","share":0.9,"targets":3,"admitted_share":0.5,"requirement":"a response within the objective","candidates":[
{"target":"t1","failure_domain":"west","slots":4,"chosen":true},{"target":"t2","failure_domain":"west","reason":"did not answer"}]}]}`))
	}))
	defer server.Close()
	run := func(args ...string) (string, error) {
		command := NewOperatorCommand()
		var output bytes.Buffer
		command.SetOut(&output)
		command.SetErr(&output)
		command.SetArgs(append([]string{"explain", "--metrics", strings.TrimPrefix(server.URL, "http://")}, args...))
		err := command.Execute()
		return output.String(), err
	}
	text, err := run("--host", "a.example", "--path", "/orders/7", "--timeout", "2s")
	is.NoErr(err)
	for _, part := range []string{"route orders", "configuration version 7", "evacuated failure domains: east", "90% of the route's requests",
		"50% of the route's requests are admitted", "chosen", "did not answer"} {
		is.True(strings.Contains(text, part)) // part of the explanation
	}
	text, err = run("--host", "a.example", "--path", "/orders/7", "--timeout", "2s", "--json")
	is.NoErr(err)
	is.True(strings.Contains(text, `"reason": "did not answer"`))
	_, err = run("--host", "b.example", "--path", "/")
	is.True(err != nil && strings.Contains(err.Error(), "no route matches"))
	_, err = run("--host", "a.example")
	is.True(err != nil) // no path
}
