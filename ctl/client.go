package ctl

import (
	"context"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/spf13/cobra"
)

// maxRounds is the number of times that a call tries all servers before it fails.
const maxRounds = 3

// retryPause is the delay between two rounds.
const retryPause = 300 * time.Millisecond

// readTimeout is the time limit for a call to one steward that only reads.
const readTimeout = 5 * time.Second

// client calls stewards and fails over to the next one if one does not answer.
type client struct {
	pool *rpc.Pool
	// servers holds addresses in the order in which they are tried: the one that answered last comes first.
	servers []string
	token   string
	timeout time.Duration
}

// connect returns a context that expires after --timeout, a client, and a function that releases both.
func (a *app) connect(ctx context.Context) (context.Context, *client, func(), error) {
	if len(a.servers) == 0 {
		return nil, nil, nil, usageErrorf("specify a steward with --server IP:PORT or $"+EnvServer, "no server is given")
	}
	token, err := a.readToken()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	c := &client{pool: rpc.NewPool(rpc.Options{}), servers: a.servers, token: token, timeout: a.timeout}
	return ctx, c, func() { cancel(); c.pool.Close() }, nil
}

// runWithClient returns the RunE function of a command that calls stewards.
func (a *app) runWithClient(do func(ctx context.Context, c *client, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ctx, c, done, err := a.connect(cmd.Context())
		if err != nil {
			return err
		}
		defer done()
		return do(ctx, c, args)
	}
}

func (a *app) readToken() (string, error) {
	if a.tokenFile == "" {
		return "", usageErrorf("specify the file with the operator token with --token-file or $"+EnvTokenFile, "no token is given")
	}
	data, err := os.ReadFile(a.tokenFile)
	if err != nil {
		return "", &Error{Exit: ExitUsage, Message: "cannot read the token file", Err: err, Remedy: "specify a readable file with --token-file"}
	}
	return strings.TrimSpace(string(data)), nil
}

func (c *client) auth() wire.OperatorParams { return wire.OperatorParams{Token: c.token} }

// call tries the servers in turn until one answers. Every method is safe to repeat: a change that is
// sent twice is decided once, by its ID.
func (c *client) call(ctx context.Context, method string, params, result any) error {
	var lastErr, unavailableErr error // unavailableErr has a steward's reason and is preferred to a later timeout
	for round := range maxRounds {
		if round > 0 && !pause(ctx, retryPause) {
			break
		}
		for i, s := range c.servers {
			lastErr = c.callOne(ctx, s, method, params, result)
			if lastErr == nil {
				c.servers = append([]string{s}, slices.Delete(slices.Clone(c.servers), i, i+1)...)
				return nil
			}
			if code := rpc.Code(lastErr); code == wire.CodeUnavailable || code == wire.CodeNotReady {
				unavailableErr = lastErr
			} else if code != 0 {
				return remoteError(lastErr)
			}
			if ctx.Err() != nil {
				break
			}
		}
	}
	if unavailableErr != nil {
		return remoteError(unavailableErr)
	}
	return remoteError(lastErr)
}

// callOne calls one server with a timeout that leaves time for the others.
func (c *client) callOne(ctx context.Context, server, method string, params, result any) error {
	timeout := c.timeoutPerServer()
	if method != wire.MethodApply {
		timeout = min(timeout, readTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.pool.Call(ctx, server, method, params, result)
}

// timeoutPerServer returns the time limit for a call to one server.
func (c *client) timeoutPerServer() time.Duration { return c.timeout / time.Duration(len(c.servers)) }

// pause waits for d and reports whether ctx is still active.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (c *client) get(ctx context.Context) (*wire.GetResult, error) {
	var r wire.GetResult
	if err := c.call(ctx, wire.MethodGet, c.auth(), &r); err != nil {
		return nil, err
	}
	return &r, nil
}

func (c *client) nodes(ctx context.Context) (*wire.NodesResult, error) {
	var r wire.NodesResult
	if err := c.call(ctx, wire.MethodNodes, c.auth(), &r); err != nil {
		return nil, err
	}
	return &r, nil
}

func envList(name string) []string {
	if v := os.Getenv(name); v != "" {
		return strings.Split(v, ",")
	}
	return nil
}
