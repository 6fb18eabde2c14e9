// Package confsync owns the configuration in force. It reads documents from the
// configuration service and fetches them from peers that announce a higher
// version. A document is accepted only if it is valid and its version is higher
// than the version in force, so the version never decreases.
//
// State decides which documents are accepted; it does no I/O. Syncer is the task
// that owns a State: it follows the service, fetches from peers, and applies
// accepted documents in order. After a start it applies nothing until it has
// queried the peers, so that a restarted instance does not serve an old version
// that a stale service returns.
package confsync
