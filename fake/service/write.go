package service

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/ibistrail/ibistrail/fake/faults"
)

// answer sends the result, whole or as the faults will have it.
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
	case s.dies(PointMidBody):
		cut(w, status, raw[:len(raw)/2])
	case s.dies(PointLastByte):
		cut(w, status, raw[:len(raw)-1])
	case f.AnswerTwice, f.CloseIdle:
		raws(w, status, raw, f)
	default:
		w.WriteHeader(status)
		_, _ = w.Write(raw) // the caller has gone
	}
}

// cut sends part of an answer and ends the connection.
func cut(w http.ResponseWriter, status int, part []byte) {
	w.WriteHeader(status)
	_, _ = w.Write(part)                      // the caller has gone
	_ = http.NewResponseController(w).Flush() // the caller has gone
	faults.Abort()
}

// raws writes the answer on the bare connection, twice or with a close that was not announced.
func raws(w http.ResponseWriter, status int, raw []byte, f Faults) {
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
	_, _ = c.Write(msg) // the caller has gone
}
