package crashes

import "time"

// answersPerGeneration limits the answers of each of the two generations that recentAnswers keeps.
const answersPerGeneration = 2048

// recentAnswers holds when the requests that were answered last were answered, by fingerprint. It is not safe for
// concurrent use.
type recentAnswers struct {
	current, previous map[string]time.Time
}

func (a *recentAnswers) record(fingerprint string, at time.Time) {
	if a.current == nil || len(a.current) >= answersPerGeneration {
		a.current, a.previous = make(map[string]time.Time, answersPerGeneration/8), a.current
	}
	a.current[fingerprint] = at
}

// last returns when the request was answered last; zero if that is not known.
func (a *recentAnswers) last(fingerprint string) time.Time {
	if at, ok := a.current[fingerprint]; ok {
		return at
	}
	return a.previous[fingerprint]
}
