package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func TestBudgetLimitsRetriesToAShareOfRequests(t *testing.T) {
	is := is.New(t)
	b := NewBudget(10)
	for b.Spend(start) {
	}
	retries := 0
	for range 1000 { // outage: each request fails and is to be retried
		b.AddRequest(start)
		if b.Spend(start) {
			retries++
		}
	}
	is.True(retries >= 99 && retries <= 101)
	is.True(b.Tokens() < 1)
	b.AddRequest(start.Add(time.Hour))
	is.True(b.Tokens() <= maxTokens)
}

func TestBackoffAppliesJitterAndDeadline(t *testing.T) {
	is := is.New(t)
	d, ok := Backoff(start, time.Time{}, 1, 0.5)
	is.True(ok)
	is.Equal(d, BaseBackoff/2)
	d, _ = Backoff(start, time.Time{}, 50, 0.5)
	is.Equal(d, MaxBackoff/2)
	_, ok = Backoff(start, start.Add(100*time.Millisecond), 50, 0.5)
	is.Equal(ok, false)
}
