package poison

import "github.com/cespare/xxhash/v2"

// CoordinatorOf returns the member that grants the leases on a key, by rendezvous
// hashing: the one with the greatest hash of member and key. It returns the
// empty string if there are no members.
func CoordinatorOf(key Fingerprint, members []string) string {
	var chosen string
	var greatest uint64
	for _, member := range members {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(member)
		_, _ = d.Write(key[:])
		if sum := d.Sum64(); chosen == "" || sum > greatest || sum == greatest && member < chosen {
			chosen, greatest = member, sum
		}
	}
	return chosen
}

// targetKey returns the key of the lease on a target. It differs from the
// fingerprints of all requests, because the route of a request is not empty.
func targetKey(target string) Fingerprint { return NewHasher("", "target", target).Sum() }
