package gate

import (
	"context"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/explain"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
)

func TestExplainRequiresOperatorToken(t *testing.T) {
	is := is.New(t)
	g := &Gate{explain: explain.New(0, time.Now)}
	// The hex SHA-256 of "operator".
	g.opts.Settings = settings.Gate{OperatorTokenSHA256: "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"}
	for token, code := range map[string]int64{"operator": 0, "": wire.CodeUnauthorized, "peer-token": wire.CodeUnauthorized} {
		_, err := g.handleExplain(context.Background(), wire.ExplainParams{OperatorParams: wire.OperatorParams{Token: token}, RequestID: "r"})
		is.Equal(rpc.Code(err), code) // token
	}
	g.opts.Settings.OperatorTokenSHA256 = ""
	_, err := g.handleExplain(context.Background(), wire.ExplainParams{})
	is.Equal(rpc.Code(err), int64(wire.CodeUnauthorized)) // no operator token is configured
}
