package fleet

import (
	"net/netip"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against an instance that is cut off and asks ever more witnesses about each member
// that it does not reach.
func TestOneQuestionAtATimeAboutAMember(t *testing.T) {
	is := is.New(t)
	task := newStoppedTask(t, netip.MustParseAddr("10.0.0.1"), refusingDecoder{})
	member := func(domain, n int) Member {
		return Member{IP: netip.AddrFrom4([4]byte{10, byte(domain), 0, byte(n)}), Incarnation: 1, Heartbeat: 1, Domain: domain, State: Ready}
	}
	for domain := 1; domain < 4; domain++ {
		for n := 1; n < 9; n++ {
			task.roster.merge(0, member(domain, n), true)
		}
	}
	suspect := member(1, 1).IP
	p := task.roster.peers[suspect]
	p.failures = 1
	asked := func() (n int) {
		for ip := range task.exchanging {
			if task.roster.peers[ip].Domain != 1 {
				n++
			}
		}
		return n
	}
	task.askWitnesses(0, suspect)
	is.Equal(asked(), witnesses)
	task.askWitnesses(0, suspect)
	is.Equal(asked(), witnesses)
	for ip := range task.exchanging {
		task.handleAnswer(0, ip, broadcast{suspects: []netip.Addr{suspect}}, nil, errors.New("cut"))
		break
	}
	is.True(p.openQuestions <= witnesses) // the other one is still being asked
	is.True(p.openQuestions > 0)
}
