package admin

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// topic identifies the subject of a view.
type topic struct {
	subject      Subject
	pool, target string
}

// Compare returns the subjects on which the statuses differ, ordered by subject,
// pool and target. A target that only some instances know is not listed by itself:
// it follows from different configuration versions.
func Compare(statuses []Status) []Disagreement {
	views := make(map[topic]map[string][]string)
	addView := func(t topic, value, instance string) {
		if views[t] == nil {
			views[t] = make(map[string][]string)
		}
		views[t][value] = append(views[t][value], instance)
	}
	for i := range statuses {
		s := &statuses[i]
		id := s.Instance.ID
		addView(topic{subject: SubjectVersion},
			fmt.Sprintf("version %d, digest %s", s.Configuration.Version, s.Configuration.Digest), id)
		addView(topic{subject: SubjectMembers}, strconv.Itoa(s.Fleet.Live), id)
		for _, pool := range s.Pools {
			for _, target := range pool.Targets {
				addView(topic{SubjectTarget, pool.Name, target.Name}, string(target.State), id)
			}
		}
	}
	var list []Disagreement
	for t, byValue := range views {
		if len(byValue) > 1 {
			list = append(list, Disagreement{Subject: t.subject, Pool: t.pool, Target: t.target, Views: newViews(byValue)})
		}
	}
	slices.SortFunc(list, func(a, b Disagreement) int {
		return cmp.Or(a.Subject.rank()-b.Subject.rank(), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Target, b.Target))
	})
	return list
}

func newViews(byValue map[string][]string) []View {
	list := make([]View, 0, len(byValue))
	for value, instances := range byValue {
		slices.Sort(instances)
		list = append(list, View{Value: value, Instances: instances})
	}
	slices.SortFunc(list, func(a, b View) int {
		return cmp.Or(cmp.Compare(len(b.Instances), len(a.Instances)), cmp.Compare(a.Value, b.Value))
	})
	return list
}

// rank returns the position of a subject in the list, most important first.
func (s Subject) rank() int {
	switch s {
	case SubjectVersion:
		return 0
	case SubjectMembers:
		return 1
	default:
		return 2
	}
}
