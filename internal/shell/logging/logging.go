// Package logging provides a daemon's logger, which writes JSON lines, and a non-blocking writer for its output.
package logging

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines. The level is "debug" or "info"; any other value means info.
func New(out io.Writer, level string) logr.Logger {
	minLevel := zapcore.InfoLevel
	if level == "debug" {
		minLevel = zapcore.DebugLevel
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "Time"
	encoding.LevelKey = "Level"
	encoding.MessageKey = "Message"
	encoding.NameKey = "Logger"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.AddSync(out), minLevel)
	return zapr.NewLogger(zap.New(core))
}
