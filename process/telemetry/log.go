package telemetry

import (
	"io"

	"github.com/sirupsen/logrus"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes one line of key=value pairs for each event.
func NewLogger(out io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat})
	return log, nil
}
