package reverseproxy

// countUsage counts the request for the usage of its organisation: a server began to run it, and
// its first token, or its whole response, has just arrived. A request without an organisation has
// nobody whom it could be counted for.
func (f *forwarder) countUsage() {
	if f.handler.CountUsage != nil && f.request.org.Name != "" {
		f.handler.CountUsage(f.request.org.Name)
	}
}
