package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/membership"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Traffic is the traffic that one instance sends and receives for one kind of
// control message, without TCP and IP headers.
type Traffic struct {
	Kind              string  `json:"kind"`
	MessagesPerSecond float64 `json:"messages_per_second"`
	BytesPerSecond    float64 `json:"bytes_per_second"`
}

// The design size, for which the traffic is computed. Rates that the design does
// not give are assumptions.
const (
	designTargets   = 560
	designInstances = 20
	changesPerDay   = 370
	listsPerDay     = 2 * 94 // 2 failures and 92 replacements, each a removal and an addition
	noticesPerFleet = 1.0    // per second; assumption: one target crashes each second
	secondsPerDay   = 86400.0
	watchSeconds    = 20.0 // time that the platform lets one watch wait
	followers       = 2    // watches of each instance: tables and list of instances
	// framingBytes is the HTTP/2 framing of a message. In TestTrafficBudget of
	// package membership, 23.2 messages/s with 8,257 B/s take 9,164 B/s on
	// connections.
	framingBytes = 39
	grpcPrefix   = 5
)

// ControlTraffic returns the control traffic of one instance at the design size,
// by kind of message.
func ControlTraffic() ([]Traffic, error) {
	d, err := parsedDocument(designTargets)
	if err != nil {
		return nil, err
	}
	read, err := readBytes()
	if err != nil {
		return nil, err
	}
	probe, err := probeBytes()
	if err != nil {
		return nil, err
	}
	changes, document := changesPerDay/secondsPerDay, float64(len(d.Source()))
	content := document + float64(proto.Size(&peerapi.ContentRequest{Sender: "i00", Version: 1 << 32})) + 2*(framingBytes+grpcPrefix)
	probes := grantedProbes(designInstances, callsPerSecond, tables.DefaultProbesPerRequest)
	kinds := []Traffic{
		exchangeTraffic(),
		noticeTraffic(),
		{"configuration reads without a change", followers / watchSeconds, followers / watchSeconds * read},
		{"configuration reads with a change", changes, changes * (read + document)},
		// Worst case: each instance also fetches each change from a peer and
		// serves it to another.
		{"document transfers between peers", 4 * changes, 2 * changes * content},
		{"list of instances", listsPerDay / secondsPerDay, listsPerDay / secondsPerDay * (read + listBytes())},
		{fmt.Sprintf("probes at probes_per_request %v", tables.DefaultProbesPerRequest), 2 * probes, probes * probe},
	}
	return kinds, nil
}

// exchangeTraffic counts the exchanges between the instances of a fleet in virtual
// time, each message with as many notices as fit.
func exchangeTraffic() Traffic {
	const step, warmUp, seconds = 50 * time.Millisecond, 20 * time.Second, 100
	fleet := make(map[string]*membership.Members)
	var ids []string
	list := new(configservice.List)
	for n := range designInstances {
		peer := designPeer(n)
		fleet[peer.ID] = membership.NewMembers(membership.MembersOptions{Self: peer, Rand: rand.New(rand.NewPCG(1, uint64(n)))})
		ids = append(ids, peer.ID)
		list.Instances = append(list.Instances, configservice.Instance{ID: peer.ID, FailureDomain: peer.FailureDomain,
			PeerAddress: peer.PeerAddress, CallerAddress: peer.CallerAddress, AdminAddress: peer.AdminAddress, State: configservice.InstanceLive})
	}
	var messages, bytes int
	count := func(s *peerapi.State) *peerapi.State {
		s.Notices = worstNotices()
		messages++
		bytes += proto.Size(s) + grpcPrefix + framingBytes
		return s
	}
	for now := step; now <= warmUp+seconds*time.Second; now += step {
		if now == warmUp {
			messages, bytes = 0, 0
		}
		for _, id := range ids {
			if now == step {
				fleet[id].ApplyList(now, 0, list)
				fleet[id].SetConfiguration(1<<32, "0123456789abcdef")
				fleet[id].AddDraining(now, "10.100.200.30:8080")
			}
			for _, peer := range fleet[id].Tick(now) {
				other := fleet[peer.ID]
				other.Receive(now, count(fleet[id].Message(now, false)))
				fleet[id].HandleResponse(now, now, peer.ID, count(other.Message(now, false)))
			}
		}
	}
	// Each message is sent by one instance and received by another.
	share := 2.0 / designInstances / seconds
	return Traffic{"exchanges", float64(messages) * share, float64(bytes) * share}
}

func designPeer(n int) membership.Peer {
	host := fmt.Sprintf("10.100.%d.1", 100+n)
	return membership.Peer{ID: fmt.Sprintf("instance-%02d", n), Incarnation: membership.Incarnation{1, byte(n)},
		FailureDomain: domains[n%len(domains)], PeerAddress: host + ":7000", CallerAddress: host + ":8080", AdminAddress: host + ":9000"}
}

// worstNotices returns as many notices as an exchange carries at most.
func worstNotices() []*peerapi.Notice {
	notices := make([]*peerapi.Notice, 4)
	for i := range notices {
		notices[i] = &peerapi.Notice{Fingerprint: make([]byte, 16), State: 2, Id: 1 << 63, Strike: 1 << 63, ExpiresMs: 1 << 20}
	}
	return notices
}

// noticeTraffic computes the traffic of the notices that an instance sends to all
// peers immediately.
func noticeTraffic() Traffic {
	request := proto.Size(&peerapi.NotifyRequest{Sender: "instance-00", Notices: worstNotices()})
	// Each notice is one call to every other instance. An instance takes part in
	// just under two calls per notice on average, as sender or receiver. A call is
	// a request and a response.
	calls := noticesPerFleet * 2 * (designInstances - 1) / designInstances
	return Traffic{"notices", 2 * calls, calls * float64(request+2*(grpcPrefix+framingBytes))}
}

func listBytes() float64 {
	var list configservice.List
	for n := range designInstances {
		p := designPeer(n)
		list.Instances = append(list.Instances, configservice.Instance{ID: p.ID, FailureDomain: p.FailureDomain, PeerAddress: p.PeerAddress,
			CallerAddress: p.CallerAddress, AdminAddress: p.AdminAddress, State: configservice.InstanceLive})
	}
	text, err := json.Marshal(&list)
	if err != nil {
		panic(err) // impossible: a list always encodes
	}
	return float64(len(text))
}

// readBytes counts the bytes of one read of the configuration service, without
// the value.
func readBytes() (float64, error) {
	var bytes atomic.Int64
	const tag = `"0123456789abcdef"`
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", tag)
		_, _ = w.Write([]byte("x")) // the client reports a failure
	}))
	server.Listener = &countingListener{Listener: server.Listener, bytes: &bytes}
	server.Start()
	defer server.Close()
	source, err := configservice.NewHTTPSource(server.URL + "/configuration")
	if err != nil {
		return 0, err
	}
	defer source.Close()
	ctx, cancel := requestContext()
	defer cancel()
	if _, err := source.Watch(ctx, tag); err != nil {
		return 0, err
	}
	return float64(bytes.Load()), nil
}

// probeBytes counts the bytes of one probe, request and response.
func probeBytes() (float64, error) {
	p, err := startProbeTarget()
	if err != nil {
		return 0, err
	}
	defer p.close()
	ctx, cancel := requestContext()
	defer cancel()
	if err := p.probe(ctx, 10); err != nil {
		return 0, err
	}
	return float64(p.bytes.Load()) / 10, nil
}

// requestContext limits the time of the calls whose bytes are counted.
func requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 10*time.Second)
}
