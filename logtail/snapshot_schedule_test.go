package logtail

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNearExpiryAfter70PercentOfRetention(t *testing.T) {
	is := is.New(t)
	now, retention := time.Unix(0, 0).Add(time.Hour), 100*time.Second
	s := NewSnapshotSchedule(1)
	is.True(!s.NearExpiry(now, retention))
	s.RecordSnapshot(now, retention)
	is.True(s.Due(now.Add(46*time.Second), retention))
	is.True(!s.NearExpiry(now.Add(46*time.Second), retention)) // a newer node may still append one
	is.True(s.NearExpiry(now.Add(70*time.Second), retention))
	is.True(s.Due(now.Add(70*time.Second), retention)) // due again for the retry
	is.True(!s.NearExpiry(now.Add(70*time.Second), 0)) // records never expire
}
