package fleet

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/records"
)

// configInForce is the configuration in force. Its record is kept apart from the set of
// records: a restored store may have an older version until the operators write it again,
// and peers must not go back to that.
type configInForce struct {
	version int64 // 0 if there is none
	record  records.Record
	// refused is the highest version that a peer sent and that could not be decoded. It is
	// not requested again.
	refused int64
}

// known returns the highest version that this instance need not get from peers.
func (c *configInForce) known() int64 { return max(c.version, c.refused) }

// setConfig puts the configuration of a record into force if its version is higher.
func (t *Task) setConfig(r records.Record, config *catalog.Config) (accepted bool) {
	if accepted = t.builder.SetConfig(config); accepted {
		t.config.version, t.config.record = config.Version, r
	}
	t.options.Log.Info("configuration received", "version", config.Version, "era", t.set.Position().Era, "revision", r.Revision,
		"in_force", accepted, "idle_timeout_ms", config.Limits.IdleTimeout.Milliseconds(),
		"header_timeout_ms", config.Limits.HeaderTimeout.Milliseconds())
	return accepted
}

// configFor returns the record of the configuration in force for the answer to a peer, or
// nil if the peer has it, gets it with the changes of the answer or does not know the
// field.
func (t *Task) configFor(peer, answer *peerapi.FleetState) *peerapi.FleetRecord {
	if peer.ConfigVersion == nil || peer.GetConfigVersion() >= t.config.version {
		return nil
	}
	stored, ok := t.set.Get(t.config.record.Key)
	if ok && answer.GetHasChanges() && stored.Revision > answer.GetChangesAfter() && bytes.Equal(stored.Value, t.config.record.Value) {
		return nil
	}
	return recordMessage(t.config.record)
}

// mergeConfig puts the configuration that a peer sent apart from its changes into force if
// its version is higher.
func (t *Task) mergeConfig(now time.Duration, s *peerapi.FleetState, sender netip.Addr) {
	if s.GetConfig() == nil {
		return
	}
	r := recordFromMessage(s.GetConfig())
	entry, err := t.decode(r)
	if err == nil && entry.Config == nil {
		err = errors.New("record contains no configuration")
	}
	if err != nil {
		t.options.Log.Warn("cannot decode configuration from peer, ignored", "peer", sender.String(), "version", s.GetConfigVersion(), "key", r.Key, "error", logText(err))
		t.config.refused = max(t.config.refused, s.GetConfigVersion())
		return
	}
	if t.setConfig(r, entry.Config) {
		t.publishView(now)
	}
}

// requestConfig requests the configuration in force at a peer that started an exchange, if
// its version is higher than the one here and its state did not bring it. An instance
// that starts an exchange itself gets the configuration with the answer.
func (t *Task) requestConfig(now time.Duration, s *peerapi.FleetState, sender netip.Addr) {
	if s.GetSelf() != nil && s.GetConfigVersion() > t.config.known() && t.positionFromMessage(s).Compare(t.set.Position()) <= 0 {
		t.contact(now, sender, broadcast{})
	}
}
