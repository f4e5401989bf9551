// Package redirect calls HTTP handlers as the operators' callers do, which follow a 307 twice (PROTOCOL.md). Only tests use it.
package redirect

import (
	"net/http"
	"net/http/httptest"
	"net/url"
)

// maxRedirects is how many redirects a call follows.
const maxRedirects = 2

// Serve calls a handler with a request, follows its redirects, and returns the last response. newRequest returns a request for a path
// with its query.
func Serve(handler http.Handler, target string, newRequest func(target string) *http.Request) *httptest.ResponseRecorder {
	for redirects := 0; ; redirects++ {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, newRequest(target))
		next, ok := Target(w)
		if !ok || redirects == maxRedirects {
			return w
		}
		target = next
	}
}

// Target returns the path, with its query, to which a response redirects. ok is false if it is no redirect.
func Target(w *httptest.ResponseRecorder) (target string, ok bool) {
	if w.Code != http.StatusTemporaryRedirect {
		return "", false
	}
	location, err := url.Parse(w.Header().Get("Location"))
	if err != nil {
		return "", false
	}
	return location.RequestURI(), true
}
