package main

import (
	_ "embed"
	"encoding/json"
	"net/http"
	"strings"
)

//go:embed wire.txt
var wireText string

//go:embed settings.tmpl
var settingsText string

// wire holds the paths and names of the platform's interfaces by a short name.
var wire = func() map[string]string {
	out := make(map[string]string)
	for line := range strings.Lines(wireText) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			out[key] = value
		}
	}
	return out
}()

// body is a decoded JSON object.
type body map[string]any

func readBody(r *http.Request) (body, error) {
	var b body
	err := json.NewDecoder(r.Body).Decode(&b)
	return b, err
}

func (b body) text(key string) string {
	s, _ := b[key].(string)
	return s
}

func (b body) number(key string) int64 {
	f, _ := b[key].(float64)
	return int64(f)
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has gone.
	_ = json.NewEncoder(w).Encode(v)
}
