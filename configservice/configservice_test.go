package configservice_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
)

// Guards against a faulty response that is accepted as a value, and against errors
// that do not name the failed step and the peer.
func TestFaultyAnswers(t *testing.T) {
	value := standin.NewValue([]byte("content"))
	server := httptest.NewServer(value)
	defer server.Close()
	source, err := configservice.NewHTTPSource(server.URL)
	is.New(t).NoErr(err)
	defer source.Close()
	big := []byte(strings.Repeat("x", configservice.MaxValueBytes+1))
	for step, mode := range map[configservice.Step]standin.Mode{
		configservice.StepStatus: {Down: true}, configservice.StepRequest: {CloseConnection: true},
		configservice.StepBody: {Truncate: true}, configservice.StepSize: {Override: big},
	} {
		t.Run(string(step), func(t *testing.T) {
			is := is.New(t)
			value.SetMode(mode)
			_, err := source.Read(t.Context())
			var failure *configservice.SourceError
			is.True(errors.As(err, &failure))
			is.Equal(failure.Step, step)
			is.Equal("http://"+failure.Peer, server.URL)
		})
	}
}

// Guards against responses with a wrong status, including redirects, that are
// accepted as a value.
func TestWrongStatus(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusFound, http.StatusNotModified, http.StatusNotFound} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
		}))
		source, err := configservice.NewHTTPSource(server.URL)
		is.New(t).NoErr(err)
		_, err = source.Read(t.Context())
		var failure *configservice.SourceError
		is.New(t).True(errors.As(err, &failure) && failure.Status == status)
		source.Close()
		server.Close()
	}
}

// source returns the result of next for each call, with the number of the call.
// Watch waits for hold first.
type source struct {
	calls int
	next  func(call int) (configservice.Value, error)
	hold  time.Duration
}

func (s *source) Read(context.Context) (configservice.Value, error) {
	s.calls++
	return s.next(s.calls)
}
func (s *source) Watch(ctx context.Context, _ string) (configservice.Value, error) {
	s.calls++
	backoff.Sleep(ctx, s.hold)
	return s.next(s.calls)
}

// Guards against a follower that calls a faulty service without pauses. In
// simulated time, 20 instances with two followers each must stay far below the
// limit of 2,000 calls per second.
func TestFollowerPacesCalls(t *testing.T) {
	for name, next := range map[string]func(int) (configservice.Value, error){
		"changing": func(n int) (configservice.Value, error) { return configservice.Value{Tag: fmt.Sprint(n)}, nil },
		"untagged": func(int) (configservice.Value, error) { return configservice.Value{}, nil },
		"same":     func(int) (configservice.Value, error) { return configservice.Value{Tag: "t"}, nil },
		"failing":  func(int) (configservice.Value, error) { return configservice.Value{}, errors.New("down") },
		"no wait":  func(int) (configservice.Value, error) { return configservice.Value{}, configservice.ErrUnchanged },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seconds = 100
				ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
				defer cancel()
				s := &source{next: next}
				configservice.NewFollower(configservice.FollowerOptions{Source: s, OnResult: func(configservice.FetchResult) {}}).Run(ctx)
				is.New(t).True(s.calls < 11*seconds) // times 40 followers: 440 calls/s
				is.New(t).True(s.calls > seconds/4)  // it continues to call
			})
		})
	}
}

// Guards against a process that resumes after a pause and keeps an old value until
// the end of a watch that it started before the pause.
func TestRefreshEndsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{hold: time.Hour, next: func(n int) (configservice.Value, error) {
			return configservice.Value{Tag: fmt.Sprint(n)}, nil
		}}
		var delivered []time.Duration
		begin := time.Now()
		follower := configservice.NewFollower(configservice.FollowerOptions{Source: s,
			OnResult: func(configservice.FetchResult) { delivered = append(delivered, time.Since(begin)) }})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { follower.Run(ctx); close(done) }()
		time.Sleep(time.Minute)
		follower.Refresh()
		time.Sleep(time.Minute)
		cancel()
		<-done
		is.New(t).Equal(len(delivered), 2)
		is.New(t).True(delivered[1] < 2*time.Minute)
	})
}

// Guards against lists that cause a panic in the parser, and against unusable
// entries that are accepted.
func FuzzParseList(f *testing.F) {
	f.Add([]byte(`{"instances": [{"id": "a", "caller_address": "10.0.0.1:1", "peer_address": "10.0.0.1:2", "state": "live"}]}`))
	f.Add([]byte(`{"instances": [], "leaving_targets": ["10.0.0.1:1"]}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := configservice.ParseList(data)
		if err != nil {
			return
		}
		seen := make(map[string]bool)
		for _, i := range list.Instances {
			if i.ID == "" || i.PeerAddress == "" || i.State == "" || seen[i.ID] {
				t.Fatalf("unusable entry %+v", i)
			}
			seen[i.ID] = true
		}
	})
}
