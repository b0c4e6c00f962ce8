package entry

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestReload(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	file, mistake := Settings{VM: "vm-1", Cores: 1, MemoryBytes: 100}, error(nil)
	var applied []Settings
	r := NewReloader(file, func() (Settings, error) { return file, mistake }, func(s Settings) { applied = append(applied, s) }, slog.New(slog.NewTextHandler(&out, nil)))
	r.Reload()
	is.Equal(len(applied), 0) // nothing has changed
	file.MemoryBytes, file.ListenAddress = 200, "10.0.0.1:80"
	r.Reload()
	is.Equal(len(applied), 1)
	is.Equal(applied[0].MemoryBytes, int64(200))
	is.True(strings.Contains(out.String(), "applied=[MemoryBytes] at_next_start=[ListenAddress]"))
	mistake = errors.New("line 3")
	r.Reload()
	r.Reload()
	is.Equal(len(applied), 1)                                         // an invalid file changes nothing
	is.Equal(strings.Count(out.String(), "msg=settings_rejected"), 1) // and is logged once
	mistake = nil
	r.Reload()
	is.Equal(len(applied), 1)
}
