package fleet

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/records"
)

const (
	// packAbove is the size in bytes from which a value is sent compressed.
	packAbove = 1 << 10
	// maxValueBytes bounds an unpacked value; the store holds at most a megabyte.
	maxValueBytes = 2 << 20
)

func memberMessage(m Member) *peerapi.FleetMember {
	ip := m.IP.As4()
	return &peerapi.FleetMember{Ip: binary.BigEndian.Uint32(ip[:]), Incarnation: m.Incarnation,
		Heartbeat: m.Heartbeat, Domain: uint32(m.Domain), Flags: uint32(m.State)}
}

func memberOf(m *peerapi.FleetMember) Member {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], m.GetIp())
	return Member{IP: netip.AddrFrom4(ip), Incarnation: m.GetIncarnation(), Heartbeat: m.GetHeartbeat(),
		Domain: int(m.GetDomain()), State: MemberState(m.GetFlags())}
}

// packer keeps the compressed form of large values, so that a value that goes
// to many peers is compressed once.
type packer struct {
	key    string
	of     uint64 // revision
	packed []byte
}

func (p *packer) messages(list []records.Record) ([]*peerapi.FleetRecord, error) {
	messages := make([]*peerapi.FleetRecord, len(list))
	for i, r := range list {
		m := &peerapi.FleetRecord{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted, Lapsed: r.Lapsed}
		if len(r.Value) > packAbove {
			packed, err := p.pack(r)
			if err != nil {
				return nil, errors.Wrapf(err, "pack record %q", r.Key)
			}
			m.Value, m.Packed = packed, true
		}
		messages[i] = m
	}
	return messages, nil
}

func (p *packer) pack(r records.Record) ([]byte, error) {
	if p.key == r.Key && p.of == r.Revision && p.packed != nil {
		return p.packed, nil
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(r.Value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	p.key, p.of, p.packed = r.Key, r.Revision, buffer.Bytes()
	return p.packed, nil
}

func recordsOf(messages []*peerapi.FleetRecord) ([]records.Record, error) {
	list := make([]records.Record, len(messages))
	for i, m := range messages {
		r := records.Record{Key: m.GetKey(), Value: m.GetValue(), Revision: m.GetRevision(), Deleted: m.GetDeleted(),
			Lapsed: m.GetLapsed()}
		if m.GetPacked() {
			value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Value)), maxValueBytes))
			if err != nil {
				return nil, errors.Wrapf(err, "unpack record %q", r.Key)
			}
			r.Value = value
		}
		list[i] = r
	}
	return list, nil
}
