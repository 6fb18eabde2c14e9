package fleet

import (
	"bytes"
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
	// packThreshold is the size in bytes from which changes are sent compressed. The
	// compressor itself takes about 600 KB of memory for a moment.
	packThreshold = 16 << 10
	// maxPlainBytes bounds unpacked changes: a configuration of at most a megabyte
	// and the entries of some thousand targets.
	maxPlainBytes = 8 << 20
)

func memberMessage(m Member) *peerapi.FleetMember {
	return &peerapi.FleetMember{Ip: numberFromAddress(m.IP), Incarnation: m.Incarnation,
		Heartbeat: m.Heartbeat, Domain: uint32(m.Domain), Flags: uint32(m.State)}
}

func memberFromMessage(m *peerapi.FleetMember) Member {
	return Member{IP: addressFromNumber(m.GetIp()), Incarnation: m.GetIncarnation(), Heartbeat: m.GetHeartbeat(),
		Domain: int(m.GetDomain()), State: MemberState(m.GetFlags())}
}

// packer turns records into messages. It keeps the compressed forms of one
// revision, so that changes that go to many peers are compressed once.
type packer struct {
	revision uint64
	packed   map[uint64][]byte // by the revision from which the changes are
}

// maxPacked bounds the compressed forms that are kept.
const maxPacked = 4

// put writes the changes between two revisions to a message.
func (p *packer) put(s *peerapi.FleetState, list []records.Record, after, revision uint64) error {
	size := 0
	messages := make([]*peerapi.FleetRecord, len(list))
	for i, r := range list {
		size += len(r.Key) + len(r.Value)
		messages[i] = &peerapi.FleetRecord{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted, Lapsed: r.Lapsed}
	}
	if size <= packThreshold {
		s.Changes = messages
		return nil
	}
	if p.revision != revision || len(p.packed) >= maxPacked {
		p.revision, p.packed = revision, make(map[uint64][]byte)
	}
	if p.packed[after] == nil {
		packed, err := pack(&peerapi.FleetRecords{Records: messages})
		if err != nil {
			return errors.Wrap(err, "pack records")
		}
		p.packed[after] = packed
	}
	s.PackedChanges = p.packed[after]
	return nil
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

// recordsFromMessage returns the changes in a message.
func recordsFromMessage(s *peerapi.FleetState) ([]records.Record, error) {
	messages := s.GetChanges()
	if packed := s.GetPackedChanges(); len(packed) > 0 {
		plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPlainBytes))
		if err != nil {
			return nil, errors.Wrap(err, "unpack records")
		}
		var all peerapi.FleetRecords
		if err := proto.Unmarshal(plain, &all); err != nil {
			return nil, errors.Wrap(err, "read packed records")
		}
		messages = all.GetRecords()
	}
	list := make([]records.Record, len(messages))
	for i, m := range messages {
		list[i] = records.Record{Key: m.GetKey(), Value: m.GetValue(), Revision: m.GetRevision(), Deleted: m.GetDeleted(),
			Lapsed: m.GetLapsed()}
	}
	return list, nil
}

func reportMessage(now time.Duration, s quarantine.FailureReport) *peerapi.FleetStrike {
	return &peerapi.FleetStrike{Request: s.Request[:], Target: s.Target, AgeMs: uint32(max(0, now-s.At).Milliseconds()),
		Completed: s.Completed}
}

func reportFromMessage(now time.Duration, m *peerapi.FleetStrike) (quarantine.FailureReport, error) {
	s := quarantine.FailureReport{Target: m.GetTarget(), At: now - time.Duration(m.GetAgeMs())*time.Millisecond, Completed: m.GetCompleted()}
	if len(m.GetRequest()) != len(s.Request) {
		return s, errors.Errorf("fingerprint of %d bytes instead of %d", len(m.GetRequest()), len(s.Request))
	}
	s.Request = poison.Fingerprint(m.GetRequest())
	return s, nil
}

func addressesFromNumbers(list []uint32) []netip.Addr {
	addresses := make([]netip.Addr, len(list))
	for i, number := range list {
		addresses[i] = addressFromNumber(number)
	}
	return addresses
}

func addressFromNumber(number uint32) netip.Addr {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], number)
	return netip.AddrFrom4(ip)
}

func numberFromAddress(ip netip.Addr) uint32 {
	four := ip.As4()
	return binary.BigEndian.Uint32(four[:])
}
