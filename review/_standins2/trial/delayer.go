package main

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// delayer is a proxy in front of executors that holds back one order and delivers it later, without an answer.
type delayer struct {
	record *record
	held   chan *executor // receives the executor whose order is held back

	mu    sync.Mutex
	spec  string // of the start that is held back next; empty: none
	delay time.Duration
}

// arm makes the next start with the spec be held back.
func (d *delayer) arm(spec string, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spec, d.delay = spec, delay
}

// interpose makes an executor register with the address of a proxy.
func (s *system) interpose(d *delayer, e *executor) error {
	address, err := s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.forward(w, r, e) }))
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entry = address
	e.writeEntry()
	return nil
}

func (d *delayer) forward(w http.ResponseWriter, r *http.Request, e *executor) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if delay := d.takeDelay(r, body); delay > 0 {
		d.record.add("trouble: the order to %s is held back for %v: %s", e.id, delay, body)
		d.held <- e
		time.AfterFunc(delay, func() {
			d.record.add("the order to %s is delivered", e.id)
			resp, err := send(r, e.address, body)
			if err != nil {
				d.record.add("the order to %s fails: %v", e.id, err)
				return
			}
			d.record.add("the order to %s: %d", e.id, resp.StatusCode)
			_ = resp.Body.Close()
		})
		<-r.Context().Done()
		return
	}
	resp, err := send(r, e.address, body)
	if err != nil {
		panic(http.ErrAbortHandler) // the executor is down
	}
	defer resp.Body.Close()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

func (d *delayer) takeDelay(r *http.Request, body []byte) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spec == "" || r.URL.Path != "/run-start" || !strings.Contains(string(body), `"`+d.spec+`"`) {
		return 0
	}
	d.spec = ""
	return d.delay
}

// send sends a copy of a request to an executor.
func send(r *http.Request, address string, body []byte) (*http.Response, error) {
	copied, err := http.NewRequest(r.Method, "http://"+address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	copied.Header = r.Header.Clone()
	return http.DefaultClient.Do(copied)
}
