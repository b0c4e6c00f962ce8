package load

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/deployment"
	"github.com/ibistrail/ibistrail/internal/loopback"
	"github.com/matryer/is"
)

func TestDemoOnSmallDeployment(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	d, err := StartLocalDeployment(ctx, deployment.Options{Preset: deployment.PresetSmall, DrainTimeoutMs: 2000, Host: loopback.Host()}, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	defer d.Close()
	tally, err := Demo(ctx, DemoOptions{Site: d.Site, Duration: 3 * time.Second, Seed: 1, InitialVersion: 1, Log: slog.New(slog.DiscardHandler)})
	is.NoErr(err)
	for _, p := range tally.Problems {
		t.Log(p)
	}
	t.Log(tally.Line(), tally.Calls, tally.Answered, tally.Wrong)
	is.True(tally.Passed())
}
