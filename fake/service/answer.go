package service

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/ibistrail/ibistrail/fake/faults"
)

// answer sends the result, subject to the faults that act on answers.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, body []byte, f Faults) {
	status, v := s.result(r, body)
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	switch {
	case s.takeDieFault(PointMidBody):
		writePartialAndAbort(w, status, raw[:len(raw)/2])
	case s.takeDieFault(PointLastByte):
		writePartialAndAbort(w, status, raw[:len(raw)-1])
	case f.AnswerTwice, f.CloseIdle:
		writeHijacked(w, status, raw, f)
	default:
		w.WriteHeader(status)
		_, _ = w.Write(raw) // fails only if the caller has disconnected
	}
}

// writePartialAndAbort sends part of an answer and aborts the connection.
func writePartialAndAbort(w http.ResponseWriter, status int, part []byte) {
	w.WriteHeader(status)
	_, _ = w.Write(part)                      // fails only if the caller has disconnected
	_ = http.NewResponseController(w).Flush() // fails only if the caller has disconnected
	faults.Abort()
}

// writeHijacked writes the answer to the hijacked connection, twice if AnswerTwice is set, and closes the connection without
// a header that announces it.
func writeHijacked(w http.ResponseWriter, status int, raw []byte, f Faults) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		faults.Abort()
	}
	defer c.Close()
	msg := []byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) +
		"\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(raw)) + "\r\n\r\n")
	msg = append(msg, raw...)
	if f.AnswerTwice {
		msg = append(msg, msg...)
	}
	_, _ = c.Write(msg) // fails only if the caller has disconnected
}
