package hostile

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// largeAnswerBytes is the size of an answer that is read whole before it is passed on.
	largeAnswerBytes = 3 << 20
	// largeAnswers of them are more than the memory of the VM.
	largeAnswers = 64
	// submissionBytes is the size of a submission that fits into the budget for bodies.
	submissionBytes = 8 << 20
	// longItemID and eventsPerItem make the text of an item nearly as long as a page of results: each event has the item's ID. JSON may
	// encode the character of the ID in six bytes.
	longItemID    = 4000
	eventsPerItem = 200
	// pageReaders hold more than the memory of the VM, with fewer connections than it may have.
	pageReaders = 150
	// acceptedSubmissions of 4 items of acceptedItemBytes are twice the memory of the VM.
	acceptedSubmissions = 144
	acceptedItemBytes   = 512 << 10
)

// readStatus reads the head of an answer and returns its status.
func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return 0
	}
	return resp.StatusCode
}

// TestBodiesWithoutEnd guards against bodies that are never whole: too many bytes, chunk extensions, trailers.
func TestBodiesWithoutEnd(t *testing.T) {
	const start = "POST /desk/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: x\r\nDeadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, start string
		piece       func(i int) string
	}{
		{"chunks", start, func(int) string { return "10\r\nxxxxxxxxxxxxxxxx\r\n" }},
		{"chunks of a byte", start, func(int) string { return "1\r\nx\r\n" }},
		{"a chunk extension", start + "1;", func(int) string { return "xxxxxxxxxxxxxxxx" }},
		{"trailers", start + "0\r\n", shortHeader},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := startVM(t)
			v.crowd(crowd, func(conn net.Conn) {
				send(conn, endless, func(i int) string {
					if i == 0 {
						return c.start + c.piece(0)
					}
					return c.piece(i)
				})
				_ = conn.(*net.TCPConn).CloseWrite() // fails if the process has ended the connection
				readToEnd(t, conn)
			})
			v.checkHealthy()
		})
	}
}

// TestBodiesThatNeverCome guards against clients that announce bodies which take up the whole budget, and send nothing of them.
func TestBodiesThatNeverCome(t *testing.T) {
	v := startVM(t)
	for length := 32 << 20; length > 0; length /= 2 {
		v.crowd(2, func(c net.Conn) {
			send(c, 1, func(int) string {
				return fmt.Sprintf("POST /desk/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: x\r\nDeadline-Ms: 3000\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", host, length)
			})
			_, err := c.Read(make([]byte, 1)) // the body is awaited, or refused
			if err != nil {
				t.Log(err)
			}
		})
	}
	v.checkHealthy()
}

// TestSubmissionsOfManyParts guards against submissions whose decoded form takes many times the memory of their bytes.
func TestSubmissionsOfManyParts(t *testing.T) {
	for _, c := range []struct {
		name, start, end string
		part             func(i int) string
	}{
		{"items", `{"Items":[{}`, `]}`, func(int) string { return ",{}" }},
		{"items with names", `{"Items":[{}`, `]}`, func(i int) string { return fmt.Sprintf(`,{"Id":"%x","Path":"/"}`, i) }},
		{"headers of an item", `{"Items":[{"Id":"a","Path":"/","Headers":{"a":""`, `}}]}`, func(i int) string { return fmt.Sprintf(`,"%x":""`, i) }},
		{"prompt parts of an item", `{"Items":[{"Id":"a","Path":"/","Headers":{"Prompt-Prefix":"a:1`, `"}}]}`, func(int) string { return ",a:1" }},
		{"levels", `{"Items":`, ``, func(int) string { return "[" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := startVM(t)
			var body strings.Builder
			body.WriteString(c.start)
			for i := 0; body.Len() < submissionBytes; i++ {
				body.WriteString(c.part(i))
			}
			body.WriteString(c.end)
			v.crowd(2, func(conn net.Conn) {
				head := fmt.Sprintf("POST /notes/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", host, body.Len())
				send(conn, len(head)+body.Len(), func(int) string { return head + body.String() })
				readToEnd(t, conn)
			})
			v.checkHealthy()
		})
	}
}

