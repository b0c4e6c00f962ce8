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
	w, err := StartWorld(ctx, deployment.Options{Preset: deployment.PresetSmall, DrainTimeoutMs: 2000, Host: loopback.Host()}, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	defer w.Close()
	tally, err := Demo(ctx, DemoOptions{Site: w.Site, Length: 3 * time.Second, Seed: 1, Version: 1, Log: slog.New(slog.DiscardHandler)})
	is.NoErr(err)
	for _, p := range tally.Problems {
		t.Log(p)
	}
	t.Log(tally.Line(), tally.Calls, tally.Answered, tally.Wrong)
	is.True(tally.Good())
}
