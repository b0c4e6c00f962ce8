package standin4

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// answer is what a client got; status is 0 without an answer.
type answer struct {
	status int
	body   []byte
}

// call sends one request on a new connection.
func (w *world) call(n *node, method, path string, header map[string]string, body []byte) answer {
	req, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = host
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := w.calls.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, data}
}

// itemID and scorerID are the IDs of item i of a batch and of its reward call.
func itemID(batch string, i int) string   { return fmt.Sprintf("%s%04x%s", batch[12:], i, batch[:8]) }
func scorerID(batch string, i int) string { return fmt.Sprintf("%s%s%04x", batch[:8], batch[12:], i) }

// prompt is the body of item i.
func (w *world) prompt(i int) []byte {
	text := []byte("prompt " + strconv.Itoa(i) + " ")
	return bytes.Repeat(text, 1+w.promptBytes/len(text))
}

// submit submits a step of items in groups of eight, each with a reward call.
func (w *world) submit(n *node, batch string, step, minVersion, items int) error {
	return w.submitAt(n, batchRoute+batch, batch, step, minVersion, items)
}

// submitAt is submit at a path of the route.
func (w *world) submitAt(n *node, path, batch string, step, minVersion, items int) error {
	var list []map[string]any
	for i := range items {
		list = append(list, map[string]any{
			"Id": itemID(batch, i), "Path": batchRoute + "3/" + strconv.Itoa(i), "Body": base64.StdEncoding.EncodeToString(w.prompt(i)),
			"Tokens": 4441, "Group": fmt.Sprintf("g%d", i/8),
			"Headers": map[string]string{"Model": modelName, "Token-Count": "1016,3425", "Prompt-Prefix": fmt.Sprintf("9c2e%02x:1000,%s:16", i/8, itemID(batch, i)), "Length-Hint": "1425"},
			"Scorer":  map[string]any{"Id": scorerID(batch, i), "Host": host, "Path": scoreRoute + "5e07", "Body": base64.StdEncoding.EncodeToString([]byte("score " + strconv.Itoa(i)))},
		})
	}
	body, err := json.Marshal(map[string]any{"Step": step, "Model": modelName, "MinVersion": minVersion, "DesiredCount": items / 8, "Items": list})
	if err != nil {
		return err
	}
	a := w.call(n, http.MethodPost, path, map[string]string{"Request-Id": batch, "Content-Type": "application/json"}, body)
	w.note("trainer: step %d, batch %s of %d items at %s, MinVersion %d, is answered %d", step, batch, items, path, minVersion, a.status)
	if a.status != http.StatusAccepted {
		return fmt.Errorf("%w: step %d was not accepted", errUnplayed, step)
	}
	return nil
}

// result is the result of an item.
type result struct {
	Id, State, Text, Score string
	Versions               []int64
}

// read reads the results of a batch until all are listed or the time is over, and returns them by item.
func (w *world) read(n *node, batch string, items int, limit time.Duration) map[string]result {
	listed := map[string]result{}
	for end, after := time.Now().Add(limit), 0; len(listed) < items && time.Now().Before(end); {
		a := w.call(n, http.MethodGet, fmt.Sprintf("/v1/lots/%s?After=%d", batch, after), map[string]string{"Wait-Ms": "1000"}, nil)
		var page struct {
			Total, Next int
			Results     []result
		}
		if a.status == http.StatusOK {
			if err := json.Unmarshal(a.body, &page); err != nil {
				w.note("trainer: a page of batch %s: %v", batch, err)
			}
			after = page.Next
		}
		w.note("trainer: results of batch %s are answered %d; %d more are listed", batch, a.status, len(page.Results))
		for _, r := range page.Results {
			listed[r.Id] = r
			w.note("trainer: %s is %s, of versions %v", r.Id, r.State, r.Versions)
		}
		if len(page.Results) == 0 {
			time.Sleep(500 * time.Millisecond)
		}
	}
	return listed
}
