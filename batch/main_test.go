package batch

import (
	"testing"

	"github.com/ibistrail/ibistrail/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }
