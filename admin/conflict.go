package admin

// Conflict is a document that has the version in force but different content. An
// operator resolves it by publishing a document with a higher version.
type Conflict struct {
	Version uint64 `json:"version"`
	// Digest is the hash of the other document.
	Digest string `json:"digest"`
	// Source says where the other document was seen: "service" or "peer ID".
	Source string `json:"source"`
}