// TestAnswersThatNobodyReads guards against answers that are held for clients which don't read them.
func TestAnswersThatNobodyReads(t *testing.T) {
	v := startVM(t)
	for i := range largeAnswers {
		v.crowd(1, func(c net.Conn) {
			send(c, 1, func(int) string {
				return fmt.Sprintf("GET /large/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: large-%d\r\nDeadline-Ms: 3000\r\n\r\n", host, i)
			})
			if _, err := c.Read(make([]byte, 1)); err != nil { // the answer has begun
				t.Log(err)
			}
		})
	}
	v.checkHealthy()
}

// TestPipelinedRequests guards against clients that send requests without end and read no answer.
func TestPipelinedRequests(t *testing.T) {
	v := startVM(t)
	v.crowd(crowd, func(c net.Conn) {
		if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Error(err)
		}
		send(c, 256<<10, func(i int) string {
			return fmt.Sprintf("GET /nowhere/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: p-%d\r\n\r\n", i, host, i)
		})
	})
	v.checkHealthy()
}

// TestResultsThatNobodyReads guards against pages of results that are held for clients which don't read them.
func TestResultsThatNobodyReads(t *testing.T) {
	v := startVM(t)
	item := strings.Repeat("<", longItemID)
	body := fmt.Sprintf(`{"Model":"drafts","DesiredCount":1,"Items":[{"Id":%q,"Path":"/notes/a","Group":"g","Headers":{"Model":"drafts"},"Body":"YQ=="}]}`, item)
	if status := v.call("POST /notes/b HTTP/1.1", "Request-Id: long-texts", body); status != http.StatusAccepted {
		t.Fatalf("status of the submission %d, want 202", status)
	}
	for deadline := time.Now().Add(watchdog); !v.hasResult("long-texts"); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the item has no result")
		}
	}
	v.crowd(pageReaders, func(c net.Conn) {
		if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Error(err)
		}
		send(c, 1, func(int) string { return "GET /v1/lots/long-texts?After=0 HTTP/1.1\r\nHost: " + host + "\r\n\r\n" })
		if _, err := c.Read(make([]byte, 1)); err != nil { // the answer has begun
			t.Log(err)
		}
	})
	v.checkHealthy()
}

// call sends a request whose body may be empty on a connection of its own, and returns the status of the answer.
func (v *entryVM) call(requestLine, headers, body string) int {
	v.t.Helper()
	status := 0
	v.crowd(1, func(c net.Conn) {
		text := fmt.Sprintf("%s\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n\r\n%s", requestLine, host, len(body), headers, body)
		send(c, len(text), func(int) string { return text })
		status = readStatus(v.t, c)
	})
	return status
}

// hasResult reports whether a batch has a result.
func (v *entryVM) hasResult(batch string) bool {
	v.t.Helper()
	found := false
	v.crowd(1, func(c net.Conn) {
		send(c, 1, func(int) string {
			return "GET /v1/lots/" + batch + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n"
		})
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			v.t.Log(err)
			return
		}
		var page struct{ Next int }
		if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
			v.t.Log(err)
		}
		found = page.Next > 0
	})
	return found
}

// TestSubmissionsThatAreAllAccepted guards against accepted items that are held beyond the memory of the VM: each submission is within the
// limits, and none is ended.
func TestSubmissionsThatAreAllAccepted(t *testing.T) {
	v := startVM(t)
	itemBody := base64.StdEncoding.EncodeToString(make([]byte, acceptedItemBytes))
	accepted := 0
	for i := range acceptedSubmissions {
		var items []string
		for n := range 4 {
			items = append(items, fmt.Sprintf(`{"Id":"i%d-%d","Path":"/notes/a","Group":"g","Headers":{"Model":"drafts"},"Body":%q}`, i, n, itemBody))
		}
		body := fmt.Sprintf(`{"Model":"drafts","DesiredCount":1,"Items":[%s]}`, strings.Join(items, ","))
		if v.call("POST /notes/b HTTP/1.1", fmt.Sprintf("Request-Id: b%d", i), body) == http.StatusAccepted {
			accepted++
		}
	}
	t.Logf("accepted %d of %d", accepted, acceptedSubmissions)
	if accepted == 0 {
		t.Error("no submission was accepted")
	}
	v.checkHealthy()
}
