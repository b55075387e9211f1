package inifile

import (
	"fmt"
	"strings"
)

// Writer builds a text that Parse accepts.
type Writer struct {
	text strings.Builder
}

// Section starts a section. The name may be empty.
func (w *Writer) Section(kind, name string) {
	if w.text.Len() > 0 {
		w.text.WriteByte('\n')
	}
	fmt.Fprintf(&w.text, "[%s]\n", strings.TrimSpace(kind+" "+name))
}

// Key writes one key.
func (w *Writer) Key(key string, value any) {
	fmt.Fprintf(&w.text, "%s = %v\n", key, value)
}

// Names writes a key with a comma-separated list, or nothing if the list is empty.
func (w *Writer) Names(key string, names []string) {
	if len(names) > 0 {
		w.Key(key, strings.Join(names, ", "))
	}
}

// String returns the text.
func (w *Writer) String() string {
	return w.text.String()
}
