package steward

import (
	"expvar"
	"net"
	"net/http"
	"testing"

	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/trial"
)

// TestBrokenAnswersAreErrors sends broken heads, with the body of a sound answer, to calls of the log service, the weight store, the list of VMs
// and engines.
func TestBrokenAnswersAreErrors(t *testing.T) {
	calls := map[string]func(t *testing.T, address string, client *http.Client) error{
		"append": func(t *testing.T, address string, client *http.Client) error {
			_, err := trial.NewLogClient("http://"+address, client).Append(t.Context(), "s", []trial.NewRecord{{}})
			return err
		},
		"latest version": func(t *testing.T, address string, client *http.Client) error {
			_, err := trial.NewStoreClient("http://"+address, client).Latest(t.Context(), "m")
			return err
		},
		"list of VMs": func(t *testing.T, address string, client *http.Client) error {
			_, err := trial.NewVMListClient("http://"+address, client).VMs(t.Context())
			return err
		},
		"order": func(t *testing.T, address string, client *http.Client) error {
			_, err := trial.NewEngineClient(client).Order(t.Context(), address, trial.Order{ID: "o"})
			return err
		},
	}
	for name, call := range calls {
		for _, a := range faults.BrokenHeads {
			t.Run(name+"/"+a.Name, func(t *testing.T) {
				l, err := faults.ServeRaw(func(c net.Conn, req *http.Request) { a.Send(c, req, "", "{}") })
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				client := httpClient(process.NewDialer(nil), new(expvar.Map), "test")
				defer client.CloseIdleConnections()
				if call(t, l.Addr().String(), client) == nil {
					t.Error("a broken answer was taken for a sound one")
				}
			})
		}
	}
}
