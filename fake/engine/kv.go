package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/trial"
)

// hasKV reports whether the KV cache that req names was imported, covers its prompt and prefix tokens,
// and was made with the current weights. The caller holds e.mu.
func (e *Engine) hasKV(req *trial.CompletionRequest) bool {
	kv := e.kv[req.KV]
	return kv != nil && kv.Version == e.model.version && kv.Model == req.Model &&
		kv.Prompt == req.Prompt && slices.Equal(kv.Tokens, req.PrefixTokens)
}

func (e *Engine) handleExportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.sequences[mux.Vars(r)["id"]]
	var kv *trial.KV
	if s != nil {
		kv = &trial.KV{
			RequestID: s.id, Model: e.modelName, Version: e.model.version, Prompt: s.prompt, Tokens: slices.Clone(s.tokens),
			Bytes: int64(s.promptTokens+len(s.tokens)) * kvBytesPerToken,
		}
	}
	e.mu.Unlock()
	if kv == nil {
		http.Error(w, "request is not known here; prefill instead", http.StatusNotFound)
		return
	}
	process.WriteJSON(w, http.StatusOK, kv)
}

func (e *Engine) handleImportKV(w http.ResponseWriter, r *http.Request) {
	kv := new(trial.KV)
	if err := process.ReadJSON(w, r, kv, maxBodyBytes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	bytes := int64(answer.PromptTokens(kv.Prompt)+len(kv.Tokens)) * kvBytesPerToken
	if !faults.Pause(r.Context(), time.Duration(float64(bytes)/kvBytesPerSecond*float64(time.Second))) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.kv[kv.RequestID] == nil {
		e.kvOrder = append(e.kvOrder, kv.RequestID)
	}
	e.kv[kv.RequestID] = kv
	if len(e.kvOrder) > maxKV {
		delete(e.kv, e.kvOrder[0])
		e.kvOrder = e.kvOrder[1:]
	}
	w.WriteHeader(http.StatusNoContent)
}
