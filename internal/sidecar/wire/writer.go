package wire

import (
	"bufio"
	"io"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// Writer encodes the replies to batches: the actions of instances, which are numbered as in the events, and an end. An error of the
// underlying writer is returned by End, and by each End after it. A Writer is not safe for concurrent use.
type Writer struct {
	out      *bufio.Writer
	line     []byte // of the action that is being written, after a SPEAKING line where one is due
	instance int    // the instance whose actions are being written; -1: none yet
}

// NewWriter returns a Writer that writes replies to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(out, 1<<16), instance: -1}
}

// begin starts the line of an action.
func (w *Writer) begin(instance int, name string) {
	w.line = w.line[:0]
	if instance != w.instance {
		w.line = append(w.line, "SPEAKING\t"...)
		w.line = strconv.AppendInt(w.line, int64(instance), 10)
		w.line = append(w.line, '\n')
		w.instance = instance
	}
	w.line = append(w.line, name...)
}

// uint appends a number to the line.
func (w *Writer) uint(n uint64) {
	w.line = strconv.AppendUint(append(w.line, '\t'), n, 10)
}

// text appends a string, which must not contain a tab or an end of line.
func (w *Writer) text(s string) { w.line = append(append(w.line, '\t'), s...) }

// seconds appends a time in seconds, cut to microseconds, the resolution of the wire.
func (w *Writer) seconds(d time.Duration) {
	w.line = strconv.AppendFloat(append(w.line, '\t'), float64(d.Microseconds())/microsecondsASecond, 'f', -1, 64)
}

// end writes the line. bufio.Writer keeps an error until the flush at the end of the reply.
func (w *Writer) end() { _, _ = w.out.Write(append(w.line, '\n')) }

// Send writes that a request is sent to an endpoint. The attempt ends after the time-out; 0: when the client gives up.
func (w *Writer) Send(instance int, id balance.RequestID, endpoint string, timeout time.Duration) {
	w.begin(instance, "FORWARD")
	w.uint(uint64(id))
	w.text(endpoint)
	w.seconds(timeout)
	w.end()
}

// Cancel writes that an attempt is cancelled.
func (w *Writer) Cancel(instance int, id balance.RequestID, attempt int) {
	w.begin(instance, "DROP_ATTEMPT")
	w.uint(uint64(id))
	w.uint(uint64(attempt))
	w.end()
}

// Refuse writes that a request is refused, and after which time its client may come again; 0: no advice.
func (w *Writer) Refuse(instance int, id balance.RequestID, after time.Duration) {
	w.begin(instance, "NOT_NOW")
	w.uint(uint64(id))
	w.seconds(after)
	w.end()
}

// Fail writes that a request has failed.
func (w *Writer) Fail(instance int, id balance.RequestID) {
	w.begin(instance, "END_FAILED")
	w.uint(uint64(id))
	w.end()
}

// Timer asks for a Timer event with a token after a time.
func (w *Writer) Timer(instance int, after time.Duration, token uint64) {
	w.begin(instance, "AFTER")
	w.seconds(after)
	w.uint(token)
	w.end()
}

// Subscribe asks discovery for the changes that the instance has missed and for all later ones.
func (w *Writer) Subscribe(instance int) {
	w.begin(instance, "TAIL")
	w.uint(1)
	w.end()
}

// Log writes a line of the simulator's report. The text must not contain an end of line.
func (w *Writer) Log(instance int, text string) {
	w.begin(instance, "JOURNAL_LINE")
	w.text(text)
	w.end()
}

// End ends the reply and flushes it. It returns the first error of the underlying writer.
func (w *Writer) End() error {
	_, _ = w.out.WriteString("END\n")
	w.instance = -1
	return w.out.Flush()
}
