// Package framing guards HTTP/1.1 message framing: connections that end before a message whose end could be read in two
// ways (request smuggling, response splitting), and that know what was written to them. Plain readers and writers of
// HTTP go on top.
package framing
