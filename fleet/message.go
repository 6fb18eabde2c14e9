package fleet

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/binary"
	"io"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/records"
)

const (
	// packThreshold is the size in bytes above which changes are sent compressed. The
	// compressor temporarily allocates about 600 KB.
	packThreshold = 16 << 10
	// maxPlainBytes bounds the decompressed size of changes. It leaves room for a
	// configuration of a megabyte and the entries of several thousand targets.
	maxPlainBytes = 8 << 20
)

func memberMessage(m Member) *peerapi.FleetMember {
	return &peerapi.FleetMember{Ip: numberFromAddress(m.IP), Incarnation: m.Incarnation,
		Heartbeat: m.Heartbeat, Domain: uint32(m.Domain), Capacity: m.Capacity, Flags: uint32(m.State)}
}

func memberFromMessage(m *peerapi.FleetMember) Member {
	return Member{IP: addressFromNumber(m.GetIp()), Incarnation: m.GetIncarnation(), Heartbeat: m.GetHeartbeat(),
		Domain: int(m.GetDomain()), Capacity: m.GetCapacity(), State: MemberState(m.GetFlags())}
}

// packer encodes records into messages. It caches the compressed changes up to one
// position, so that changes that are sent to many peers are compressed only once.
type packer struct {
	position records.Position
	packed   map[uint64][]byte // by the revision after which the changes begin
}

// maxPacked bounds the number of cached encodings.
const maxPacked = 4

// put adds list, the changes after revision after up to position, to a message. It
// compresses large lists. after is 0 for a full list.
func (p *packer) put(s *peerapi.FleetState, list []records.Record, after uint64, position records.Position) error {
	size := 0
	messages := make([]*peerapi.FleetRecord, len(list))
	for i, r := range list {
		size += len(r.Key) + len(r.Value)
		messages[i] = recordMessage(r)
	}
	if size <= packThreshold {
		s.Changes = messages
		return nil
	}
	if p.position != position || len(p.packed) >= maxPacked {
		p.position, p.packed = position, make(map[uint64][]byte)
	}
	if p.packed[after] == nil {
		packed, err := pack(&peerapi.FleetRecords{Records: messages})
		if err != nil {
			return errors.Wrap(err, "compress records")
		}
		p.packed[after] = packed
	}
	s.PackedChanges = p.packed[after]
	return nil
}

func recordMessage(r records.Record) *peerapi.FleetRecord {
	return &peerapi.FleetRecord{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted, Lapsed: r.Lapsed}
}

func recordFromMessage(m *peerapi.FleetRecord) records.Record {
	return records.Record{Key: m.GetKey(), Value: m.GetValue(), Revision: m.GetRevision(), Deleted: m.GetDeleted(), Lapsed: m.GetLapsed()}
}

func pack(m *peerapi.FleetRecords) ([]byte, error) {
	plain, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// recordsFromMessage returns the changes in a message, packed or not.
func recordsFromMessage(s *peerapi.FleetState) ([]records.Record, error) {
	messages := s.GetChanges()
	if packed := s.GetPackedChanges(); len(packed) > 0 {
		plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPlainBytes+1))
		if err == nil && len(plain) > maxPlainBytes {
			err = errors.Errorf("more than %d bytes", maxPlainBytes)
		}
		if err != nil {
			return nil, errors.Wrap(err, "decompress records")
		}
		var all peerapi.FleetRecords
		if err := proto.Unmarshal(plain, &all); err != nil {
			return nil, errors.Wrap(err, "decode packed records")
		}
		messages = all.GetRecords()
	}
	list := make([]records.Record, len(messages))
	for i, m := range messages {
		list[i] = recordFromMessage(m)
	}
	return list, nil
}

func reportMessage(now time.Duration, t *trackedReport) *peerapi.FleetStrike {
	return &peerapi.FleetStrike{Id: t.id, Request: t.Request[:], Resource: t.Resource[:], Target: t.Target, AgeMs: uint32(max(0, now-t.At).Milliseconds()),
		Completed: t.Completed, AfterFailure: t.AfterFailure}
}

// reportFromMessage returns a failure report and its identifier.
func reportFromMessage(now time.Duration, m *peerapi.FleetStrike) (uint64, quarantine.FailureReport, error) {
	r := quarantine.FailureReport{Target: m.GetTarget(), At: now - time.Duration(m.GetAgeMs())*time.Millisecond, Completed: m.GetCompleted(),
		AfterFailure: m.GetAfterFailure()}
	if len(m.GetRequest()) != len(r.Request) {
		return 0, r, errors.Errorf("request fingerprint has %d bytes, want %d", len(m.GetRequest()), len(r.Request))
	}
	r.Request = poison.Fingerprint(m.GetRequest())
	switch len(m.GetResource()) {
	case 0: // of a build that does not know it
	case len(r.Resource):
		r.Resource = poison.Fingerprint(m.GetResource())
	default:
		return 0, r, errors.Errorf("resource fingerprint has %d bytes, want %d", len(m.GetResource()), len(r.Resource))
	}
	return cmp.Or(m.GetId(), contentID(r)), r, nil
}

func addressesFromNumbers(list []uint32) []netip.Addr {
	addresses := make([]netip.Addr, len(list))
	for i, number := range list {
		addresses[i] = addressFromNumber(number)
	}
	return addresses
}

// addressFromNumber returns the IPv4 address for its big-endian number.
func addressFromNumber(number uint32) netip.Addr {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], number)
	return netip.AddrFrom4(ip)
}

func numberFromAddress(ip netip.Addr) uint32 {
	four := ip.As4()
	return binary.BigEndian.Uint32(four[:])
}
