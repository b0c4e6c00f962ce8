package logtail

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLastResortIsReachedAfter70PercentOfRetention(t *testing.T) {
	is := is.New(t)
	now, retention := time.Unix(0, 0).Add(time.Hour), 100*time.Second
	c := NewSnapshotSchedule(1)
	is.True(!c.NearExpiry(now, retention))
	c.RecordSnapshot(now, retention)
	is.True(c.Due(now.Add(46*time.Second), retention))
	is.True(!c.NearExpiry(now.Add(46*time.Second), retention)) // a newer node may still append one
	is.True(c.NearExpiry(now.Add(70*time.Second), retention))
	is.True(c.Due(now.Add(70*time.Second), retention)) // due again for the retry
	is.True(!c.NearExpiry(now.Add(70*time.Second), 0)) // records never expire
}
