package once

// Fingerprint is a hash of the content of a request. It is compared before
// a recorded response is returned, so that no other request with the same ticket
// gets it. A poison.Fingerprint converts to it.
type Fingerprint [16]byte
