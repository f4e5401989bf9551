package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// operator sends orders to the control-plane nodes, one after the other until one acknowledges.
type operator struct {
	rec   *record
	nodes []string
}

// replace sends a configuration until it is acknowledged or refused, and returns the final status.
func (o *operator) replace(base int64, body []byte, patience time.Duration) (int, error) {
	end := time.Now().Add(patience)
	for attempt := 0; time.Now().Before(end); attempt++ {
		node := o.nodes[attempt%len(o.nodes)]
		status := o.send(node, "/Config.Replace", base, body)
		switch {
		case status == http.StatusOK:
			o.rec.printf("operator: configuration on version %d acknowledged by %s", base, node)
			return status, nil
		case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			o.rec.printf("operator: configuration on version %d got %d", base, status)
			return status, nil
		}
		time.Sleep(time.Duration(min(50*(attempt+1), 300)) * time.Millisecond)
	}
	return 0, errors.New("the configuration was not acknowledged")
}

// send makes one call and returns its status, 0 for none.
func (o *operator) send(node, path string, base int64, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second+time.Duration(len(body)>>20)*time.Second)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	call.Header.Set("X-Base-Version", strconv.FormatInt(base, 10))
	call.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(call)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}
