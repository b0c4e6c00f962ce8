package rollout

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/explain"
	"github.com/matryer/is"
)

func TestExplainRecordsStepEvents(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	m := cluster.gate(t, "a")
	m.opts.Explain = explain.New(0, time.Now)
	ctx := context.Background()
	_, err := m.Submit(ctx, "tr", testRoute(), scoredSpec())
	is.True(err == nil)
	pullAll(t, func(r api.PullRequest) (*api.PullResponse, *api.Error) { return m.Pull(ctx, "tr", "s", r) }, nil, 12)
	is.True(m.Release(ctx, "tr", "s") == nil)
	var names []string
	for _, e := range m.opts.Explain.Events("s") {
		names = append(names, e.Name)
	}
	is.True(slices.Contains(names, "step_accepted"))
	is.True(slices.Contains(names, "delivered"))
	is.Equal(m.opts.Explain.Events("other"), nil)
}
