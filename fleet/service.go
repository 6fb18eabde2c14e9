package fleet

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// service is the gRPC service for peers.
type service struct {
	peerapi.UnimplementedFleetServer
	task *Task
}

// Exchange implements peerapi.FleetServer. A peer that is new to this instance, or has
// restarted, gets the known members instead of an update.
func (s *service) Exchange(ctx context.Context, state *peerapi.FleetState) (*peerapi.FleetState, error) {
	answer, err := owner.Call(ctx, s.task.loop, func(now time.Duration) *peerapi.FleetState {
		isNew := s.task.merge(now, state)
		received := s.task.averageDemand(now, state)
		sender := addressFromNumber(state.GetSelf().GetIp())
		s.task.requestConfig(now, state, sender)
		refers := s.task.refersToOthers(now, state)
		answer := s.task.stateFor(now, sender, s.task.positionFromMessage(state), !refers)
		if !refers { // it gets the configuration with the records
			answer.Config = s.task.configFor(state, answer)
		}
		s.task.answerDemand(now, answer, received, isNew)
		if isNew {
			answer.Members = answer.Members[:0]
			for _, m := range s.task.roster.initialMembers() {
				answer.Members = append(answer.Members, memberMessage(m))
			}
		}
		return answer
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return answer, nil
}
